//! Retries requests that were in flight when an endpoint crashed, each on an endpoint that runs no other
//! request from that crash.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use bramleywind_claims::RequestFingerprint;
use bramleywind_types::{EndpointId, Refusal};

use crate::{
    AttemptRunner, RequestTask,
    request_task::{AttemptHistory, TaskOutcome},
};

/// How long the crash reports of one crash take to reach all routers. They are sent at once, and regions are at
/// most 100 ms apart.
const CRASH_REPORT_SETTLE_TIME: Duration = Duration::from_millis(150);

impl<R: AttemptRunner> RequestTask<R> {
    /// Waits for the turn of a request that was in flight at a crash. Returns the endpoint to retry it on,
    /// which no other request from that crash uses.
    pub(crate) async fn await_isolated_endpoint(
        &mut self,
        fingerprint: &RequestFingerprint,
        history: &AttemptHistory,
    ) -> Result<EndpointId, TaskOutcome> {
        loop {
            // Meanwhile the other routers' reports of the same crash arrive.
            self.caller.run_unless_gone(compio::time::sleep(CRASH_REPORT_SETTLE_TIME)).await?;
            let now = Instant::now();
            let endpoints = self.isolation_candidates(history)?;
            if endpoints.is_empty() || now + CRASH_REPORT_SETTLE_TIME >= self.context.deadline {
                let refusal = self.state.admission.overload_refusal();
                return Err(history.refusal(refusal, self.idempotent).into());
            }
            let assigned =
                self.state.crash_tracker.borrow().assigned_endpoint(fingerprint, &endpoints, now);
            if let Some(endpoint) = assigned {
                return Ok(endpoint);
            }
        }
    }

    fn isolation_candidates(
        &self,
        history: &AttemptHistory,
    ) -> Result<BTreeSet<EndpointId>, Refusal> {
        let routes = self.state.current_routes()?;
        let is_candidate = |id: &&EndpointId| {
            routes.serves(id, &self.target)
                && !history.excluded.contains(*id)
                && self.state.admission.is_available(id)
        };
        Ok(routes.endpoints.keys().filter(is_candidate).cloned().collect())
    }

    /// Releases the endpoint that was reserved for this request, or its turn if the request is abandoned, so that
    /// the next request from the same crash may be retried.
    pub(crate) fn free_isolated_endpoint(&self, endpoint: &EndpointId) {
        let fingerprint = self.fingerprint();
        let report = self.state.crash_tracker.borrow_mut().record_retry_end(
            &fingerprint,
            endpoint,
            Instant::now(),
        );
        self.state.share_crash_reports(report.into_iter().collect());
    }
}
