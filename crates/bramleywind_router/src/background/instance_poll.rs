use std::{rc::Rc, time::Duration};

use bramleywind_store::{
    DirectoryOutcome, InstanceDirectory, InstanceKind, InstanceRecord, InstanceState,
};
use slog::{info, warn};

use crate::RouterState;

/// How often the instance list is read. An endpoint must get no new requests 3 s after it is marked as leaving.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the instance list. Endpoints marked as leaving get no new requests, and this router drains when it is
/// marked itself. While the list is unavailable, the last one that was read stays in effect.
pub async fn poll_instances(state: Rc<RouterState>, directory: InstanceDirectory) {
    let mut is_answering = true;
    loop {
        match directory.fetch().await {
            DirectoryOutcome::Found(list) => {
                if !std::mem::replace(&mut is_answering, true) {
                    info!(state.log, "the instance list answers again");
                }
                let is_live_entry = |record: &&InstanceRecord| {
                    record.kind == InstanceKind::Entry && record.state == InstanceState::Live
                };
                state.orders.entries.set(list.instances.iter().filter(is_live_entry).count());
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
                // Logged once per outage, which may last for hours.
                if std::mem::replace(&mut is_answering, false) {
                    warn!(state.log, "the instance list does not answer"; "reason" => ?reason);
                }
            }
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
