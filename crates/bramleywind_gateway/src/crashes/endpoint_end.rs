use std::{collections::BTreeMap, time::Instant};

use bramleywind_claims::CrashReportId;

use super::SharedPart;

/// The most parts that are kept of one end. An endpoint runs at most some tens of requests at a time.
const MAX_PARTS: usize = 256;

/// The end of an endpoint, with the parts of the requests that it had not answered for long.
#[derive(Debug)]
pub(super) struct EndpointEnd {
    pub id: CrashReportId,
    pub at: Instant,
    /// The parts, each with its position in the prompt.
    pub parts: BTreeMap<SharedPart, usize>,
    /// The refused parts among them, which explain the end.
    pub causes: Vec<SharedPart>,
}

impl EndpointEnd {
    pub fn new(id: CrashReportId, at: Instant) -> Self {
        Self { id, at, parts: BTreeMap::new(), causes: Vec::new() }
    }

    /// Records that a part is refused, if it was in flight.
    pub fn add_cause(&mut self, part: &SharedPart) {
        if self.parts.contains_key(part) && !self.causes.contains(part) {
            self.causes.push(part.clone());
        }
    }

    /// Adds the shared parts of one request. Returns those that were not known.
    pub fn insert<'a>(&mut self, parts: &'a [SharedPart]) -> Vec<&'a SharedPart> {
        let mut added = Vec::new();
        for (position, part) in parts.iter().enumerate() {
            if self.parts.len() < MAX_PARTS && !self.parts.contains_key(part) {
                self.parts.insert(part.clone(), position);
                added.push(part);
            }
        }
        added
    }
}
