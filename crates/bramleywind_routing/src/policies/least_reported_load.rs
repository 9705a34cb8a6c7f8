use crate::{EndpointPolicy, EndpointState, RouteRequest};

/// Chooses the endpoint whose latest load report shows the lowest load per slot.
///
/// The reported load does not change between two reports, so until the next one all requests go to the same endpoint.
/// This policy serves as a baseline for comparisons.
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
