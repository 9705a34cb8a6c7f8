//! Another writer leaves an entry in the registry that names no engine. Do the gateways that start after that hold?

mod rig;

use rig::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// `limits.memory_mb`: a process that takes more is killed, and started again after a short delay.
const MEMORY_MB: u64 = 260;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const WATCHED: Duration = Duration::from_secs(30);

fn main() {
    let case = Case::begin(&std::env::args().nth(1).expect("the number of the case"));
    let record = case.record.clone();
    let store = Store::start();
    let arrivals: Arrivals = Arc::default();
    let work = Work { events: 0, time: Duration::from_millis(60), capacity: 30, slots: 6 };
    for (number, zone) in ["akl-a", "akl-b", "akl-c"].into_iter().enumerate() {
        start_engine(&store, &record, &format!("i-{number}"), "wuno96b", zone, work, &arrivals);
    }
    store.put(
        "op/config",
        br#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"auth_exempt":true,"session_affinity":false,"stream_resume":false}],"services":[{"name":"wuno96b","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#,
    );
    let zones = ["akl-a", "akl-b", "akl-c"];
    let mut gateways: Vec<_> = (1u8..)
        .zip(zones)
        .map(|(number, zone)| Gateway::start(number, zone, &store, &case.folder, &record))
        .collect();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        case.end(gateways, 2, "a gateway did not become ready");
    }
    thread::sleep(Duration::from_secs(3));
    let before = ask(&gateways, 30, &record);
    if case.has_trouble {
        record.line("another writer writes servers/desk&llm: 900,000 bytes that can't be read");
        store.put("servers/desk&llm", &vec![0xff; 900_000]);
    }
    thread::sleep(Duration::from_secs(2));
    let between = ask(&gateways, 30, &record);
    record.line(format!("served: {before} of 30 before the entry, {between} of 30 after it"));
    // Planned work: the machines are stopped and started in turn, while the platform watches the memory of the processes.
    let mut kills = vec![0u32; gateways.len()];
    for index in 0..gateways.len() {
        gateways[index].signal("TERM", &record);
        let limit = Instant::now() + Duration::from_secs(9);
        let mut end = None;
        while end.is_none() && Instant::now() < limit {
            end = gateways[index].exit();
            limit_memory(&mut gateways[..index], &mut kills, &record);
        }
        record.line(format!("{} ended: {end:?}", gateways[index].name));
        thread::sleep(RESTART_DELAY);
        gateways[index].spawn(&record);
    }
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        limit_memory(&mut gateways, &mut kills, &record);
    }
    let after = ask(&gateways, 30, &record);
    let often = kills.iter().filter(|kills| **kills >= 3).count();
    let text = format!(
        "served: {before} of 30 requests before the entry, {between} of 30 after it, {after} of 30 after the machines were stopped and started in turn; ends over the memory limit in {} s: {kills:?}",
        WATCHED.as_secs()
    );
    record.line(&text);
    if before < 25 || between < 25 {
        case.end(gateways, 2, &text);
    }
    if often >= 2 {
        case.end(gateways, 1, &format!("Fault: {text}"));
    }
    if after == 0 {
        case.end(gateways, 1, &format!("no request is served: {text}"));
    }
    case.end(gateways, 0, &format!("held: {text}"))
}

/// Kills the processes that take more memory than they may, and starts them again, as the platform does.
fn limit_memory(gateways: &mut [Gateway], kills: &mut [u32], record: &Record) {
    for (gateway, kills) in gateways.iter_mut().zip(kills) {
        let memory = gateway.memory_mb();
        let has_ended = gateway.exit().is_some();
        if memory > MEMORY_MB || has_ended {
            record.line(format!("{} takes {memory} MB, more than {MEMORY_MB}, or has ended ({has_ended})", gateway.name));
            *kills += 1;
            gateway.signal("KILL", record);
            gateway.wait_for_end(Duration::from_secs(2));
            thread::sleep(RESTART_DELAY);
            gateway.spawn(record);
        }
    }
}

/// Sends safe requests through all gateways in turn, and returns how many were served.
fn ask(gateways: &[Gateway], count: usize, record: &Record) -> usize {
    (0..count)
        .filter(|number| {
            let attempt = attempt_id();
            let gateway = &gateways[number % gateways.len()];
            let headers = [
                ("Host", "ficu95.example"),
                ("Bramleywind-Attempt-Id", attempt.as_str()),
                ("Bramleywind-Request-Deadline", "1500"),
            ];
            let answer = call(gateway.callers, "GET", "/cufi504/fi50/2f", &headers, b"", Duration::from_millis(1_500));
            record.line(format!("client {attempt} at {}: {}", gateway.name, answer.describe()));
            answer.status == Some(200) && answer.is_whole
        })
        .count()
}
