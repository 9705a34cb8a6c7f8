use std::time::Duration;

use bramleywind_types::{RefusalCode, RunState};
use bytes::Bytes;
use compio::{
    buf::BufResult,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use http::Request;
use http_body_util::Full;
use test_case::test_case;

use crate::harness::{
    FleetOptions, KEY, OTHER_KEY, TEST_TIMEOUT, TestFleet, chat, get, keyed, open, post, run_test,
};

/// Checks that a request is refused with `code` and costs nothing, and that the router still serves others.
async fn assert_refused(fleet: &TestFleet, request: Request<Full<Bytes>>, code: RefusalCode) {
    let refusal = open(fleet.caller(), request).await.complete().await.refusal();
    assert_eq!(refusal.code, code, "{}", refusal.message);
    assert_eq!(refusal.ran, RunState::NotRun);
    fleet.wait_until_idle().await;
    assert_eq!((fleet.spent(), fleet.reserved()), (0, 0));
    let next = open(fleet.caller(), chat("still there", 2, true)).await.complete().await;
    assert_eq!(next.tokens().len(), 2);
}

/// Guards against bodies that are not chat requests and reach an engine or stop the router.
#[test_case(r#"{"model": "weave-small", "messages": [{"role": "user", "content": "cut"; "truncated")]
#[test_case(""; "empty")]
#[test_case("[]"; "not an object")]
#[test_case(r#"{"model": "weave-small", "messages": []}"#; "no messages")]
#[test_case(r#"{"model": 7, "messages": [{"role": "user", "content": "a"}]}"#; "wrong type")]
#[test_case(r#"{"model": "weave-small", "model": "weave-large", "messages": [{"role": "user", "content": "a"}]}"#; "field twice")]
#[test_case(r#"{"model": "weave-small", "messages": [{"role": "user", "content": "a"}], "max_tokens": -1}"#; "negative")]
#[test_case(r#"{"model": "weave-small", "messages": [{"role": "user", "content": "a"}], "max_tokens": 0}"#; "zero")]
#[test_case(r#"{"model": "weave-small", "messages": [{"role": "user", "content": "a"}], "max_tokens": 4294967296}"#; "overflows 32 bits")]
#[test_case(r#"{"model": "weave-small", "messages": [{"role": "user", "content": "a"}], "max_tokens": 18446744073709551616}"#; "overflows 64 bits")]
#[test_case(r#"{"model": "weave-small", "messages": [{"role": "user", "content": "a"}], "max_tokens": 4294967295}"#; "more than the model allows")]
#[test_case(r#"{"model": "weave-small", "messages": [{"role": "user", "content": "a"}], "max_tokens": 1.5}"#; "fraction")]
#[test_case(r#"{"model": "weave-small", "messages": [{"role": "user", "content": "a"}], "n": 2}"#; "two answers")]
#[test_case("{\"model\": \"weave-small\u{0}\", \"messages\": []}"; "control character")]
fn a_body_that_is_no_chat_request_is_refused(body: &'static str) {
    run_test(async move {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        let request = post("/v1/chat/completions", body);
        assert_refused(&fleet, request, RefusalCode::InvalidRequest).await;
    });
}

fn with_key(bearer: Option<&str>) -> Request<Full<Bytes>> {
    let mut request = chat("who pays", 2, true);
    request.headers_mut().remove("authorization");
    if let Some(bearer) = bearer {
        request.headers_mut().insert("authorization", bearer.parse().unwrap());
    }
    request
}

fn with_model(model: &str) -> Request<Full<Bytes>> {
    let body = format!(r#"{{"model":"{model}","messages":[{{"role":"user","content":"a"}}]}}"#);
    post("/v1/chat/completions", body)
}

/// Guards against running requests that the caller is not allowed to make.
#[test_case(|| with_key(None), RefusalCode::Unauthorized; "no key")]
#[test_case(|| with_key(Some("Basic a2V5")), RefusalCode::Unauthorized; "another scheme")]
#[test_case(|| with_key(Some("Bearer nobody")), RefusalCode::Unauthorized; "unknown key")]
#[test_case(|| with_key(Some(&format!("Bearer {OTHER_KEY}"))), RefusalCode::Forbidden; "key of another workspace")]
#[test_case(|| with_model("weave-huge"), RefusalCode::UnknownModel; "unknown model")]
#[test_case(|| with_model("weave-large"), RefusalCode::Forbidden; "model of another workspace")]
#[test_case(|| get("/v1/unknown", KEY), RefusalCode::NotFound; "unknown path")]
#[test_case(|| get("/v1/chat/completions", KEY), RefusalCode::NotFound; "wrong method")]
#[test_case(|| get("/services/nobody/x", KEY), RefusalCode::UnknownService; "unknown service")]
#[test_case(|| get("/services/../x", KEY), RefusalCode::NotFound; "name that is no id")]
#[test_case(|| get("/services/desk/x", OTHER_KEY), RefusalCode::Forbidden; "service of another workspace")]
#[test_case(|| post("/services/desk/elsewhere", "{}"), RefusalCode::NotFound; "unknown route")]
#[test_case(|| post("/services/desk/orders", "{}"), RefusalCode::KeyRequired; "no idempotency key")]
#[test_case(|| keyed(chat("a", 2, true), "two words"), RefusalCode::InvalidRequest; "bad idempotency key")]
#[test_case(|| keyed(chat("a", 2, true), &"k".repeat(129)), RefusalCode::InvalidRequest; "long idempotency key")]
fn a_request_that_is_not_allowed_is_refused(
    request: fn() -> Request<Full<Bytes>>,
    code: RefusalCode,
) {
    run_test(async move {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        assert_refused(&fleet, request(), code).await;
    });
}

/// Guards against a call that evades the rules of its route with another spelling of its path. The service may
/// normalize the path to `/orders`, which must not run without a key.
#[test_case("/services/desk/any/../orders"; "dot segments")]
#[test_case("/services/desk/any/%2e%2E/orders"; "encoded dot segments")]
#[test_case("/services/desk/any/..%2forders"; "encoded slash")]
#[test_case("/services/desk//orders"; "empty segment")]
#[test_case("/services/desk/%6frders"; "encoded letter")]
#[test_case("/services/desk/./orders"; "dot segment")]
#[test_case("/services/desk/any/.."; "dot segment at the end")]
#[test_case("/services/desk/any\\..\\orders"; "backslashes")]
fn a_path_with_another_spelling_is_refused(path: &'static str) {
    run_test(async move {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        let mut request = post("/", "{}");
        *request.method_mut() = http::Method::PUT;
        *request.uri_mut() = path.parse().unwrap();
        assert_refused(&fleet, request, RefusalCode::NotFound).await;
        let executions = fleet.service.executions();
        assert_eq!((executions.without_key, executions.executions.len()), (0, 0));
    });
}

/// Guards against refusing encoded paths that are not ambiguous.
#[test]
fn a_path_with_encoded_characters_is_forwarded() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        for path in ["/services/desk/a%20b", "/services/desk/...", "/services/desk/a.b/?x=../y"] {
            let answer = open(fleet.caller(), get(path, KEY)).await.complete().await;
            assert_eq!(answer.head.status, http::StatusCode::OK, "{path}: {}", answer.text());
        }
    });
}

/// Sends raw bytes, and returns everything that the router sends until it closes the connection. With
/// `closes_writes`, the sending side is shut down after the bytes.
async fn send_raw(fleet: &TestFleet, bytes: Vec<u8>, closes_writes: bool) -> String {
    let mut stream = TcpStream::connect(fleet.caller()).await.unwrap();
    // The write may fail, because the router may refuse the request before it has read everything.
    let BufResult(_, _) = stream.write_all(bytes).await;
    if closes_writes {
        compio::io::AsyncWrite::shutdown(&mut stream).await.unwrap();
    }
    let BufResult(result, answer) = timeout(TEST_TIMEOUT, stream.read_to_end(Vec::new()))
        .await
        .expect("the router closes the connection");
    drop(result);
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(extra: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {KEY}\r\n{extra}\r\n"
    )
    .into_bytes()
}

fn oversize_chunk() -> Vec<u8> {
    let mut bytes = head("transfer-encoding: chunked\r\n");
    bytes.extend_from_slice(b"200000\r\n");
    bytes.resize(bytes.len() + 0x20_0000, b' ');
    bytes
}

/// Guards against input that exhausts memory or time, or that is parsed as a different request. Hyper itself answers
/// input that is not HTTP, with no body.
#[test_case(|| b"GARBAGE\r\n\r\n".to_vec(), false, "HTTP/1.1 400", ""; "no HTTP")]
#[test_case(|| head("a b: c\r\n"), false, "HTTP/1.1 400", ""; "malformed header")]
#[test_case(|| head("content-length: x\r\n"), false, "HTTP/1.1 400", ""; "malformed length")]
#[test_case(|| head("content-length: -1\r\n"), false, "HTTP/1.1 400", ""; "negative length")]
#[test_case(|| head("content-length: 99999999999999999999999\r\n"), false, "HTTP/1.1 400", ""; "overflowing length")]
#[test_case(|| head(&format!("x-a: {}\r\n", "a".repeat(17_000))), false, "HTTP/1.1 431", "headers_too_large"; "large headers")]
#[test_case(|| head(&format!("x-a: {}\r\n", "a".repeat(100_000))), false, "HTTP/1.1 431", ""; "absurd headers")]
#[test_case(|| head("content-length: 1048577\r\n"), false, "HTTP/1.1 413", "body_too_large"; "large body")]
#[test_case(|| head("content-length: 18446744073709551615\r\n"), false, "HTTP/1.1 4", ""; "largest length")]
#[test_case(oversize_chunk, false, "HTTP/1.1 413", "body_too_large"; "large chunked body")]
#[test_case(|| head("transfer-encoding: chunked\r\n").into_iter().chain(*b"zz\r\n").collect(), false, "HTTP/1.1 400", "invalid_request"; "malformed chunk")]
#[test_case(|| b"POST /v1/chat".to_vec(), false, "HTTP/1.1 408", "request_timeout"; "slow head")]
#[test_case(|| head("content-length: 10\r\n"), false, "HTTP/1.1 408", "request_timeout"; "slow body")]
#[test_case(|| b"POST /v1/chat".to_vec(), true, "", ""; "truncated head")]
#[test_case(|| head("content-length: 10\r\n"), true, "", ""; "truncated body")]
fn raw_input_is_refused(input: fn() -> Vec<u8>, closes_writes: bool, status: &str, code: &str) {
    let (status, code) = (status.to_owned(), code.to_owned());
    run_test(async move {
        let limits = |limits: &mut bramleywind_router::RequestLimits| {
            limits.read_time = Duration::from_millis(200);
        };
        let fleet = TestFleet::start(FleetOptions { limits, ..FleetOptions::default() }).await;
        let answer = send_raw(&fleet, input(), closes_writes).await;
        assert!(answer.starts_with(&status), "{answer}");
        assert!(answer.contains(&code), "{answer}");
        if !code.is_empty() {
            assert!(answer.contains("x-request-id: ") && answer.contains("\"ran\":\"not_run\""));
        }
        let next = open(fleet.caller(), chat("still there", 2, true)).await.complete().await;
        assert_eq!(next.tokens().len(), 2);
    });
}
