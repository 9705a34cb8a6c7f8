//! A port that takes no connections for a while. Guards against callers that wait for an instance which cannot serve them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::{
    cell::Cell,
    convert::Infallible,
    io::{Read, Write},
    net::TcpStream,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{BoundListener, HttpConnection, HttpListener, ResponseBody};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};

const CONNECT_LIMIT: Duration = Duration::from_secs(1);

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    request.headers_mut().insert("host", "a".parse().unwrap());
    request
}

fn serve_while_open(bound: BoundListener, takes_connections: &Rc<Cell<bool>>) -> HttpListener {
    let is_open = Rc::clone(takes_connections);
    bound.serve_while(
        support::limits(),
        move || is_open.get(),
        |_| async {
            Ok::<_, Infallible>(Response::new(ResponseBody::from(Bytes::from_static(b"whole"))))
        },
    )
}

#[compio::test]
async fn closed_port_refuses_new_connections_and_serves_open_ones() {
    let bound = HttpListener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let count = bound.connection_count();
    let takes_connections = Rc::new(Cell::new(true));
    let listener = serve_while_open(bound, &takes_connections);
    let address = listener.address;
    let mut kept = HttpConnection::connect(address, CONNECT_LIMIT).await.unwrap();
    let response = kept.send(request()).await.unwrap();
    response.into_body().collect().await.unwrap();

    takes_connections.set(false);
    let deadline = Instant::now() + Duration::from_secs(5);
    // The port closes after the next connection that it accepts.
    while HttpConnection::<Full<Bytes>>::connect(address, CONNECT_LIMIT).await.is_ok() {
        assert!(Instant::now() < deadline, "the port stays open");
    }
    kept.ready().await.unwrap();
    assert_eq!(kept.send(request()).await.unwrap().status(), StatusCode::OK);
    assert!(count.get() >= 1);

    takes_connections.set(true);
    while HttpConnection::<Full<Bytes>>::connect(address, CONNECT_LIMIT).await.is_err() {
        assert!(Instant::now() < deadline, "the port stays closed");
    }
}

/// The callers whose connections were established before the port closed must get answers, not resets.
#[compio::test]
async fn connections_that_wait_are_served_before_the_port_closes() {
    let bound = HttpListener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let takes_connections = Rc::new(Cell::new(true));
    let listener = serve_while_open(bound, &takes_connections);
    // The kernel establishes connections while this thread does not accept them.
    let mut callers: Vec<_> =
        (0..20).map(|_| TcpStream::connect(listener.address).unwrap()).collect();
    for caller in &mut callers {
        caller.write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n").unwrap();
    }
    takes_connections.set(false);
    compio::time::sleep(Duration::from_millis(300)).await;
    let answered = callers.iter_mut().filter_map(|caller| {
        caller.set_read_timeout(Some(CONNECT_LIMIT)).unwrap();
        let mut answer = [0; 15];
        caller.read_exact(&mut answer).ok().filter(|()| &answer == b"HTTP/1.1 200 OK")
    });
    assert_eq!(answered.count(), 20);
    assert!(TcpStream::connect(listener.address).is_err(), "the port is open");
}
