//! All machines lose power, and those that drew on the budgets do not come back; others come in their place. Are the tenants
//! served again?

mod rig;

use rig::*;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TENANTS: [(&str, &str); 2] = [("hule930", "n2ctnfzs989anu6wsjnb"), ("jati204", "q7wm3kd05rtz2xkp81va")];
const TOKENS_IN: u64 = 500;
const TOKENS_OUT: u64 = 40;
const STRIDE: u64 = 4;
const REQUEST_TOKENS: u64 = TOKENS_IN + TOKENS_OUT;
/// The requests of each tenant, a second.
const RATE: u64 = 4;
/// What each tenant may consume: the use of 39 seconds.
const PREPAID: u64 = 39 * RATE * REQUEST_TOKENS;
/// A request is owed only if it fits, at its most, into this part of the prepaid total.
const OWED_SHARE: f64 = 0.97;
const SETTLE: Duration = Duration::from_millis(1_500);
const RECOVERY: Duration = Duration::from_secs(12);
/// When all machines lose power, after the begin of the traffic.
const FAULT_AT: Duration = Duration::from_millis(12_500);
/// How long they are without power.
const DOWN: Duration = Duration::from_millis(1_000);
/// How many machines may be lost: `fault_tolerance` of the settings.
const TOLERATED: usize = 2;
/// The length of the traffic.
const LENGTH: Duration = Duration::from_millis(37_500);

#[derive(Clone)]
struct Sent {
    tenant: usize,
    sent_at: Instant,
    ended_at: Option<Instant>,
    status: Option<u16>,
    is_whole: bool,
    events: u64,
}

fn main() {
    let case = Case::begin(&std::env::args().nth(1).expect("the number of the case"));
    let record = case.record.clone();
    let store = Store::start();
    let arrivals: Arrivals = Arc::default();
    let work = Work { events: TOKENS_OUT / STRIDE, time: Duration::from_millis(20), capacity: 256, slots: 64 };
    for (number, zone) in ["akl-a", "akl-b", "akl-c"].into_iter().enumerate() {
        start_engine(&store, &record, &format!("i-{number}"), "huvo11a", zone, work, &arrivals);
    }
    let tenants: Vec<_> = TENANTS
        .iter()
        .map(|(name, key)| format!(r#"{{"name":"{name}","api_keys":["{key}"],"priority":1,"prepaid":{PREPAID}}}"#))
        .collect();
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":5000,"target_latency_ms":800,"priority":0,"service":"huvo11a","max_attempts":2,"auth_exempt":false,"session_affinity":true,"stream_resume":true,"gap_target_ms":300}}],"services":[{{"name":"huvo11a","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity_tokens":318062,"kv_bytes":18432,"link_mbps":280000.0,"moves":true,"backups":true,"stride":{STRIDE},"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        tenants.join(",")
    );
    store.put("op/config", config.as_bytes());
    let zones = ["akl-a", "akl-a", "akl-b", "akl-b", "akl-c", "akl-c"];
    let mut gateways: Vec<_> = (1u8..)
        .zip(zones)
        .map(|(number, zone)| Gateway::start(number, zone, &store, &case.folder, &record))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        case.end(gateways, 2, "a gateway did not become ready");
    }
    thread::sleep(Duration::from_secs(4));
    let entries: Arc<Mutex<Vec<_>>> = Arc::new(Mutex::new(gateways.iter().map(|gateway| gateway.callers).collect()));
    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let begin = Instant::now();
    let traffic = {
        let (entries, sent, record) = (Arc::clone(&entries), Arc::clone(&sent), record.clone());
        let is_over = Arc::clone(&is_over);
        thread::spawn(move || {
            let pause = Duration::from_millis(1_000 / (RATE * TENANTS.len() as u64));
            for number in 0usize.. {
                if is_over.load(std::sync::atomic::Ordering::SeqCst) {
                    return;
                }
                let due = begin + pause * u32::try_from(number).unwrap();
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let address = {
                    let entries = entries.lock().unwrap();
                    entries[number / TENANTS.len() % entries.len()]
                };
                send(number % TENANTS.len(), address, &sent, &record);
            }
        })
    };
    let mut back_at = None;
    let mut lost = Vec::new();
    if case.has_trouble {
        thread::sleep((begin + FAULT_AT).saturating_duration_since(Instant::now()));
        // Those that draw on budgets write such a record each 0.6 s.
        let revision = store.revision();
        thread::sleep(Duration::from_millis(1_500));
        let drawing: HashSet<String> = store
            .keys_since("bramleywind/presence/", revision)
            .iter()
            .filter_map(|key| key.rsplit('/').next().map(String::from))
            .collect();
        if drawing.is_empty() || drawing.len() > TOLERATED {
            case.end(gateways, 2, &format!("{} machines draw on two budgets", drawing.len()));
        }
        // For comparison: the same fault, but all machines come back.
        let all_return = std::env::var("RETURN_ALL").is_ok();
        record.line("all machines lose power");
        for gateway in &gateways {
            gateway.signal("KILL", &record);
        }
        for gateway in &mut gateways {
            gateway.wait_for_end(Duration::from_secs(2));
        }
        thread::sleep(DOWN);
        let (mut back, gone): (Vec<_>, Vec<_>) =
            gateways.into_iter().partition(|gateway| !drawing.contains(&gateway.name) || all_return);
        for gateway in &mut back {
            gateway.spawn(&record);
        }
        for (number, gateway) in (7u8..).zip(gone) {
            record.line(format!("{} is lost for good; another machine comes in its place", gateway.name));
            let zone = gateway.name["front-".len()..gateway.name.len() - 2].to_string();
            lost.push(gateway.name.clone());
            back.push(Gateway::start(number, &zone, &store, &case.folder, &record));
        }
        gateways = back;
        if !gateways.iter().all(Gateway::wait_until_ready) {
            case.end(gateways, 2, "a gateway did not become ready again");
        }
        *entries.lock().unwrap() = gateways.iter().map(|gateway| gateway.callers).collect();
        record.line("all machines are back");
        back_at = Some(Instant::now());
    }
    thread::sleep((begin + LENGTH).saturating_duration_since(Instant::now()));
    is_over.store(true, std::sync::atomic::Ordering::SeqCst);
    traffic.join().unwrap();
    thread::sleep(Duration::from_secs(6));

    // The judgement. A request has used what it can have used at its most, if it did not end well.
    let sent = sent.lock().unwrap().clone();
    let ran: HashSet<String> =
        arrivals.lock().unwrap().iter().filter(|arrival| arrival.has_run).map(|arrival| arrival.attempt.clone()).collect();
    let most_used = |entry: &Sent, by: Instant| match entry.ended_at {
        Some(at) if at + SETTLE < by && entry.is_whole => TOKENS_IN + STRIDE * entry.events,
        _ => REQUEST_TOKENS,
    };
    let is_owed = |id: &String, judged: &Sent| {
        let others = sent.iter().filter(|(other, entry)| {
            *other != id && entry.tenant == judged.tenant && entry.sent_at < judged.sent_at && ran.contains(*other)
        });
        let used: u64 = others.map(|(_, entry)| most_used(entry, judged.sent_at)).sum();
        (used + REQUEST_TOKENS) as f64 <= OWED_SHARE * PREPAID as f64
    };
    let is_served = |entry: &Sent| entry.status == Some(200) && entry.is_whole;
    let fault_at = begin + FAULT_AT;
    let count = |range: &dyn Fn(Instant) -> bool| {
        let owed: Vec<_> = sent.iter().filter(|(id, entry)| range(entry.sent_at) && is_owed(id, entry)).collect();
        let served = owed.iter().filter(|(_, entry)| is_served(entry)).count();
        (served, owed.len())
    };
    let before = count(&|at| at < fault_at);
    let judged_from = back_at.unwrap_or(fault_at + DOWN) + RECOVERY;
    let after = count(&|at| at >= judged_from);
    let mut statuses: HashMap<String, u64> = HashMap::new();
    for entry in sent.values().filter(|entry| entry.sent_at >= judged_from) {
        *statuses.entry(entry.status.map_or("none".into(), |status| status.to_string())).or_default() += 1;
    }
    let mut text = format!(
        "served and owed: {}/{} before the fault, {}/{} later than {} s after the machines were back (answers: {statuses:?}); lost for good: {lost:?}",
        before.0, before.1, after.0, after.1, RECOVERY.as_secs()
    );
    let mut has_overspent = false;
    for (number, (name, _)) in TENANTS.iter().enumerate() {
        let entries = sent.iter().filter(|(id, entry)| entry.tenant == number && ran.contains(*id));
        let least: u64 = entries.clone().map(|(_, entry)| TOKENS_IN + STRIDE * entry.events).sum();
        text += &format!("; {name} used {least} of {PREPAID} prepaid tokens");
        has_overspent |= least > PREPAID;
    }
    record.line(&text);
    if has_overspent {
        case.end(gateways, 1, &format!("BUDGET broken: {text}"));
    }
    if before.1 < 40 || before.0 * 4 < before.1 || after.1 < 40 {
        case.end(gateways, 2, &format!("too few requests to judge: {text}"));
    }
    if after.0 * 4 < after.1 {
        case.end(gateways, 1, &format!("RECOVER broken: {text}"));
    }
    case.end(gateways, 0, &format!("held: {text}"))
}

/// Sends a request of a tenant on a thread of its own.
fn send(tenant: usize, address: std::net::SocketAddr, sent: &Arc<Mutex<HashMap<String, Sent>>>, record: &Record) {
    let attempt = attempt_id();
    let entry = Sent { tenant, sent_at: Instant::now(), ended_at: None, status: None, is_whole: false, events: 0 };
    sent.lock().unwrap().insert(attempt.clone(), entry);
    let (sent, record) = (Arc::clone(sent), record.clone());
    thread::spawn(move || {
        let (name, key) = TENANTS[tenant];
        let counts = format!("{TOKENS_IN},{TOKENS_OUT}");
        let prefix = format!("5c1e07a2:300,{}:200", &attempt[8..]);
        let bearer = format!("Bearer {key}");
        let headers = [
            ("Host", "ficu95.example"),
            ("Bramleywind-Attempt-Id", attempt.as_str()),
            ("Bramleywind-Model", "m"),
            ("Bramleywind-Token-Counts", counts.as_str()),
            ("Bramleywind-Prompt-Prefix", prefix.as_str()),
            ("Bramleywind-Request-Deadline", "5000"),
            ("Authorization", bearer.as_str()),
        ];
        let answer = call(address, "POST", "/lohu930/2f", &headers, b"{}", Duration::from_secs(5));
        let reason = match answer.status {
            Some(200) | None => String::new(),
            Some(_) => format!(" ({})", String::from_utf8_lossy(&answer.body).trim()),
        };
        record.line(format!("client {attempt} of {name} at {address}: {}{reason}", answer.describe()));
        let mut sent = sent.lock().unwrap();
        let entry = sent.get_mut(&attempt).unwrap();
        entry.ended_at = Some(Instant::now());
        entry.status = answer.status;
        entry.is_whole = answer.is_whole;
        entry.events = if answer.status == Some(200) { answer.events() } else { 0 };
    });
}
