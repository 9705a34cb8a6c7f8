use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use slog::info;

use crate::RouterState;

/// How often it is looked for bills that are due.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Takes back what was counted for the attempts of dead routers, for requests that were billed here.
pub async fn resolve_repeats(state: Rc<RouterState>) {
    loop {
        compio::time::sleep(LOOK_INTERVAL).await;
        let due = state.repeat_tracker.borrow_mut().take_due(Instant::now());
        for repeat in due {
            let outcome = state.funds.resolve(&repeat.budget, &repeat.key).await;
            info!(state.log, "earlier attempts resolved"; "budget" => %repeat.budget,
                "workspace" => %repeat.key.workspace, "outcome" => ?outcome);
        }
    }
}
