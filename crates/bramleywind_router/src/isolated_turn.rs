//! The retry of a request that was in flight on an endpoint that crashed, apart from others of that crash.

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

/// How long the strikes of one crash take to reach all routers: they are sent at once, and regions are at
/// most 100 ms apart.
const STRIKE_SETTLE_TIME: Duration = Duration::from_millis(150);

impl<R: AttemptRunner> RequestTask<R> {
    /// Waits until a request that was in flight at a crash has an endpoint to itself among the requests from
    /// that crash.
    pub(crate) async fn await_isolated_endpoint(
        &mut self,
        fingerprint: &RequestFingerprint,
        history: &AttemptHistory,
    ) -> Result<EndpointId, TaskOutcome> {
        loop {
            // The other routers' strikes of the same crash arrive meanwhile.
            self.caller.run_unless_gone(compio::time::sleep(STRIKE_SETTLE_TIME)).await?;
            let now = Instant::now();
            let endpoints = self.isolation_candidates(history)?;
            if endpoints.is_empty() || now + STRIKE_SETTLE_TIME >= self.context.deadline {
                let refusal = self.state.admission.overloaded();
                return Err(history.refusal(refusal, self.idempotent).into());
            }
            let turn = self.state.strikes.borrow().assigned_endpoint(fingerprint, &endpoints, now);
            if let Some(endpoint) = turn {
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

    /// Lets the next request from the same crash use an endpoint, or its turn, if this one had it to itself.
    pub(crate) fn free_isolated_endpoint(&self, endpoint: &EndpointId) {
        let fingerprint = self.fingerprint();
        let report = self.state.strikes.borrow_mut().record_retry_end(
            &fingerprint,
            endpoint,
            Instant::now(),
        );
        self.state.share_strikes(report.into_iter().collect());
    }
}
