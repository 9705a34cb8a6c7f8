//! A gateway is asked to stop twice within its grace time. Are the requests that it has passed on answered?

mod rig;

use rig::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const STREAMS: usize = 8;
const EVENTS: u64 = 15;
const GRACE: Duration = Duration::from_secs(8);

fn main() {
    let case = Case::begin(&std::env::args().nth(1).expect("the number of the case"));
    let record = case.record.clone();
    let store = Store::start();
    let arrivals: Arrivals = Arc::default();
    let work = Work { events: EVENTS, time: Duration::from_millis(200), capacity: 256, slots: 64 };
    for (number, zone) in ["akl-a", "akl-b", "akl-c"].into_iter().enumerate() {
        start_engine(&store, &record, &format!("i-{number}"), "huvo11a", zone, work, &arrivals);
    }
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1200,"priority":0,"service":"huvo11a","max_attempts":2,"auth_exempt":false,"session_affinity":true,"stream_resume":true,"gap_target_ms":300}}],"services":[{{"name":"huvo11a","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity_tokens":318062,"kv_bytes":18432,"link_mbps":280000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1,"prepaid":9000000}}]}}"#
    );
    store.put("op/config", config.as_bytes());
    let zones = ["akl-a", "akl-b", "akl-c"];
    let mut gateways: Vec<_> = (1u8..)
        .zip(zones)
        .map(|(number, zone)| Gateway::start(number, zone, &store, &case.folder, &record))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        case.end(gateways, 2, "a gateway did not become ready");
    }
    thread::sleep(Duration::from_secs(4));
    let answers: Arc<Mutex<Vec<(String, Answer, Instant)>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|_| {
            let (address, answers, record) = (gateways[0].callers, Arc::clone(&answers), record.clone());
            thread::spawn(move || {
                let attempt = attempt_id();
                let prefix = format!("5c1e07a2:300,{}:200", &attempt[8..]);
                let bearer = format!("Bearer {KEY}");
                let headers = [
                    ("Host", "ficu95.example"),
                    ("Bramleywind-Attempt-Id", attempt.as_str()),
                    ("Bramleywind-Model", "m"),
                    ("Bramleywind-Token-Counts", "500,80"),
                    ("Bramleywind-Prompt-Prefix", prefix.as_str()),
                    ("Bramleywind-Request-Deadline", "15000"),
                    ("Authorization", bearer.as_str()),
                ];
                let answer = call(address, "POST", "/lohu930/2f", &headers, b"{}", Duration::from_secs(15));
                record.line(format!("client {attempt}: {}, {} of {EVENTS} events", answer.describe(), answer.events()));
                answers.lock().unwrap().push((attempt, answer, Instant::now()));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    let stopped_at = Instant::now();
    gateways[0].signal("TERM", &record);
    if case.has_trouble {
        thread::sleep(Duration::from_millis(800));
        gateways[0].signal("TERM", &record);
    }
    for client in clients {
        let _ = client.join();
    }
    let end = gateways[0].wait_for_end(GRACE);
    record.line(format!("{} ended: {end:?}", gateways[0].name));
    // The judgement: requests that were passed on, and ended without a complete answer before the last sixth of the grace time.
    let ran: Vec<String> = arrivals.lock().unwrap().iter().filter(|arrival| arrival.has_run).map(|arrival| arrival.attempt.clone()).collect();
    let answers = answers.lock().unwrap();
    let passed_on = answers.iter().filter(|(attempt, _, _)| ran.contains(attempt)).count();
    let cut = answers
        .iter()
        .filter(|(attempt, answer, at)| ran.contains(attempt) && !answer.is_whole && *at < stopped_at + GRACE * 5 / 6)
        .count();
    let text = format!("{passed_on} requests were passed on to engines, {cut} of them were cut off; the process ended with {end:?}");
    if passed_on < STREAMS {
        drop(answers);
        case.end(gateways, 2, &text);
    }
    drop(answers);
    if cut > 0 {
        case.end(gateways, 1, &format!("LOST broken: {text}"));
    }
    case.end(gateways, 0, &format!("held: {text}"))
}
