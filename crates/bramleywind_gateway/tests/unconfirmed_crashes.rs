//! Guards against ends of endpoints that only the registry shows, because something else accepts connections at their
//! addresses or nothing answers there.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_gateway::{
    crashes::{CallFingerprint, RunProgress, UnconfirmedCrash, UnconfirmedCrashes},
    endpoints::{Endpoint, EndpointRecord},
};
use http::{Method, Uri};
use test_case::test_case;

/// What the endpoint did after the connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Afterwards {
    Silent,
    Answered,
}

/// Guards against a connection that an endpoint broke off while it lived counting as its end.
#[test_case(Afterwards::Silent, 1, "desk-1", 1; "entry goes")]
#[test_case(Afterwards::Silent, 1, "desk-2", 0; "entry of another endpoint goes")]
#[test_case(Afterwards::Answered, 1, "desk-1", 0; "endpoint answered since")]
#[test_case(Afterwards::Silent, 20, "desk-1", 0; "entry goes much later")]
fn lost_connection_counts_once_the_registry_shows_the_end(
    afterwards: Afterwards,
    seconds_later: u64,
    ended: &str,
    confirmed: usize,
) {
    let lost_at = Instant::now();
    let endpoint = Rc::new(Endpoint::new(EndpointRecord {
        id: "desk-1".parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "north".parse().unwrap(),
        slots: 6,
        is_leaving: false,
        started_at_ms: Some(1),
    }));
    endpoint.record_activity(lost_at);
    let (service, target) = ("desk".parse().unwrap(), Uri::from_static("/orders/7"));
    let mut crashes = UnconfirmedCrashes::default();
    crashes.insert(UnconfirmedCrash {
        endpoint: Rc::clone(&endpoint),
        fingerprint: CallFingerprint::of(None, &service, &Method::GET, &target, b""),
        shared_parts: Box::default(),
        progress: RunProgress::Unanswered,
        lost_at,
    });
    if afterwards == Afterwards::Answered {
        endpoint.record_activity(lost_at + Duration::from_millis(10));
    }
    let now = lost_at + Duration::from_secs(seconds_later);
    assert_eq!(crashes.confirm(&ended.parse().unwrap(), now).len(), confirmed);
    // An end counts once.
    assert_eq!(crashes.confirm(&ended.parse().unwrap(), now).len(), 0);
}
