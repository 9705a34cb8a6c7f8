//! The presence records of the simulated store.

use std::time::Duration;

use bramleywind_gateway::{platform_api::PresenceOutcome, witness::WitnessRecord};
use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::{IncarnationId, InstanceId};
use rand::Rng;

use super::World;

/// A presence record in the store.
#[derive(Debug, Clone)]
pub struct StoredPresence {
    pub incarnation: IncarnationId,
    pub written_at: Duration,
    pub witness: Option<WitnessRecord>,
    pub is_closed: bool,
    pub version: StoreVersion,
}

/// A write of a presence record that is executed late.
#[derive(Debug)]
pub struct PresenceWrite {
    due: Duration,
    instance: InstanceId,
    record: StoredPresence,
    expected: StoreVersion,
}

impl World {
    pub(super) fn presence_version(&self, instance: &InstanceId) -> StoreVersion {
        self.presences.get(instance).map_or(StoreVersion::MISSING, |record| record.version)
    }

    /// Writes a presence record if the one in the store has the expected version. The answer may be lost, and the write may be executed
    /// late.
    pub(super) fn commit_presence(
        &mut self,
        instance: &InstanceId,
        record: StoredPresence,
        expected: StoreVersion,
        reaches_store: bool,
    ) -> PresenceOutcome {
        let roll = self.draw_failure();
        if !reaches_store || roll < 10 {
            if !roll.is_multiple_of(2) {
                return PresenceOutcome::NotWritten(UnavailableReason::Outage);
            }
            let due = self.now + Duration::from_millis(self.random.random_range(0..6_000));
            let instance = instance.clone();
            self.pending_presences.push(PresenceWrite { due, instance, record, expected });
            return PresenceOutcome::Unknown(UnavailableReason::Timeout);
        }
        if self.presence_version(instance) != expected {
            return PresenceOutcome::Conflict;
        }
        let version = self.apply_presence(instance.clone(), record);
        if roll < 20 {
            PresenceOutcome::Unknown(UnavailableReason::Timeout)
        } else {
            PresenceOutcome::Written(version)
        }
    }

    fn apply_presence(&mut self, instance: InstanceId, record: StoredPresence) -> StoreVersion {
        let version = StoreVersion(self.presence_version(&instance).0 + 1);
        self.presences.insert(instance, StoredPresence { version, ..record });
        version
    }

    pub(super) fn run_pending_presences(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pending_presences.extract_if(.., |write| write.due <= now).collect();
        for write in due {
            if self.presence_version(&write.instance) == write.expected {
                self.apply_presence(write.instance, write.record);
            }
        }
    }
}
