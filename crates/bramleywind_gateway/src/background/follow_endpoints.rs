use std::{rc::Rc, time::Duration};

use compio::time::sleep;

use super::list_follower::ListFollower;
use crate::{gateway::Gateway, platform_api::Platform};

/// The interval between two watches, which batches changes that occur together, such as the start of all endpoints.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the list of endpoints in sync with the registry.
pub(crate) async fn follow_endpoints<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut follower = ListFollower::new(Rc::clone(&gateway));
    loop {
        follower.update_list().await;
        gateway.remove_expired_endpoints();
        gateway.announce_list();
        // A round in which changes may be missing waits for the list or for the store's return.
        if !gateway.may_miss_changes() {
            sleep(BATCH_INTERVAL).await;
        }
    }
}
