use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Instant};

use compio::time::timeout_at;
use slog::info;

use super::notice_delivery::NoticeDelivery;
use crate::{
    crashes::{PartNotice, PartOutbox, PartReport},
    gateway::Gateway,
    platform_api::Platform,
};

/// The most items in one notice.
const MAX_ITEMS_PER_NOTICE: usize = 256;

/// Judges which parts of prompts crash endpoints, and tells the other gateways, as soon as there is something to do.
pub(crate) async fn judge_parts<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        wait_for_work(&gateway).await;
        let outbox = gateway.part_guard().borrow_mut().take_outbox();
        send_outbox(&gateway, outbox).await;
        let questions = gateway.part_guard().borrow_mut().take_questions(Instant::now());
        if questions.is_empty() {
            continue;
        }
        let parts: Vec<_> = questions.iter().map(ToString::to_string).collect();
        info!(gateway.log(), "part of prompts suspected; asking the other gateways"; "parts" => parts.join(","));
        let notices =
            questions.chunks(MAX_ITEMS_PER_NOTICE).map(|parts| PartNotice::Question(parts.into()));
        send_to_all(&gateway, notices.collect()).await;
        gateway.decide_parts();
    }
}

/// Waits until there is something to tell, or a part is to be judged.
async fn wait_for_work<P: Platform>(gateway: &Gateway<P>) {
    let next_decision = gateway.part_guard().borrow().next_decision(Instant::now());
    match next_decision {
        // The time has come either way.
        Some(at) => drop(timeout_at(at, gateway.wait_for_part_news()).await),
        None => gateway.wait_for_part_news().await,
    }
}

async fn send_outbox<P: Platform>(gateway: &Gateway<P>, outbox: PartOutbox) {
    if outbox.dropped > 0 {
        info!(gateway.log(), "reports of ended endpoints dropped: too many wait to be sent"; "reports" => outbox.dropped);
    }
    let mut notices = Vec::new();
    notices.extend(
        outbox.refused.chunks(MAX_ITEMS_PER_NOTICE).map(|parts| PartNotice::Refused(parts.into())),
    );
    notices.extend(
        outbox.cleared.chunks(MAX_ITEMS_PER_NOTICE).map(|parts| PartNotice::Cleared(parts.into())),
    );
    send_to_all(gateway, notices).await;
    let mut calls = Vec::new();
    for (peer, reports) in group_by_counter(gateway, outbox.ends) {
        for reports in reports.chunks(MAX_ITEMS_PER_NOTICE) {
            calls.push((peer, PartNotice::Ends(reports.into())));
        }
    }
    send_notices(gateway, calls).await;
}

/// Assigns each report to the gateways that count the ends of its service. One gateway must know all parts that were in
/// flight at an end.
fn group_by_counter<P: Platform>(
    gateway: &Gateway<P>,
    reports: Vec<PartReport>,
) -> BTreeMap<SocketAddr, Vec<PartReport>> {
    let members = gateway.members().borrow();
    let mut grouped: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for report in reports {
        let Some(part) = report.parts.first() else { continue };
        for peer in members.crash_counters(part.service_hash()) {
            grouped.entry(peer).or_default().push(report.clone());
        }
    }
    grouped
}

async fn send_to_all<P: Platform>(gateway: &Gateway<P>, notices: Vec<PartNotice>) {
    let peers = gateway.members().borrow().peer_addresses();
    let calls =
        notices.iter().flat_map(|notice| peers.iter().map(move |peer| (*peer, notice.clone())));
    send_notices(gateway, calls.collect()).await;
}

async fn send_notices<P: Platform>(gateway: &Gateway<P>, notices: Vec<(SocketAddr, PartNotice)>) {
    let client = gateway.funds().loan_client();
    let calls = notices.iter().map(|(peer, notice)| client.send_part_notice(*peer, notice));
    let delivery = NoticeDelivery::run(calls, |reply| gateway.apply_part_reply(&reply)).await;
    if delivery.undelivered > 0 {
        // These gateways learn of refused parts from the store.
        info!(gateway.log(), "notices about parts of prompts not delivered"; "notices" => delivery.sent,
            "undelivered" => delivery.undelivered, "first_error" => delivery.first_error.as_deref());
    }
}
