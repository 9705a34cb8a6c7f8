use std::time::Instant;

use serde_json::{Value, json};

use crate::{gateway::Gateway, platform_api::Platform};

/// Returns the current state of the process as JSON, for operators who investigate a failure.
pub(crate) fn dump_state<P: Platform>(gateway: &Gateway<P>) -> Value {
    let now = Instant::now();
    let endpoints = gateway.endpoints().borrow();
    let endpoints: Vec<_> = endpoints
        .iter()
        .map(|endpoint| {
            let record = endpoint.record();
            let load = endpoint.load();
            json!({
                "id": record.id, "service": record.service, "address": record.address,
                "data_centre": record.data_centre, "is_leaving": record.is_leaving,
                "in_flight": endpoint.in_flight(), "backlog_tokens": endpoint.backlog_tokens(), "pace_ms": endpoint.pace_ms(),
                "reported": load.map(|(load, _)| load),
                "report_age_ms": load.map(|(_, at)| now.saturating_duration_since(at).as_millis() as u64),
                "rate_limit": endpoint.rate_limit().borrow().rate().map(|rate| rate.per_second()),
                "failures_in_row": endpoint.health().borrow().consecutive_failures(),
            })
        })
        .collect();
    let ledger = gateway.funds().ledger().borrow();
    let budgets: Vec<_> = ledger
        .accounts()
        .map(|(workspace, account)| {
            json!({
                "workspace": workspace, "available": account.available(ledger.standby_access(now)),
                "working": account.granted().working, "standby": account.granted().standby, "pool": account.pool(),
                "spent": account.spent(), "reserved": account.reserved(), "borrowed": account.borrowed(),
                "lent": account.lent(), "effort": account.effort(),
                "record_age_ms": account.read_at().map(|at| now.saturating_duration_since(at).as_millis() as u64),
            })
        })
        .collect();
    let guard = gateway.crash_guard().borrow();
    let refused: Vec<_> = guard
        .refused(now)
        .into_iter()
        .map(|(fingerprint, until)| {
            let left = until.saturating_duration_since(now).as_secs();
            json!({ "fingerprint": fingerprint.to_string(), "refused_for_seconds": left })
        })
        .collect();
    let part_guard = gateway.part_guard().borrow();
    let refused_parts: Vec<_> = part_guard
        .refused(now)
        .map(|(part, until)| {
            let left = until.saturating_duration_since(now).as_secs();
            json!({ "part": part.to_string(), "refused_for_seconds": left })
        })
        .collect();
    json!({
        "instance": gateway.settings().instance,
        "config_revision": gateway.route_table().map(|table| table.revision()),
        "entries": gateway.members().borrow().entries(),
        "open_requests": gateway.open_requests(),
        "reads_registry_for_others": gateway.members().borrow().registry_readers().is_relaying,
        "list_version": gateway.list_version(),
        "list_age_ms": gateway.list_freshness().age(now).map(|age| age.as_millis() as u64),
        "config_age_ms": gateway.config_freshness().age(now).map(|age| age.as_millis() as u64),
        "endpoints": endpoints,
        "budgets": budgets,
        "refused_requests": refused,
        "refused_parts": refused_parts,
    })
}
