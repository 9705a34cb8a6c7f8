//! Tests that every HTTP response and connection error maps to the correct outcome. In particular, a write may
//! be reported as not applied only if this is proven.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_store::{
    DirectoryOutcome, HttpStore, InstanceDirectory, Lease, LeaseOutcome, ListOutcome,
    NotAppliedReason, ReadOutcome, RenewOutcome, Store as _, StoreKey, StoreVersion,
    UnavailableReason, WatchOutcome, WriteOutcome,
};
use bramleywind_types::FencingToken;
use compio::{
    BufResult,
    io::{AsyncRead as _, AsyncWriteExt as _},
    net::TcpListener,
};
use test_case::test_case;

/// The time limit of a single test case.
const CASE_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout of calls that get an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of calls that never get an answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// The server's reaction to a request.
#[derive(Clone, Copy)]
enum Script {
    /// Sends these bytes and closes the connection.
    Send(&'static str),
    /// Keeps the connection open without an answer.
    Hang,
}

/// Builds a script that sends a response without a body, from its status line and headers.
macro_rules! status {
    ($line:literal) => {
        Script::Send(concat!("HTTP/1.1 ", $line, "\r\ncontent-length: 0\r\n\r\n"))
    };
}

/// A response that ends in the middle of its body.
const CUT_OFF: Script =
    Script::Send("HTTP/1.1 200 OK\r\nx-version: 3\r\ncontent-length: 10\r\n\r\nhalf");
const CLOSED: Script = Script::Send("");
const NOT_HTTP: Script = Script::Send("220 mail.example ESMTP\r\n\r\n");

/// Runs a call against a server that follows the script, and returns its outcome.
fn run<T>(script: Script, call: impl AsyncFnOnce(HttpStore) -> T) -> T {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = compio::runtime::spawn(async move {
            let mut open_streams = Vec::new();
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let BufResult(read, _) = stream.read(Vec::with_capacity(4096)).await;
                read.unwrap();
                match script {
                    Script::Send(answer) => stream.write_all(answer).await.0.unwrap(),
                    Script::Hang => open_streams.push(stream),
                }
            }
        });
        let timeout = if matches!(script, Script::Hang) { SHORT_TIMEOUT } else { CALL_TIMEOUT };
        let store = HttpStore::new(address, timeout).unwrap();
        let outcome = compio::time::timeout(CASE_TIMEOUT, call(store)).await.unwrap();
        drop(server);
        outcome
    })
}

#[test_case(status!("200 OK\r\nx-version: 3"), WriteOutcome::Applied(StoreVersion(3)))]
#[test_case(status!("200 OK"), WriteOutcome::Unknown ; "without version")]
#[test_case(status!("200 OK\r\nx-version: three"), WriteOutcome::Unknown ; "with a bad version")]
#[test_case(status!("409 Conflict\r\nx-version: 3"), WriteOutcome::Conflict)]
#[test_case(status!("413 Payload Too Large"), WriteOutcome::NotApplied(NotAppliedReason::TooLarge))]
#[test_case(status!("429 Too Many Requests"), WriteOutcome::NotApplied(NotAppliedReason::RateLimited))]
#[test_case(status!("503 Service Unavailable"), WriteOutcome::NotApplied(NotAppliedReason::Outage))]
#[test_case(status!("500 Internal Server Error"), WriteOutcome::Unknown)]
#[test_case(status!("502 Bad Gateway"), WriteOutcome::Unknown)]
#[test_case(status!("504 Gateway Timeout"), WriteOutcome::Unknown)]
#[test_case(status!("404 Not Found"), WriteOutcome::Unknown)]
#[test_case(status!("307 Temporary Redirect\r\nlocation: /elsewhere"), WriteOutcome::Unknown ; "redirect")]
#[test_case(CUT_OFF, WriteOutcome::Unknown ; "cut off")]
#[test_case(CLOSED, WriteOutcome::Unknown ; "closed")]
#[test_case(NOT_HTTP, WriteOutcome::Unknown ; "another protocol")]
#[test_case(Script::Hang, WriteOutcome::Unknown ; "no answer")]
fn write_result_maps_to(script: Script, expected: WriteOutcome) {
    let outcome = run(script, async |store| {
        store.write(&StoreKey::config(), b"{}".to_vec(), StoreVersion(2)).await
    });
    assert_eq!(outcome, expected);
}

#[test_case(status!("404 Not Found"), None)]
#[test_case(status!("429 Too Many Requests"), Some(UnavailableReason::RateLimited))]
#[test_case(status!("503 Service Unavailable"), Some(UnavailableReason::Outage))]
#[test_case(status!("500 Internal Server Error"), Some(UnavailableReason::Outage))]
#[test_case(status!("200 OK"), Some(UnavailableReason::Malformed) ; "without version")]
#[test_case(status!("418 Teapot"), Some(UnavailableReason::Malformed))]
#[test_case(CUT_OFF, Some(UnavailableReason::Outage) ; "cut off")]
#[test_case(CLOSED, Some(UnavailableReason::Outage) ; "closed")]
#[test_case(Script::Hang, Some(UnavailableReason::Timeout) ; "no answer")]
fn read_result_maps_to(script: Script, reason: Option<UnavailableReason>) {
    let expected = reason.map_or(ReadOutcome::Missing, ReadOutcome::Unavailable);
    assert_eq!(run(script, async |store| store.read(&StoreKey::config()).await), expected);
}

#[test_case(status!("304 Not Modified"), WatchOutcome::Unchanged)]
#[test_case(status!("404 Not Found"), WatchOutcome::Unavailable(UnavailableReason::Malformed))]
#[test_case(CLOSED, WatchOutcome::Unavailable(UnavailableReason::Outage) ; "closed")]
#[test_case(Script::Hang, WatchOutcome::Unavailable(UnavailableReason::Timeout) ; "no answer")]
fn watch_result_maps_to(script: Script, expected: WatchOutcome) {
    let outcome = run(script, async |store| {
        store.watch(&StoreKey::config(), StoreVersion(2), Instant::now()).await
    });
    assert_eq!(outcome, expected);
}

#[test_case(Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]"), None)]
#[test_case(
    Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"),
    Some(UnavailableReason::Malformed)
)]
#[test_case(status!("503 Service Unavailable"), Some(UnavailableReason::Outage))]
fn list_result_maps_to(script: Script, reason: Option<UnavailableReason>) {
    let expected = reason.map_or(ListOutcome::Found(Vec::new()), ListOutcome::Unavailable);
    assert_eq!(run(script, async |store| store.list("a/b").await), expected);
}

#[test_case(status!("409 Conflict"), LeaseOutcome::Held, RenewOutcome::Lost)]
#[test_case(status!("503 Service Unavailable"), LeaseOutcome::Unavailable(UnavailableReason::Outage), RenewOutcome::Unavailable(UnavailableReason::Outage))]
#[test_case(CLOSED, LeaseOutcome::Unavailable(UnavailableReason::Outage), RenewOutcome::Unavailable(UnavailableReason::Outage) ; "closed")]
fn lease_result_maps_to(script: Script, acquired: LeaseOutcome, renewed: RenewOutcome) {
    let outcome = run(script, async |store| {
        store.acquire_lease(&StoreKey::from_text("duty"), "a", CALL_TIMEOUT).await
    });
    assert_eq!(outcome, acquired);
    let lease = Lease { id: "l1".into(), fencing: FencingToken(1), deadline: Instant::now() };
    let outcome = run(script, async |store| store.renew_lease(&lease, CALL_TIMEOUT).await);
    assert_eq!(outcome, renewed);
}

/// Returns what the client of the instance list makes of this list.
fn fetch_list(list: &str) -> DirectoryOutcome {
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let directory =
            InstanceDirectory::new(listener.local_addr().unwrap(), CALL_TIMEOUT).unwrap();
        let _server = compio::runtime::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let BufResult(read, _) = stream.read(Vec::with_capacity(4096)).await;
            read.unwrap();
            stream.write_all(response.into_bytes()).await.0.unwrap();
        });
        directory.fetch().await
    })
}

/// Guards against one odd record that hides all others, so that a router goes on sending work to instances that leave.
#[test_case(r#"{"instance":"i2","data_centre":"a","address":"10.0.0.2:70000","kind":"endpoint","state":"live"}"#; "port out of range")]
#[test_case(r#"{"instance":"i2","data_centre":"a","address":"10.0.0.2:80","kind":"printer","state":"live"}"#; "unknown kind")]
#[test_case(r#"{"instance":"i2","data_centre":"a","address":1e999,"kind":"endpoint","state":"live"}"#; "number too large for its field")]
#[test_case(r#"{"instance":1e999}"#; "number too large")]
#[test_case(r#"{"instance":"i2"}"#; "missing fields")]
#[test_case("[]"; "list")]
#[test_case("null"; "null")]
#[test_case(&format!("{}{}", "[".repeat(50_000), "]".repeat(50_000)); "deeply nested")]
fn odd_record_hides_no_other(odd: &str) {
    let sound = r#"{"instance":"i1","data_centre":"a","address":"10.0.0.1:80","kind":"endpoint","state":"leaving"}"#;
    for list in [
        format!(r#"{{"instances":[{odd},{sound}]}}"#),
        format!(r#"{{"instances":[{sound},{odd}]}}"#),
    ] {
        let outcome = fetch_list(&list);
        let DirectoryOutcome::PartlyFound(list, unreadable) = outcome else {
            panic!("{outcome:?}")
        };
        let names: Vec<_> = list.instances.iter().map(|record| record.instance.as_str()).collect();
        assert_eq!((names, unreadable.len()), (vec!["i1"], 1));
    }
}
