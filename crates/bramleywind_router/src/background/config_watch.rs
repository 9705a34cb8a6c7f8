use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_config::{OperatorPublicKey, SignedConfig};
use bramleywind_store::{Store, StoreKey, StoreVersion, WatchOutcome};
use rand::Rng;
use slog::{info, warn};

use crate::{RouteTable, RouterState, RouterStore};

/// How long a watch waits for a change. Each watch is one store call, so that six routers make 0.2 calls per second.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay after the first failed watch. It doubles up to [`MAX_RETRY_DELAY`], with jitter, so that routers do
/// not all call a recovering store at the same time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest delay after a failed watch. It is below the 15 s within which a change must be in force.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Watches the configuration in the store and puts each new revision in force.
pub async fn watch_config(state: Rc<RouterState>, store: RouterStore, key: OperatorPublicKey) {
    let mut version = StoreVersion::MISSING;
    let mut delay = MIN_RETRY_DELAY;
    let mut is_answering = true;
    loop {
        let outcome =
            store.watch(&StoreKey::config(), version, Instant::now() + WATCH_TIMEOUT).await;
        let is_answer = !matches!(outcome, WatchOutcome::Unavailable(_));
        if is_answer && !std::mem::replace(&mut is_answering, true) {
            info!(state.log, "the store answers again");
        }
        match outcome {
            WatchOutcome::Changed(found) => {
                version = found.version;
                delay = MIN_RETRY_DELAY;
                match serde_json::from_slice(&found.value) {
                    Ok(signed) => accept_config(&state, &signed, &key, "store"),
                    Err(error) => {
                        warn!(state.log,
                            "the configuration in the store could not be parsed; keeping the current one";
                            "error" => %error);
                    }
                }
            }
            WatchOutcome::Unchanged => delay = MIN_RETRY_DELAY,
            WatchOutcome::Unavailable(reason) => {
                // Logged once per outage, which may last for hours.
                if std::mem::replace(&mut is_answering, false) {
                    warn!(state.log, "the store does not answer"; "reason" => ?reason);
                }
                let jitter = rand::rng().random_range(0.5..1.5);
                compio::time::sleep(delay.mul_f64(jitter)).await;
                delay = (2 * delay).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Puts a configuration in force if its signature is valid and its revision is newer than the current one.
pub fn accept_config(
    state: &RouterState,
    signed: &SignedConfig,
    key: &OperatorPublicKey,
    source: &str,
) {
    let current = state.routes.borrow().as_ref().map(|routes| routes.revision);
    if current.is_some_and(|current| current >= signed.revision) {
        return;
    }
    match signed.open(key) {
        Ok(document) => {
            if state.install_routes(RouteTable::new(signed.revision, document), signed) {
                info!(state.log, "configuration in force"; "revision" => signed.revision.0,
                    "source" => source);
            }
        }
        Err(error) => {
            warn!(state.log, "configuration refused"; "revision" => signed.revision.0,
                "source" => source, "error" => %error);
        }
    }
}
