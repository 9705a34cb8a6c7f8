use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{gateway::Gateway, platform_api::Platform};

/// The interval at which the ceilings are compared with the use.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// The longest time between two messages to the witness, which show that this process is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Raises the ceilings of this process's spending ahead of its use.
pub(crate) async fn raise_ceilings<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut heartbeat_at = Instant::now();
    loop {
        gateway.funds().wait_for_need(REVIEW_INTERVAL).await;
        let now = Instant::now();
        let wanted = gateway.funds().ledger().borrow_mut().wanted_ceilings(now);
        let has_witness = gateway.holder_link().borrow().witness().is_some();
        if !wanted.is_empty() || has_witness && now >= heartbeat_at {
            gateway.raise_ceilings(wanted).await;
            heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
        }
    }
}
