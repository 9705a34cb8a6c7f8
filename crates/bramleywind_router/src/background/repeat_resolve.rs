use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use slog::info;

use crate::RouterState;

/// How often the billed repeats are checked for due ones.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Releases the tokens that a reclaim counted for attempts of dead routers, for requests that this router has
/// billed since.
pub async fn resolve_repeats(state: Rc<RouterState>) {
    loop {
        compio::time::sleep(POLL_INTERVAL).await;
        let due = state.repeat_tracker.borrow_mut().take_due(Instant::now());
        for repeat in due {
            let outcome = state.ledger.resolve(&repeat.budget, &repeat.key).await;
            info!(state.log, "earlier attempts resolved"; "budget" => %repeat.budget,
                "workspace" => %repeat.key.workspace, "outcome" => ?outcome);
        }
    }
}
