//! Tests that a workspace that floods the queue does not starve a small one, and that the queue loses no request.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_routing::{FairQueue, QueueRefusal, QueuedRequest};
use proptest::prelude::*;

fn request(workspace: &str, payload: u32) -> QueuedRequest<u32> {
    let deadline = Instant::now() + Duration::from_secs(60);
    QueuedRequest { workspace: workspace.parse().unwrap(), cost: 100, deadline, payload }
}

#[test]
fn small_workspace_is_served_next_while_a_large_one_floods() {
    let mut queue = FairQueue::new(100);
    for payload in 0..50 {
        queue.push(request("large", payload)).unwrap();
    }
    queue.pop().unwrap();
    queue.push(request("small", 1_000)).unwrap();
    let next: Vec<_> = (0..2).map(|_| queue.pop().unwrap().payload).collect();
    assert!(next.contains(&1_000), "{next:?}");
}

/// Guards against a workspace whose lane is empty for a moment being served before one that kept waiting.
#[test]
fn virtual_time_survives_an_empty_lane() {
    let mut queue = FairQueue::new(100);
    queue.push(QueuedRequest { cost: 1_000, ..request("large", 0) }).unwrap();
    for payload in 10..13 {
        queue.push(request("small", payload)).unwrap();
    }
    let order: Vec<_> = (0..2).map(|_| queue.pop().unwrap().payload).collect();
    assert_eq!(order, [0, 10]);
    queue.push(request("large", 1)).unwrap();
    let order: Vec<_> = (0..3).map(|_| queue.pop().unwrap().payload).collect();
    assert_eq!(order, [11, 12, 1]);
}

#[test]
fn full_queue_displaces_the_newest_of_the_longest_lane() {
    let mut queue = FairQueue::new(4);
    for payload in 0..4 {
        queue.push(request("large", payload)).unwrap();
    }
    let displaced = queue.push(request("small", 9)).unwrap().unwrap();
    assert_eq!(displaced.payload, 3);
    let (refusal, refused) = queue.push(request("large", 4)).unwrap_err();
    assert_eq!((refusal, refused.payload), (QueueRefusal::Full, 4));
}

#[test]
fn expired_requests_are_removed() {
    let mut queue = FairQueue::new(4);
    let now = Instant::now();
    queue.push(QueuedRequest { deadline: now, ..request("a", 1) }).unwrap();
    queue.push(request("a", 2)).unwrap();
    let expired: Vec<_> = queue.take_expired(now).into_iter().map(|found| found.payload).collect();
    assert_eq!(expired, [1]);
    assert_eq!(queue.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Each request leaves the queue exactly once: popped, displaced or refused.
    #[test]
    fn no_request_is_lost_or_duplicated(steps in proptest::collection::vec((0u8..4, 0u8..3), 1..200)) {
        let mut queue = FairQueue::new(8);
        let mut out = Vec::new();
        let mut number = 0;
        for (workspace, action) in steps {
            if action == 0 {
                out.extend(queue.pop().map(|found| found.payload));
            } else {
                match queue.push(request(&format!("w{workspace}"), number)) {
                    Ok(displaced) => out.extend(displaced.map(|found| found.payload)),
                    Err((_, refused)) => out.push(refused.payload),
                }
                number += 1;
            }
            prop_assert!(queue.len() <= 8);
        }
        while let Some(found) = queue.pop() {
            out.push(found.payload);
        }
        out.sort_unstable();
        prop_assert_eq!(out, (0..number).collect::<Vec<_>>());
    }
}
