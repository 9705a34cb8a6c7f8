use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use slog::info;

use crate::RouterState;

/// How often the keeper of the funds starts due work.
const MAINTAIN_INTERVAL: Duration = Duration::from_millis(75);

/// How long the registration waits for witnesses: the time in which a live peer is heard from. A router that
/// registers without them cannot be reclaimed.
const WITNESS_TIME: Duration = Duration::from_secs(3);

/// How often the number of peers is looked at before the registration.
const WITNESS_POLL: Duration = Duration::from_millis(50);

/// How many witnesses a router has.
const WITNESS_COUNT: usize = 2;

/// Registers this router and keeps its funds in order. The keeper's own task makes the calls.
pub async fn keep_funds(state: Rc<RouterState>, seeds: usize) {
    let deadline = Instant::now() + WITNESS_TIME;
    let wanted = seeds.min(WITNESS_COUNT);
    while state.live_peers().len() < wanted && Instant::now() < deadline {
        compio::time::sleep(WITNESS_POLL).await;
    }
    let registering = state.clone();
    let register = async move {
        let outcome = registering.funds.register().await;
        info!(registering.log, "registration"; "outcome" => ?outcome);
    };
    compio::runtime::spawn(register).detach();
    loop {
        state.funds.maintain();
        compio::time::sleep(MAINTAIN_INTERVAL).await;
    }
}
