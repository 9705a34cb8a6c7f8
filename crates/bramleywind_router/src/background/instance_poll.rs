use std::{rc::Rc, time::Duration};

use bramleywind_store::{
    DirectoryOutcome, InstanceDirectory, InstanceKind, InstanceList, InstanceRecord, InstanceState,
};
use slog::{info, warn};

use crate::RouterState;

/// How often the instance list is read. An endpoint must get no new requests 3 s after it is marked as leaving.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the instance list. Endpoints marked as leaving get no new requests, and this router drains when it is
/// marked itself. While the list is unavailable, the last one that was read stays in effect.
pub async fn poll_instances(state: Rc<RouterState>, directory: InstanceDirectory) {
    let (mut is_answering, mut unreadable_records) = (true, 0);
    loop {
        let (list, unreadable) = match directory.fetch().await {
            DirectoryOutcome::Found(list) => (Some(list), Vec::new()),
            DirectoryOutcome::PartlyFound(list, unreadable) => (Some(list), unreadable),
            DirectoryOutcome::Unavailable(reason) => {
                // Logged once per outage, which may last for hours.
                if std::mem::replace(&mut is_answering, false) {
                    warn!(state.log, "the instance list does not answer"; "reason" => ?reason);
                }
                (None, Vec::new())
            }
        };
        if let Some(list) = list {
            if !std::mem::replace(&mut is_answering, true) {
                info!(state.log, "the instance list answers again");
            }
            if std::mem::replace(&mut unreadable_records, unreadable.len()) != unreadable.len() {
                warn!(state.log, "records of the instance list are unreadable and ignored";
                    "records" => unreadable.len(), "first_reason" => unreadable.first().map(|reason| &**reason));
            }
            apply_list(&state, &list);
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

fn apply_list(state: &RouterState, list: &InstanceList) {
    let is_live_entry = |record: &&InstanceRecord| {
        record.kind == InstanceKind::Entry && record.state == InstanceState::Live
    };
    state.orders.entries.set(list.instances.iter().filter(is_live_entry).count());
    let leaving = || list.instances.iter().filter(|record| record.state == InstanceState::Leaving);
    let endpoints = leaving().filter(|record| record.kind == InstanceKind::Endpoint);
    let endpoints = endpoints.map(|record| record.instance.clone()).collect();
    state.admission.update_health(|health| health.set_leaving(endpoints));
    if leaving().any(|record| record.instance == state.identity.instance) {
        state.begin_drain("instance list");
    }
}
