use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_peer::{MembershipView, PeerClient, PeerState};
use bramleywind_types::InstanceId;
use slog::info;

use crate::RouterState;

/// How often it is looked whether earlier attempts have ended.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Takes back what was counted for the attempts of dead routers, for requests that were billed here.
pub async fn resolve_repeats(state: Rc<RouterState>, client: PeerClient) {
    loop {
        compio::time::sleep(LOOK_INTERVAL).await;
        let now = Instant::now();
        let all_ended = all_silent_have_ended(&state, &client.view());
        let due = {
            let mut repeats = state.repeats.borrow_mut();
            repeats.record_view(all_ended, now);
            repeats.take_due(state.limits.total_time, now)
        };
        for bill in due {
            let outcome = state.funds.resolve(&bill.budget, &bill.key).await;
            info!(state.log, "earlier attempts resolved"; "budget" => %bill.budget,
                "workspace" => %bill.key.workspace, "outcome" => ?outcome);
        }
    }
}

/// Whether each router that is not heard from is gone for good: its instance is no longer listed. An
/// instance that is heard from under another process run has ended the earlier one.
fn all_silent_have_ended(state: &RouterState, view: &MembershipView) -> bool {
    let listed = state.listed_instances.borrow();
    // A list that does not know this router says nothing about others.
    let knows = |instance: &InstanceId| listed.contains(instance);
    let mut silent = view.peers.iter().filter(|(_, peer)| peer.state != PeerState::Live);
    silent.all(|(instance, peer)| {
        peer.state == PeerState::Dead && knows(&state.identity.instance) && !knows(instance)
    })
}
