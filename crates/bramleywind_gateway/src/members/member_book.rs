use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::MemberRecord;

/// How long members that vanished all at once are still believed: leases run out together when the store was
/// away, and are taken again within a second of its return.
const MASS_LOSS_TIME: Duration = Duration::from_millis(2_500);

/// Entry addresses that one answer names at most. Callers ignore any beyond that.
const MOST_ENTRIES: usize = 64;

/// The gateways that callers may use.
#[derive(Debug)]
pub struct MemberRegistry {
    own: MemberRecord,
    others: Vec<MemberRecord>,
    shrunk_at: Option<Instant>,
    is_own_leaving: bool,
}

impl MemberRegistry {
    /// A book that knows only its own process.
    pub fn new(own: MemberRecord) -> Self {
        Self { own, others: Vec::new(), shrunk_at: None, is_own_leaving: false }
    }

    /// This process's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Takes the list as the store has it. Returns whether it was believed.
    ///
    /// Single members that vanish are dropped at once. If more than half vanish together, the list is believed only
    /// once it has stayed that short for a while.
    pub fn update(&mut self, listed: Vec<MemberRecord>, now: Instant) -> bool {
        let is_other = |member: &MemberRecord| member.instance != self.own.instance;
        let others: Vec<_> = listed.into_iter().filter(is_other).collect();
        let is_mass_loss = self.others.len() >= 2 && others.len() * 2 < self.others.len();
        if is_mass_loss {
            let shrunk_at = *self.shrunk_at.get_or_insert(now);
            if now < shrunk_at + MASS_LOSS_TIME {
                return false;
            }
        }
        self.shrunk_at = None;
        self.others = others;
        true
    }

    /// Notes that this process stops: callers are no longer sent to it.
    pub fn leave(&mut self) {
        self.is_own_leaving = true;
    }

    /// The other gateways.
    pub fn others(&self) -> &[MemberRecord] {
        &self.others
    }

    /// Where the other gateways are reached by this one.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.others.iter().map(|other| other.peer_address).collect()
    }

    /// Gateways that are alive, this one included.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Where callers should connect, those of the caller's data centre first. Never empty: a leaving gateway that
    /// knows no other names itself.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let own = (!self.is_own_leaving || self.others.is_empty()).then_some(&self.own);
        let members = own.into_iter().chain(&self.others);
        members.map(|member| member.caller_address).take(MOST_ENTRIES).collect()
    }
}
