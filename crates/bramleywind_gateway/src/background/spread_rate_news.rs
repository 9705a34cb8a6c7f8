use std::rc::Rc;

use slog::info;

use super::notice_delivery::NoticeDelivery;
use crate::{gateway::Gateway, platform_api::Platform, rate_limits::RateNotice};

/// Tells other gateways about the rates of endpoints, as soon as there is something to tell.
pub(crate) async fn spread_rate_news<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        gateway.wait_for_rate_news().await;
        let client = gateway.funds().loan_client();
        let calls = gateway.take_rate_notices().into_iter().map(|(peer, reports)| async move {
            client.send_rate_notice(peer, &RateNotice { reports }).await
        });
        let delivery = NoticeDelivery::run(calls, |()| ()).await;
        if delivery.undelivered > 0 {
            // These gateways learn of the rates from answers of the endpoints, or when they ask for a permit.
            info!(gateway.log(), "notices about rates not delivered"; "notices" => delivery.sent,
                "undelivered" => delivery.undelivered, "first_error" => delivery.first_error.as_deref());
        }
    }
}
