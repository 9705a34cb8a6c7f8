use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use slog::info;

use crate::RouterState;

/// How often the keeper of the funds starts due work.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(75);

/// How long the registration waits for witnesses: the time in which a live peer is heard from. A router that
/// registers without them cannot be reclaimed.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(3);

/// How often the number of peers is looked at before the registration.
const WITNESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How many witnesses a router has.
const WITNESS_COUNT: usize = 2;

/// Registers this router and keeps its funds in order. The keeper's own task makes the calls.
pub async fn maintain_ledger(state: Rc<RouterState>, seeds: usize) {
    let deadline = Instant::now() + WITNESS_TIMEOUT;
    let wanted_witnesses = seeds.min(WITNESS_COUNT);
    while state.live_peers().len() < wanted_witnesses && Instant::now() < deadline {
        compio::time::sleep(WITNESS_POLL_INTERVAL).await;
    }
    let task_state = state.clone();
    let registration = async move {
        let outcome = task_state.ledger.register().await;
        info!(task_state.log, "registration"; "outcome" => ?outcome);
    };
    compio::runtime::spawn(registration).detach();
    loop {
        state.ledger.maintain();
        compio::time::sleep(MAINTENANCE_INTERVAL).await;
    }
}
