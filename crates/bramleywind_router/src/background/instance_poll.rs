use std::{rc::Rc, time::Duration};

use bramleywind_store::{DirectoryOutcome, InstanceDirectory, InstanceKind, InstanceState};
use slog::{info, warn};

use crate::RouterState;

/// How often the instance list is read. A leaving endpoint must get no new work 3 s after it is marked.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the instance list: endpoints that leave get no new work, and this router drains on its own mark.
/// While the list does not answer, the last known one counts.
pub async fn poll_instances(state: Rc<RouterState>, directory: InstanceDirectory) {
    let mut is_answering = true;
    loop {
        match directory.fetch().await {
            DirectoryOutcome::Found(list) => {
                if !std::mem::replace(&mut is_answering, true) {
                    info!(state.log, "the instance list answers again");
                }
                let listed = list.instances.iter().map(|record| record.instance.clone());
                *state.listed_instances.borrow_mut() = listed.collect();
                let leaving = || {
                    let instances = list.instances.iter();
                    instances.filter(|record| record.state == InstanceState::Leaving)
                };
                let endpoints = leaving().filter(|record| record.kind == InstanceKind::Endpoint);
                let endpoints = endpoints.map(|record| record.instance.clone()).collect();
                state.admission.update_health(|health| health.set_leaving(endpoints));
                if leaving().any(|record| record.instance == state.identity.instance) {
                    state.begin_drain("instance list");
                }
            }
            DirectoryOutcome::Unavailable(reason) => {
                // One line for an outage, which may last for hours.
                if std::mem::replace(&mut is_answering, false) {
                    warn!(state.log, "the instance list does not answer"; "reason" => ?reason);
                }
            }
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
