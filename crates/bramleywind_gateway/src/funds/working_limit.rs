use bramleywind_types::TokenCount;

use super::{Allowance, TokenRate};

/// How many tokens of a grant a process may spend, by its presence record in the store.
///
/// While the outcome of a write is unknown, any allowance that was sent since the last certain one may be in force, and the
/// smallest counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkingLimit {
    least: Allowance,
    sent: Option<Allowance>,
}

impl WorkingLimit {
    /// The limit while there is no presence record: no successor takes anything back, so there is none.
    pub const UNBOUNDED: Self = Self::certain(u64::MAX);

    /// The limit of a budget that the presence record lacks.
    pub const NOTHING: Self = Self::certain(0);

    const fn certain(tokens: u64) -> Self {
        let least = Allowance { working: TokenCount(tokens), use_rate: TokenRate(tokens) };
        Self { least, sent: None }
    }

    /// What may be spent.
    pub fn allowance(self) -> Allowance {
        self.sent.map_or(self.least, |sent| sent.least(self.least))
    }

    /// Notes an allowance that is about to be written.
    pub fn send(&mut self, allowance: Allowance) {
        self.least = self.allowance();
        self.sent = Some(allowance);
    }

    /// Notes that the last one that was sent is in the store.
    pub fn confirm(&mut self) {
        if let Some(sent) = self.sent.take() {
            self.least = sent;
        }
    }
}
