use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use slog::info;

use super::notice_delivery::NoticeDelivery;
use crate::{
    crashes::{CallCrashReport, CrashNotice, NoticeAudience},
    gateway::Gateway,
    platform_api::Platform,
};

/// The most reports in one notice.
const MAX_REPORTS_PER_NOTICE: usize = 512;

/// Tells other gateways about requests that crash endpoints, as soon as there is something to tell.
pub(crate) async fn spread_crash_news<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        gateway.wait_for_crash_news().await;
        let outbox = gateway.crash_guard().borrow_mut().take_outbox();
        if outbox.dropped > 0 {
            info!(gateway.log(), "crash reports dropped: too many wait to be sent"; "reports" => outbox.dropped);
        }
        let everyone = gateway.members().borrow().peer_addresses();
        let for_everyone = everyone.iter().map(|peer| (*peer, outbox.for_everyone.clone()));
        send_notices(&gateway, NoticeAudience::Everyone, for_everyone).await;
        let for_counters = group_by_counter(&gateway, outbox.for_counters);
        send_notices(&gateway, NoticeAudience::Counters, for_counters.into_iter()).await;
    }
}

/// Assigns each report to the gateways that count the crashes of its request.
fn group_by_counter<P: Platform>(
    gateway: &Gateway<P>,
    reports: Vec<CallCrashReport>,
) -> BTreeMap<SocketAddr, Vec<CallCrashReport>> {
    let members = gateway.members().borrow();
    let mut grouped: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for report in reports {
        for peer in members.crash_counters(report.fingerprint().short_hash()) {
            grouped.entry(peer).or_default().push(report.clone());
        }
    }
    grouped
}

async fn send_notices<P: Platform>(
    gateway: &Gateway<P>,
    audience: NoticeAudience,
    reports: impl Iterator<Item = (SocketAddr, Vec<CallCrashReport>)>,
) {
    let mut notices = Vec::new();
    for (peer, reports) in reports {
        for reports in reports.chunks(MAX_REPORTS_PER_NOTICE) {
            notices.push((peer, CrashNotice { audience, reports: reports.to_vec() }));
        }
    }
    let client = gateway.funds().loan_client();
    let calls = notices.iter().map(|(peer, notice)| client.send_crash_notice(*peer, notice));
    let delivery = NoticeDelivery::run(calls, |reply| gateway.apply_notice_reply(&reply)).await;
    if delivery.undelivered > 0 {
        // These gateways learn of refused requests from the store.
        info!(gateway.log(), "crash notices not delivered"; "audience" => ?audience, "notices" => delivery.sent,
            "undelivered" => delivery.undelivered, "first_error" => delivery.first_error.as_deref());
    }
}
