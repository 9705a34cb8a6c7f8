//! A port that takes no connections for a while. Guards against callers that wait for an instance which cannot serve them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    cell::Cell,
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{HeadLimits, HttpConnection, HttpListener, ResponseBody};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};

const CONNECT_LIMIT: Duration = Duration::from_secs(1);

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    request.headers_mut().insert("host", "a".parse().unwrap());
    request
}

#[compio::test]
async fn closed_port_refuses_new_connections_and_serves_open_ones() {
    let listener = HttpListener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.address;
    let limits = HeadLimits {
        read_time: Duration::from_secs(30),
        header_bytes: 16 * 1_024,
        timeout_response: Vec::new,
    };
    let takes_connections = Rc::new(Cell::new(true));
    let is_open = Rc::clone(&takes_connections);
    let count = listener.connection_count();
    let _listener = listener.serve_while(
        limits,
        move || is_open.get(),
        |_| async {
            Ok::<_, Infallible>(Response::new(ResponseBody::from(Bytes::from_static(b"whole"))))
        },
    );
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
