use super::CallCrashReport;

/// The most reports that wait for each audience. Further ones are dropped: a mass loss of endpoints produces many, and
/// hardly any of them matters.
const MAX_WAITING: usize = 4_096;

/// What other gateways are still to be told.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    /// Reports for the gateways that count crashes.
    pub for_counters: Vec<CallCrashReport>,
    /// Reports for all gateways.
    pub for_everyone: Vec<CallCrashReport>,
    /// Number of reports that were dropped.
    pub dropped: usize,
}

impl CrashOutbox {
    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.for_counters.is_empty() && self.for_everyone.is_empty()
    }

    pub(super) fn tell_counters(&mut self, report: CallCrashReport) {
        Self::push(&mut self.for_counters, &mut self.dropped, report);
    }

    pub(super) fn tell_everyone(&mut self, reports: impl IntoIterator<Item = CallCrashReport>) {
        for report in reports {
            Self::push(&mut self.for_everyone, &mut self.dropped, report);
        }
    }

    fn push(waiting: &mut Vec<CallCrashReport>, dropped: &mut usize, report: CallCrashReport) {
        if waiting.len() < MAX_WAITING {
            waiting.push(report);
        } else {
            *dropped += 1;
        }
    }
}
