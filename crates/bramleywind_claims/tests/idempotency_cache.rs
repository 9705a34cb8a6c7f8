//! Tests of the idempotency cache, which decides what happens to repeats of idempotent requests, and of the choice of
//! homes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::{collections::BTreeMap, time::Instant};

use bramleywind_claims::{
    HomeCandidate, IdempotencyCache, KEY_RETENTION, KeyClaimOutcome, KeyClaimRequest,
    KeyFinishOutcome, KeyFinishRequest, MAX_CACHE_BYTES, MAX_CACHED_BODY_BYTES, choose_homes,
};
use bramleywind_types::{BodyHash, RequestId};
use support::{body_hash, outcome, request_key};
use test_case::test_case;

fn claim(name: &str) -> KeyClaimRequest {
    KeyClaimRequest {
        key: request_key(name),
        body_hash: body_hash(),
        holder: "akl-1".parse().unwrap(),
        attempt: RequestId::random(),
    }
}

/// Guards against a repeat being run although the cache has an outcome, or refused although it has none.
#[test_case(Some(8), KeyFinishOutcome::Recorded, "done" ; "small outcome")]
#[test_case(Some(MAX_CACHED_BODY_BYTES + 1), KeyFinishOutcome::Ignored, "started" ; "outcome over the limit")]
#[test_case(None, KeyFinishOutcome::Recorded, "started" ; "no outcome")]
fn repeat_after_finish(body_bytes: Option<usize>, finished: KeyFinishOutcome, repeat: &str) {
    let now = Instant::now();
    let mut cache = IdempotencyCache::default();
    let first = claim("k");
    assert_eq!(
        cache.claim(&first, |_| true, now),
        KeyClaimOutcome::Started { replaces_dead: false }
    );
    let second = claim("k");
    let running = KeyClaimOutcome::Running { holder: first.holder.clone(), attempt: first.attempt };
    assert_eq!(cache.claim(&second, |_| true, now), running);
    let different = KeyClaimRequest { body_hash: BodyHash::of(&[b"other"]), ..claim("k") };
    assert_eq!(cache.claim(&different, |_| true, now), KeyClaimOutcome::Mismatch);
    let recorded = body_bytes.map(|bytes| outcome(&vec![0; bytes]));
    let foreign = KeyFinishRequest {
        key: first.key.clone(),
        attempt: second.attempt,
        outcome: recorded.clone(),
    };
    assert_eq!(
        cache.finish(&foreign, now),
        KeyFinishOutcome::Ignored,
        "it is not the running attempt"
    );
    let finish = KeyFinishRequest { attempt: first.attempt, ..foreign };
    assert_eq!(cache.finish(&finish, now), finished);
    let answer = match cache.claim(&second, |_| true, now) {
        KeyClaimOutcome::Done(found) if Some(&found) == recorded.as_ref() => "done",
        KeyClaimOutcome::Started { replaces_dead: false } => "started",
        other => panic!("{other:?}"),
    };
    assert_eq!(answer, repeat);
}

/// Guards against a key being blocked forever by a dead router, or remembered forever.
#[test_case(false, 0, true ; "dead holder")]
#[test_case(true, 0, false ; "live holder")]
#[test_case(true, 1, true ; "expired")]
fn running_entry_is_replaced(is_live: bool, retentions: u32, is_replaced: bool) {
    let now = Instant::now();
    let mut cache = IdempotencyCache::default();
    cache.claim(&claim("k"), |_| true, now);
    let later = now + KEY_RETENTION * retentions;
    let answer = cache.claim(&claim("k"), |_| is_live, later);
    let replaces_dead = !is_live && retentions == 0;
    assert_eq!(answer == KeyClaimOutcome::Started { replaces_dead }, is_replaced);
}

/// Guards against the cache growing beyond its size limit.
#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut cache = IdempotencyCache::default();
    for number in 0..400 {
        let request = claim(&format!("k{number}"));
        cache.claim(&request, |_| true, now);
        let outcome = Some(outcome(&vec![0; MAX_CACHED_BODY_BYTES]));
        cache
            .finish(&KeyFinishRequest { key: request.key, attempt: request.attempt, outcome }, now);
        assert!(cache.bytes() <= MAX_CACHE_BYTES);
    }
    assert!(cache.len() > 200);
    assert_eq!(
        cache.claim(&claim("k0"), |_| true, now),
        KeyClaimOutcome::Started { replaces_dead: false },
        "the oldest key was not evicted"
    );
    assert!(matches!(cache.claim(&claim("k399"), |_| true, now), KeyClaimOutcome::Done(_)));
}

/// Guards against both homes of a key being lost with one data centre, and against keys moving needlessly when a router
/// leaves.
#[test]
fn homes_are_spread_and_stable() {
    let candidate = |number: usize| HomeCandidate {
        instance: format!("akl-{number}").parse().unwrap(),
        data_centre: format!("dc-{}", number % 3).parse().unwrap(),
    };
    let candidates: Vec<_> = (0..6).map(candidate).collect();
    let centre_of: BTreeMap<_, _> =
        candidates.iter().map(|found| (&found.instance, &found.data_centre)).collect();
    let mut firsts = BTreeMap::<_, usize>::new();
    for number in 0..600 {
        let key = request_key(&format!("k{number}"));
        let homes = choose_homes(&key, &candidates);
        let (first, second) = (homes.first.clone().unwrap(), homes.second.clone().unwrap());
        assert_ne!(centre_of[&first], centre_of[&second]);
        *firsts.entry(first.clone()).or_default() += 1;
        let survivors = candidates.iter().filter(|found| found.instance != first).cloned();
        let survivors: Vec<_> = survivors.collect();
        let moved = choose_homes(&key, &survivors);
        assert!(
            moved.first == Some(second.clone())
                || centre_of[&moved.first.unwrap()] == centre_of[&first]
        );
        let bystander =
            candidates.iter().find(|found| found.instance != first && found.instance != second);
        let others: Vec<_> =
            candidates.iter().filter(|found| Some(*found) != bystander).cloned().collect();
        assert_eq!(choose_homes(&key, &others), homes, "the loss of another router moved a key");
    }
    assert!(firsts.values().all(|count| (60..=140).contains(count)), "{firsts:?}");
}
