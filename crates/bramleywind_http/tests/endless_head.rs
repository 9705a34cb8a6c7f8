//! Peers that send without end. Guards against a connection that keeps all other tasks of the process from running, or
//! that waits without end for the head of a response.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use bramleywind_http::{ConnectionError, HttpConnection, HttpListener, ResponseBody};
use bytes::Bytes;
use compio::time::sleep;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use test_case::test_case;

/// How long the peer sends.
const SENDING_TIME: Duration = Duration::from_secs(3);

/// A head without end must be given up long before the peer ends.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The longest time that another task may wait for a turn: the target for a first event, less its way.
const MAX_TURN_DELAY: Duration = Duration::from_millis(500);

const TICK: Duration = Duration::from_millis(5);

/// Repeats `piece` on a connection after `head`, until it is closed or the time is over.
fn send_without_end(mut stream: TcpStream, head: &str, piece: &str) {
    let begin = Instant::now();
    let pieces = piece.repeat(16 * 1024 / piece.len());
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    while begin.elapsed() < SENDING_TIME && stream.write_all(pieces.as_bytes()).is_ok() {}
}

/// Starts a server that reads one request and then lets `answer` write to its connection.
fn start_server(answer: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).unwrap();
        answer(stream);
    });
    address
}

/// Records the longest time between two turns of a task.
fn watch_turns() -> (Rc<Cell<Duration>>, compio::runtime::JoinHandle<()>) {
    let longest = Rc::<Cell<Duration>>::default();
    let recorded = Rc::clone(&longest);
    let task = compio::runtime::spawn(async move {
        loop {
            let asked_at = Instant::now();
            sleep(TICK).await;
            recorded.set(recorded.get().max(asked_at.elapsed()));
        }
    });
    (longest, task)
}

fn request() -> Request<Full<Bytes>> {
    Request::builder().uri("/").header("host", "a").body(Full::new(Bytes::new())).unwrap()
}

#[test_case("", "HTTP/1.1 103 Early Hints\r\n\r\n"; "interim responses")]
#[test_case("HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"; "interim responses of several kinds")]
#[test_case("HTTP/1.1 200 OK\r\n", "a: b\r\n"; "header lines")]
#[test_case("HTTP/1.1 200 OK\r\na: ", "bbbbbbbb"; "one header line")]
#[test_case("", "no answer "; "bytes that are no answer")]
fn head_without_end_is_given_up(head: &'static str, piece: &'static str) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let address = start_server(move |stream| send_without_end(stream, head, piece));
        let mut connection = HttpConnection::connect(address, MAX_WAIT).await.unwrap();
        let (longest, _task) = watch_turns();
        sleep(TICK).await;
        let begin = Instant::now();
        let error = connection.send(request()).await.unwrap_err();
        assert!(begin.elapsed() < MAX_WAIT, "{:?}", begin.elapsed());
        let is_broken =
            matches!(error, ConnectionError::HeadTooLarge { .. } | ConnectionError::Broken { .. });
        assert!(is_broken && !error.is_not_sent(), "{error}");
        sleep(TICK).await;
        assert!(longest.get() < MAX_TURN_DELAY, "{:?}", longest.get());
    });
}

/// Interim responses that end must not cost the response.
#[test]
fn interim_responses_before_a_response_are_skipped() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let address = start_server(|mut stream| {
            let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(100);
            stream.write_all(interim.as_bytes()).unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole").unwrap();
            thread::sleep(MAX_WAIT);
        });
        let mut connection = HttpConnection::connect(address, MAX_WAIT).await.unwrap();
        let response = connection.send(request()).await.unwrap();
        assert_eq!(response.into_body().collect().await.unwrap().to_bytes(), "whole");
    });
}

#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"; "tiny chunks")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n", "xxxxxxxx"; "length")]
fn body_without_end_leaves_others_their_turns(head: &'static str, piece: &'static str) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let address = start_server(move |stream| send_without_end(stream, head, piece));
        let mut connection = HttpConnection::connect(address, MAX_WAIT).await.unwrap();
        let (longest, _task) = watch_turns();
        let mut body = connection.send(request()).await.unwrap().into_body();
        let begin = Instant::now();
        while begin.elapsed() < MAX_WAIT {
            body.frame().await.unwrap().unwrap();
        }
        drop(connection);
        sleep(TICK).await;
        assert!(longest.get() < MAX_TURN_DELAY, "{:?}", longest.get());
    });
}

/// A caller whose body has no end must not keep the process from its other tasks.
#[test]
fn request_body_without_end_leaves_others_their_turns() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = HttpListener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = listener.address;
        let _listener = listener.serve(support::limits(), |request| async {
            // Reads until the connection ends.
            let mut body = request.into_body();
            while let Some(Ok(_)) = body.frame().await {}
            Ok::<_, std::convert::Infallible>(Response::new(ResponseBody::from(Bytes::new())))
        });
        let (longest, _task) = watch_turns();
        let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        let caller = thread::spawn(move || {
            send_without_end(TcpStream::connect(address).unwrap(), head, "1\r\nx\r\n");
        });
        while !caller.is_finished() {
            sleep(TICK).await;
        }
        assert!(longest.get() < MAX_TURN_DELAY, "{:?}", longest.get());
    });
}
