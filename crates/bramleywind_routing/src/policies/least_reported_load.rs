use crate::{EndpointPolicy, EndpointState, RouteRequest};

/// Sends requests to the endpoint whose latest report shows the least load for its slots.
///
/// Reports lag, so between two of them all requests go to one endpoint. Kept for comparison.
#[derive(Debug, Default)]
pub struct LeastReportedLoad;

impl EndpointPolicy for LeastReportedLoad {
    fn choose(&mut self, _request: &RouteRequest, candidates: &[&EndpointState]) -> Option<usize> {
        let reported = |state: &EndpointState| {
            f64::from(state.report.unwrap_or_default().accepted()) / f64::from(state.slots)
        };
        let by_load = |left: &(usize, &&EndpointState), right: &(usize, &&EndpointState)| {
            reported(left.1).total_cmp(&reported(right.1))
        };
        candidates.iter().enumerate().min_by(by_load).map(|(index, _)| index)
    }
}
