//! An endpoint that sends interim responses without end. Guards against a router that does nothing else meanwhile.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::{Duration, Instant},
};

use bramleywind_router::{AttemptFailure, CallTimeouts, DeclineRule, call_endpoint};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

/// How long the endpoint sends.
const SENDING_TIME: Duration = Duration::from_secs(3);

/// A head without end must be given up long before the endpoint ends.
const MAX_WAIT: Duration = Duration::from_secs(1);

#[test]
fn interim_responses_without_end_are_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).unwrap();
        let interim = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500);
        let begin = Instant::now();
        while begin.elapsed() < SENDING_TIME && stream.write_all(interim.as_bytes()).is_ok() {}
    });
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let request =
            Request::builder().uri("/").header("host", "a").body(Full::<Bytes>::default());
        let timeouts = CallTimeouts { connect: MAX_WAIT, first_byte: SENDING_TIME };
        let begin = Instant::now();
        let call =
            call_endpoint(address, request.unwrap(), timeouts, DeclineRule::LeavingOnly).await;
        assert_eq!(call.unwrap_err().failure, AttemptFailure::Broken);
        assert!(begin.elapsed() < MAX_WAIT, "{:?}", begin.elapsed());
    });
}
