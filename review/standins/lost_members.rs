//! The store loses the answers of some writes while the machines start again. Do they share one retry budget afterwards?

mod rig;

use rig::*;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RATIO: f64 = 0.2;
const EXTRA: f64 = 52.0;
const WINDOW: Duration = Duration::from_secs(10);
/// How much later a write is done whose answer is lost.
const LATE: Duration = Duration::from_millis(2_000);
/// How long the store loses answers.
const LOSSY: Duration = Duration::from_millis(4_500);
/// The requests a second at which the engines are too few.
const RATE: u64 = 45;
const TRAFFIC: Duration = Duration::from_secs(24);

fn main() {
    let case = Case::begin(&std::env::args().nth(1).expect("the number of the case"));
    let record = case.record.clone();
    let store = Store::start();
    let arrivals: Arrivals = Arc::default();
    let work = Work { events: 0, time: Duration::from_millis(100), capacity: 1, slots: 1 };
    for (number, zone) in ["akl-a", "akl-b", "akl-c"].into_iter().enumerate() {
        start_engine(&store, &record, &format!("i-{number}"), "wuno96b", zone, work, &arrivals);
    }
    store.put(
        "op/config",
        br#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"auth_exempt":true,"session_affinity":false,"stream_resume":false}],"services":[{"name":"wuno96b","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#,
    );
    let zones = ["akl-a", "akl-a", "akl-b", "akl-b", "akl-c", "akl-c"];
    let mut gateways: Vec<_> = (1u8..)
        .zip(zones)
        .map(|(number, zone)| Gateway::start(number, zone, &store, &case.folder, &record))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        case.end(gateways, 2, "a gateway did not become ready");
    }
    thread::sleep(Duration::from_secs(4));
    record.line("all processes are killed");
    for gateway in &gateways {
        gateway.signal("KILL", &record);
    }
    for gateway in &mut gateways {
        gateway.wait_for_end(Duration::from_secs(2));
    }
    let before = store.writes();
    if case.has_trouble {
        // The first write of each member record is done later, and its answer is lost.
        let seen: Mutex<HashSet<String>> = Mutex::default();
        store.lose_answers(Some(Box::new(move |keys| {
            let member = keys.iter().find(|key| key.starts_with("bramleywind/gateways/"))?;
            seen.lock().unwrap().insert(member.clone()).then_some(LATE)
        })));
    }
    thread::sleep(Duration::from_millis(500));
    for gateway in &mut gateways {
        gateway.spawn(&record);
    }
    thread::sleep(LOSSY);
    store.lose_answers(None);
    let after = store.writes();
    let (writes, lost) = (after.0 - before.0, after.1 - before.1);
    record.line(format!("the store lost the answers of {lost} of {writes} writes"));
    if !gateways.iter().all(Gateway::wait_until_ready) {
        case.end(gateways, 2, "a gateway did not become ready again");
    }
    thread::sleep(Duration::from_secs(6));
    for gateway in &gateways {
        let answer = call(gateway.directory, "GET", "/resolve?name=ficu95.example&region=nz-north&zone=akl-a", &[], b"", Duration::from_secs(1));
        record.line(format!("/resolve at {}: {}", gateway.name, String::from_utf8_lossy(&answer.body)));
    }
    record.line(format!("member records in the store: {:?}", store.keys("bramleywind/gateways/")));
    let listed = store.keys("bramleywind/gateways/").len();
    // Many users come at once: more than the engines can work on.
    arrivals.lock().unwrap().clear();
    let sent: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let begin = Instant::now();
    let mut clients = Vec::new();
    for number in 0u32.. {
        let due = begin + Duration::from_millis(1_000 / RATE) * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if begin.elapsed() > TRAFFIC {
            break;
        }
        let address = gateways[number as usize % gateways.len()].callers;
        let (record, sent) = (record.clone(), Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            let attempt = attempt_id();
            sent.lock().unwrap().push(Instant::now());
            let headers = [
                ("Host", "ficu95.example"),
                ("Bramleywind-Attempt-Id", attempt.as_str()),
                ("Bramleywind-Request-Deadline", "1500"),
            ];
            let answer = call(address, "GET", "/cufi504/fi50/2f", &headers, b"", Duration::from_millis(1_500));
            record.line(format!("client {attempt}: {}", answer.describe()));
            answer.status == Some(200)
        }));
    }
    let served = clients.into_iter().filter_map(|client| client.join().ok()).filter(|served| *served).count();
    // The judgement, in windows that slide.
    let sent = sent.lock().unwrap().clone();
    let arrivals = arrivals.lock().unwrap().clone();
    let mut firsts = HashSet::new();
    let repeats: Vec<Instant> =
        arrivals.iter().filter(|arrival| !firsts.insert(arrival.attempt.clone())).map(|arrival| arrival.at).collect();
    let count = |times: &[Instant], from: Instant, to: Instant| times.iter().filter(|at| **at >= from && **at < to).count();
    let mut worst: Option<(f64, usize, f64, f64)> = None;
    let mut end = begin + WINDOW;
    while end <= begin + TRAFFIC {
        let counted = count(&repeats, end - WINDOW, end);
        let requests = [Duration::ZERO, WINDOW / 2, WINDOW]
            .into_iter()
            .map(|back| count(&sent, end - WINDOW - back, end - back))
            .max()
            .unwrap_or(0);
        let allowed = RATIO * requests as f64 + EXTRA;
        let excess = counted as f64 - allowed;
        if worst.is_none_or(|(most, ..)| excess > most) {
            worst = Some((excess, counted, allowed, (end - begin).as_secs_f64()));
        }
        end += Duration::from_millis(250);
    }
    let (excess, counted, allowed, at) = worst.expect("the traffic lasts longer than a window");
    let text = format!(
        "{listed} of {} gateways have a member record; in the worst {} s (until {at:.2} s of the traffic) {counted} arrivals beyond the first of each request, {allowed:.1} allowed; {} requests, {served} served; the store lost the answers of {lost} of {writes} writes",
        gateways.len(),
        WINDOW.as_secs(),
        sent.len()
    );
    if case.has_trouble && lost as f64 > 0.35 * writes as f64 {
        case.end(gateways, 2, &format!("too many answers were lost: {text}"));
    }
    if excess > 0.0 {
        case.end(gateways, 1, &format!("BUDGET broken: {text}"));
    }
    case.end(gateways, 0, &format!("held: {text}"))
}
