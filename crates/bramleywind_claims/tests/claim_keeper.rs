//! Tests of the outcomes of claims under single faults of the store and of other routers.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::time::{Duration, Instant};

use bramleywind_claims::{
    ClaimPage, ClaimState, CloseOutcome, MAX_CLAIM_BODY_BYTES, OpeningOutcome, RecordedOutcome,
    UnavailableClaim,
};
use bramleywind_store::{MemoryStore, StoreFaults, StoreKey};
use bramleywind_types::{BodyHash, UnixDeadline};
use support::{
    LocalLink, TEST_TIMEOUT, body_hash, holder, outcome, request_key, short_deadline,
    stored_record, wait_until,
};
use test_case::test_case;

fn short_name(outcome: &OpeningOutcome) -> &'static str {
    match outcome {
        OpeningOutcome::Opened(_) => "opened",
        OpeningOutcome::Recorded(_) => "recorded",
        OpeningOutcome::Running(_) => "running",
        OpeningOutcome::OutcomeUnknown => "outcome unknown",
        OpeningOutcome::Mismatch => "mismatch",
        OpeningOutcome::NotRun => "not run",
        OpeningOutcome::Unavailable(UnavailableClaim::Outage) => "outage",
        OpeningOutcome::Unavailable(UnavailableClaim::Timeout) => "timeout",
        OpeningOutcome::Unavailable(UnavailableClaim::PageFull) => "page full",
        OpeningOutcome::Unavailable(UnavailableClaim::Unresolved) => "unresolved",
    }
}

/// Guards against a store fault being treated as a confirmed claim, and against refusals with a wrong reason.
#[test_case(StoreFaults::default(), "opened" ; "no fault")]
#[test_case(StoreFaults { lose_answers: 1, ..Default::default() }, "opened" ; "a lost answer is read back")]
#[test_case(StoreFaults { lose_answers: 3, ..Default::default() }, "opened" ; "several lost answers")]
#[test_case(StoreFaults { outage: true, ..Default::default() }, "outage" ; "an outage refuses at once")]
#[test_case(StoreFaults { apply_late_ms: 1_000, ..Default::default() }, "unresolved" ; "a late write is not sent")]
#[compio::test]
async fn open_under_a_store_fault(faults: StoreFaults, expected: &str) {
    let store = MemoryStore::new();
    let keeper = LocalLink::default().keeper(store.clone(), 1);
    store.set_faults(faults);
    let opened = keeper.open(&request_key("k"), body_hash(), short_deadline()).await;
    assert_eq!(short_name(&opened), expected);
    store.set_faults(StoreFaults::default());
    drop(opened);
    assert_eq!(keeper.drain(Instant::now() + TEST_TIMEOUT).await, CloseOutcome::Stored);
    let state = stored_record(&store, &request_key("k")).map(|record| record.state);
    assert!(matches!(state, None | Some(ClaimState::NotRun)), "a claim was left open: {state:?}");
}

/// Guards against a delayed write reopening a claim that has been closed meanwhile.
#[compio::test]
async fn late_write_does_not_reopen_a_closed_claim() {
    let store = MemoryStore::new();
    let keeper = LocalLink::default().keeper(store.clone(), 1);
    let key = request_key("k");
    store.set_faults(StoreFaults { apply_late_ms: 600, ..Default::default() });
    let opened = keeper.open(&key, body_hash(), short_deadline()).await;
    assert_eq!(short_name(&opened), "unresolved");
    store.set_faults(StoreFaults::default());
    let written = store.counters().writes;
    assert_eq!(keeper.drain(Instant::now() + TEST_TIMEOUT).await, CloseOutcome::Stored);
    assert!(store.counters().writes > written, "the page was not fenced");
    let fenced = store.peek(&StoreKey::claim_page(&key)).unwrap();
    // The store applies delayed writes by a timer, after 600 milliseconds.
    let late_writes_due_at = Instant::now() + Duration::from_millis(700);
    wait_until("the late writes are due", || Instant::now() >= late_writes_due_at).await;
    assert_eq!(store.peek(&StoreKey::claim_page(&key)), Some(fenced));
    assert_eq!(stored_record(&store, &key).unwrap().state, ClaimState::NotRun);
}

#[derive(Debug, Clone, Copy)]
enum FirstCopy {
    Finished,
    FinishedLarge,
    Unknown,
    ClosedNotRun,
    DroppedBeforeSend,
    DroppedAfterSend,
    HolderGone,
    StillRunning,
}

/// Guards against a repeat getting an answer that does not match what happened to the first copy.
#[test_case(FirstCopy::Finished, "recorded", "recorded")]
#[test_case(FirstCopy::FinishedLarge, "outcome unknown", "outcome unknown")]
#[test_case(FirstCopy::Unknown, "outcome unknown", "outcome unknown")]
#[test_case(FirstCopy::ClosedNotRun, "opened", "not run")]
#[test_case(FirstCopy::DroppedBeforeSend, "opened", "not run")]
#[test_case(FirstCopy::DroppedAfterSend, "outcome unknown", "outcome unknown")]
#[test_case(FirstCopy::HolderGone, "running", "outcome unknown")]
#[test_case(FirstCopy::StillRunning, "running", "running")]
#[compio::test]
async fn repeat_after_a_first_copy(first: FirstCopy, at_same: &str, at_other: &str) {
    for (number, expected) in [(1, at_same), (2, at_other)] {
        let store = MemoryStore::new();
        let link = LocalLink::default();
        let keepers = [link.keeper(store.clone(), 1), link.keeper(store.clone(), 2)];
        let key = request_key("k");
        let deadline = Instant::now() + TEST_TIMEOUT;
        let OpeningOutcome::Opened(mut ticket) = keepers[0].open(&key, body_hash(), deadline).await
        else {
            panic!("the first copy was not opened");
        };
        let mut kept = None;
        match first {
            FirstCopy::Finished => keepers[0].finish(ticket, outcome(b"done")),
            FirstCopy::FinishedLarge => {
                keepers[0].finish(ticket, outcome(&[b'x'; MAX_CLAIM_BODY_BYTES + 1]));
            }
            FirstCopy::Unknown => keepers[0].finish_unknown(ticket),
            FirstCopy::ClosedNotRun => {
                assert_eq!(keepers[0].close_not_run(ticket, deadline).await, CloseOutcome::Stored);
            }
            FirstCopy::DroppedBeforeSend => drop(ticket),
            FirstCopy::DroppedAfterSend => {
                assert!(ticket.begin_send());
                assert!(!ticket.begin_send(), "a ticket allows one send");
                drop(ticket);
            }
            FirstCopy::HolderGone => {
                link.remove(1);
                kept = Some(ticket);
            }
            FirstCopy::StillRunning => kept = Some(ticket),
        }
        if kept.is_none() {
            assert_eq!(keepers[0].drain(deadline).await, CloseOutcome::Stored);
        }
        let keeper = &keepers[number - 1];
        let repeat = keeper.open(&key, body_hash(), short_deadline()).await;
        assert_eq!(short_name(&repeat), expected, "at router {number}");
        if let OpeningOutcome::Recorded(recorded) = &repeat {
            assert_eq!(*recorded, outcome(b"done"));
        }
        if let OpeningOutcome::NotRun = repeat {
            let again = keeper.open(&key, body_hash(), short_deadline()).await;
            assert_eq!(short_name(&again), "opened", "a copy after the refusal may run");
        }
        let different = BodyHash::of(&[b"other"]);
        let mismatch = keepers[1].open(&key, different, short_deadline()).await;
        assert_eq!(short_name(&mismatch), "mismatch");
    }
}

/// Guards against a copy that was already waiting being run after another copy was closed as `not_run`.
#[compio::test]
async fn waiting_copy_does_not_run_after_not_run() {
    let store = MemoryStore::new();
    let link = LocalLink::default();
    let keepers = [link.keeper(store.clone(), 1), link.keeper(store.clone(), 2)];
    let key = request_key("k");
    let deadline = Instant::now() + TEST_TIMEOUT;
    let OpeningOutcome::Opened(ticket) = keepers[0].open(&key, body_hash(), deadline).await else {
        panic!("the first copy was not opened");
    };
    let waiter = keepers[1].clone();
    let waiting = compio::runtime::spawn({
        let key = key.clone();
        async move { waiter.open(&key, body_hash(), deadline).await }
    });
    wait_until("the second copy has read the page", || keepers[1].stats().reads > 0).await;
    assert_eq!(keepers[0].close_not_run(ticket, deadline).await, CloseOutcome::Stored);
    assert_eq!(short_name(&waiting.await.unwrap()), "not run");
}

/// Guards against a caller being told `not_run` after a stale read of a closed claim, while a later copy is running.
#[compio::test]
async fn stale_read_is_not_reported_as_not_run() {
    let store = MemoryStore::new();
    let link = LocalLink::default();
    let keepers = [1, 2, 3].map(|number| link.keeper(store.clone(), number));
    let key = request_key("k");
    let deadline = Instant::now() + TEST_TIMEOUT;
    drop(keepers[0].open(&key, body_hash(), deadline).await);
    assert_eq!(keepers[0].drain(deadline).await, CloseOutcome::Stored);
    let closed = keepers[1].open(&key, body_hash(), deadline).await;
    assert_eq!(short_name(&closed), "not run");
    let running = keepers[1].open(&key, body_hash(), deadline).await;
    assert_eq!(short_name(&running), "opened");
    store.set_faults(StoreFaults { stale_reads: true, ..Default::default() });
    let stale = keepers[2].open(&key, body_hash(), short_deadline()).await;
    assert_eq!(short_name(&stale), "timeout");
    store.set_faults(StoreFaults::default());
    let repeat = keepers[2].open(&key, body_hash(), short_deadline()).await;
    assert_eq!(short_name(&repeat), "running");
}

/// Guards against repeats not getting the outcome while it cannot be stored.
#[compio::test]
async fn outcome_is_answered_from_memory_in_an_outage() {
    let store = MemoryStore::new();
    let link = LocalLink::default();
    let keeper = link.keeper(store.clone(), 1);
    let key = request_key("k");
    let OpeningOutcome::Opened(ticket) = keeper.open(&key, body_hash(), short_deadline()).await
    else {
        panic!("not opened");
    };
    store.set_faults(StoreFaults { outage: true, ..Default::default() });
    keeper.finish(ticket, outcome(b"done"));
    let repeat = keeper.open(&key, body_hash(), short_deadline()).await;
    assert_eq!(short_name(&repeat), "recorded");
    assert_eq!(keeper.drain(short_deadline()).await, CloseOutcome::Pending);
    store.set_faults(StoreFaults::default());
    assert_eq!(keeper.drain(Instant::now() + TEST_TIMEOUT).await, CloseOutcome::Stored);
    let state = stored_record(&store, &key).unwrap().state;
    assert_eq!(state, ClaimState::Done(outcome(b"done")));
}

/// Guards against each claim taking a compare-and-swap of its own.
#[compio::test]
async fn claims_of_one_page_share_writes() {
    let store = MemoryStore::new();
    store.set_faults(StoreFaults { delay_ms: 5, ..Default::default() });
    let keeper = LocalLink::default().keeper(store.clone(), 1);
    let page = StoreKey::claim_page(&request_key("k0"));
    let names = (0..).map(|number| request_key(&format!("k{number}")));
    let keys: Vec<_> = names.filter(|key| StoreKey::claim_page(key) == page).take(20).collect();
    let deadline = Instant::now() + TEST_TIMEOUT;
    let opens = keys.iter().map(|key| keeper.open(key, body_hash(), deadline));
    let opened = futures_util::future::join_all(opens).await;
    assert!(opened.iter().all(|outcome| short_name(outcome) == "opened"));
    assert!(store.counters().writes <= 2, "{} writes", store.counters().writes);
}

/// Guards against a page growing beyond the size that the store accepts, and against expired claims keeping it full.
#[compio::test]
async fn full_page_refuses_until_claims_expire() {
    let store = MemoryStore::new();
    let keeper = LocalLink::default().keeper(store.clone(), 1);
    let key = request_key("k");
    let mut page = ClaimPage::default();
    for number in 0..160 {
        let record = bramleywind_claims::ClaimRecord {
            body_hash: body_hash(),
            holder: holder(9),
            sequence: bramleywind_claims::ClaimSequence(number),
            state: ClaimState::Done(RecordedOutcome {
                status: 200,
                content_type: None,
                body: vec![0; MAX_CLAIM_BODY_BYTES],
            }),
            keep_until_ms: UnixDeadline::after(Duration::from_secs(60)),
        };
        page.insert(&request_key(&format!("old{number}")), record);
    }
    store.put(&StoreKey::claim_page(&key), page.encode());
    let refused = keeper.open(&key, body_hash(), short_deadline()).await;
    assert_eq!(short_name(&refused), "page full");
    for record in page.claims.values_mut().flat_map(|claims| claims.values_mut()) {
        record.keep_until_ms = UnixDeadline::after(Duration::ZERO);
    }
    store.put(&StoreKey::claim_page(&key), page.encode());
    let opened = keeper.open(&key, body_hash(), short_deadline()).await;
    assert_eq!(short_name(&opened), "opened");
    let value = store.peek(&StoreKey::claim_page(&key)).unwrap().value;
    assert_eq!(ClaimPage::decode(&value).unwrap().claims.values().flatten().count(), 1);
}
