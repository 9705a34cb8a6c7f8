use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use slog::info;

use crate::RouterState;

/// How often the token ledger starts work that is due.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(75);

/// How long registration waits for witnesses, within which a heartbeat of every live peer has arrived. The funds of a
/// router that registers without witnesses cannot be reclaimed.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(3);

/// How often the number of live peers is checked before registration.
const WITNESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The number of witnesses of a router.
const WITNESS_COUNT: usize = 2;

/// Registers this router, then starts due work of the token ledger at regular intervals. The ledger makes its
/// store and peer calls in a task of its own.
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
