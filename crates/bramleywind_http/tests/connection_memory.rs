//! Memory of idle connections. Guards against a small instance that is ended for its memory when one workspace's callers
//! open more than a thousand connections to it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::{
    convert::Infallible,
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use bramleywind_http::{HttpListener, ResponseBody};
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;

const CONNECTIONS: usize = 500;

/// The size of a request of a long prompt, in bytes.
const BODY_BYTES: usize = 12_000;

/// An instance with 110 MB is to hold 1,500 connections with less than half of its memory.
const MAX_BYTES_EACH: usize = 36_000;

fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1_024
}

/// Sends one request on each of many connections, and returns the connections once all responses have arrived.
fn open_connections(address: SocketAddr) -> Vec<TcpStream> {
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    let request = [head.as_bytes(), &[b'x'; BODY_BYTES]].concat();
    let mut connections: Vec<_> =
        (0..CONNECTIONS).map(|_| TcpStream::connect(address).unwrap()).collect();
    for connection in &mut connections {
        connection.write_all(&request).unwrap();
        let mut answer = [0; 15];
        connection.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"HTTP/1.1 200 OK");
    }
    connections
}

#[test]
fn idle_connection_takes_little_memory() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = HttpListener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = listener.address;
        let _listener = listener.serve(support::limits(), |request| async {
            request.into_body().collect().await.unwrap();
            Ok::<_, Infallible>(Response::new(ResponseBody::from(Bytes::from_static(b"whole"))))
        });
        let before = resident_bytes();
        let callers = thread::spawn(move || open_connections(address));
        while !callers.is_finished() {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        let connections = callers.join().unwrap();
        let each = resident_bytes().saturating_sub(before) / connections.len();
        assert!(each <= MAX_BYTES_EACH, "{each} bytes for each connection");
    });
}
