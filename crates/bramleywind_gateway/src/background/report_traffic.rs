use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::TrafficTotals;
use compio::time::sleep;
use slog::info;

use crate::{
    gateway::Gateway,
    platform_api::{FleetStore, Platform},
};

/// The interval between two log lines about the traffic of the process. It bounds the volume of the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Logs what the connections of the process carry, how much of that are answers of the store, and how old the list of endpoints is.
pub(crate) async fn report_traffic<P: Platform>(gateway: Rc<Gateway<P>>) {
    let (mut before, mut store_before) = (TrafficTotals::current(), 0);
    loop {
        sleep(REPORT_INTERVAL).await;
        let now = Instant::now();
        let totals = TrafficTotals::current();
        let store_bytes = gateway.store().received_bytes();
        let delays = gateway.admission().record_traffic(totals, now);
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).ok();
        let calls: Vec<_> = gateway
            .store()
            .call_counts()
            .iter()
            .map(|(kind, count)| format!("{kind}={count}"))
            .collect();
        info!(gateway.log(), "traffic"; "received_bytes" => totals.received - before.received,
            "sent_bytes" => totals.sent - before.sent, "store_bytes" => store_bytes - store_before,
            "store_calls_so_far" => calls.join(" "),
            "received_delay_ms" => millis(delays.received), "sent_delay_ms" => millis(delays.sent),
            "open_requests" => gateway.open_requests(),
            "list_age_ms" => gateway.list_freshness().age(now).and_then(millis),
            "config_age_ms" => gateway.config_freshness().age(now).and_then(millis));
        (before, store_before) = (totals, store_bytes);
    }
}
