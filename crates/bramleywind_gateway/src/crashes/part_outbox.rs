use super::{PartRefusal, PartReport, SharedPart};

/// The most reports that wait. Further ones are dropped: a mass loss of endpoints produces many, and few of them matter.
const MAX_WAITING: usize = 2_048;

/// What other gateways are still to be told about parts.
#[derive(Debug, Default)]
pub struct PartOutbox {
    /// Ends of endpoints, for the gateways that count them.
    pub ends: Vec<PartReport>,
    /// Parts that are refused from now on, for all gateways.
    pub refused: Vec<PartRefusal>,
    /// Parts that are no longer refused, for all gateways.
    pub cleared: Vec<SharedPart>,
    /// Number of reports that were dropped.
    pub dropped: usize,
}

impl PartOutbox {
    pub(super) fn report_end(&mut self, report: PartReport) {
        if self.ends.len() < MAX_WAITING {
            self.ends.push(report);
        } else {
            self.dropped += 1;
        }
    }
}
