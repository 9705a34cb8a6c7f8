//! Guards against requests that are placed by a list of endpoints that is too old, and against refusing them while the store is
//! away and no list can be newer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::registry::{ListGate, ListGateInput};
use test_case::test_case;

const MAX_AGE: Duration = Duration::from_millis(1_700);

fn decide(age_ms: u64, store_silent_ms: Option<u64>, is_link_saturated: bool) -> ListGate {
    let now = Instant::now() + Duration::from_secs(3_600);
    let input = ListGateInput {
        complete_until: now - Duration::from_millis(age_ms),
        store_answered_at: store_silent_ms.map(|silent| now - Duration::from_millis(silent)),
        is_link_saturated,
        max_age: MAX_AGE,
    };
    ListGate::decide(&input, now)
}

#[test_case(1_700, Some(0), false, true; "list that is young enough")]
#[test_case(1_700, Some(0), true, true; "young list behind a full link")]
#[test_case(1_800, Some(50), false, false; "store answered since the list became too old")]
#[test_case(20_000, Some(18_400), false, true; "store answered last while the list was young")]
#[test_case(20_000, Some(18_200), false, false; "store answered once since")]
#[test_case(20_000, None, false, true; "store never answered")]
#[test_case(20_000, None, true, false; "full link")]
fn old_list_is_used_only_while_nothing_newer_is_known(
    age_ms: u64,
    store_silent_ms: Option<u64>,
    is_link_saturated: bool,
    is_open: bool,
) {
    let gate = decide(age_ms, store_silent_ms, is_link_saturated);
    assert_eq!(gate == ListGate::Open, is_open, "{gate:?}");
}

#[test]
fn endpoint_that_answered_lately_gets_requests_despite_an_old_list() {
    let now = Instant::now() + Duration::from_secs(3_600);
    let input = ListGateInput {
        complete_until: now - Duration::from_secs(20),
        store_answered_at: Some(now),
        is_link_saturated: false,
        max_age: MAX_AGE,
    };
    let gate = ListGate::decide(&input, now);
    assert!(gate.admits(Some(now - MAX_AGE)));
    assert!(!gate.admits(Some(now - MAX_AGE - Duration::from_millis(1))));
    assert!(!gate.admits(None));
}
