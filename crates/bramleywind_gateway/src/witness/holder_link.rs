use bramleywind_store::StoreVersion;

use super::WitnessRecord;

/// The number of messages in a row without confirmation after which another witness is looked for.
const MAX_FAILURES: u32 = 2;

/// What a holder of grants knows about its own presence record in the store, and about the witness that it names.
#[derive(Debug, Default)]
pub struct HolderLink {
    /// The version that the next write expects; `None` until the record in the store was read.
    version: Option<StoreVersion>,
    /// The witnesses that the record in the store may name. There are several while the outcome of a write is unknown, and none before
    /// the first write.
    possible: Vec<Option<WitnessRecord>>,
    /// Whether another process has replaced the record, so that grants may have been returned.
    is_replaced: bool,
    /// Whether a witness is being chosen. Its ceilings must not be raised at another one alone meanwhile.
    is_choosing: bool,
    failures: u32,
}

impl HolderLink {
    /// Returns the version that the next write expects.
    pub fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Returns the only witness that the record in the store can name, if there is one.
    pub fn witness(&self) -> Option<&WitnessRecord> {
        match &*self.possible {
            [witness] => witness.as_ref(),
            _ => None,
        }
    }

    /// Returns whether the record in the store certainly names no witness.
    pub fn has_no_witness(&self) -> bool {
        self.possible == [None]
    }

    /// Returns whether another process has replaced the record since the last complete read of the grants.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns the witnesses that must all confirm a higher ceiling. `None` if no ceiling may be raised now.
    pub fn confirming(&self) -> Option<Vec<WitnessRecord>> {
        if self.is_replaced || self.is_choosing {
            return None;
        }
        Some(self.possible.iter().flatten().cloned().collect())
    }

    /// Returns whether the witness does not answer, so that another one has to be named.
    pub fn needs_witness(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// Returns whether the last message to the witness was not confirmed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records whether the witness has confirmed a message.
    pub fn record_answer(&mut self, is_confirmed: bool) {
        self.failures = if is_confirmed { 0 } else { self.failures.saturating_add(1) };
    }

    /// Records that a witness is being chosen.
    pub fn begin_choice(&mut self) {
        self.is_choosing = true;
    }

    /// Records that no witness is being chosen any more.
    pub fn end_choice(&mut self) {
        self.is_choosing = false;
    }

    /// Records that a write that names this witness begins.
    pub fn begin_write(&mut self, witness: Option<WitnessRecord>) {
        if !self.possible.contains(&witness) {
            self.possible.push(witness);
        }
    }

    /// Records that the record in the store names this witness and has this version.
    pub fn finish_write(&mut self, witness: Option<WitnessRecord>, version: StoreVersion) {
        self.possible = vec![witness];
        self.version = Some(version);
        self.failures = 0;
    }

    /// Records the version of a record that another process wrote, or [`StoreVersion::MISSING`] if there is none.
    pub fn adopt_version(&mut self, version: StoreVersion) {
        self.version = Some(version);
        self.is_replaced = true;
        self.possible.clear();
    }

    /// Records that the grants were read after the record was replaced.
    pub fn mark_grants_read(&mut self) {
        self.is_replaced = false;
    }
}
