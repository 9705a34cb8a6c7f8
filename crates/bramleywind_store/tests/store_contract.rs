//! Tests the outcomes that callers of the store rely on. [`MemoryStore`] and [`HttpStore`] with the stand-in must
//! return the same ones, so each case runs on both.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    future::Future,
    time::{Duration, Instant},
};

use bramleywind_standins::StoreStandin;
use bramleywind_store::{
    HttpStore, Lease, LeaseOutcome, ListOutcome, MAX_VALUE_BYTES, MemoryStore, NotAppliedReason,
    ReadOutcome, RenewOutcome, Store, StoreFaults, StoreKey, StoreVersion, UnavailableReason,
    VersionedValue, WatchOutcome, WriteOutcome,
};
use bramleywind_types::FencingToken;
use test_case::test_matrix;

/// The time limit of a single test case.
const CASE_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout of each HTTP call, well above the loopback latency on a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy)]
enum StoreKind {
    Memory,
    Http,
}

/// A store under test and its in-memory backend, which sets faults and checks results.
struct Fixture<S> {
    store: S,
    backend: MemoryStore,
}

fn block_on(case: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(compio::time::timeout(CASE_TIMEOUT, case)).unwrap();
}

macro_rules! run {
    ($kind:expr, $case:expr) => {
        block_on(async {
            match $kind {
                StoreKind::Memory => {
                    let store = MemoryStore::new();
                    $case(Fixture { backend: store.clone(), store }).await;
                }
                StoreKind::Http => {
                    let standin =
                        StoreStandin::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
                    let store = HttpStore::new(standin.address(), CALL_TIMEOUT).unwrap();
                    $case(Fixture { backend: standin.store().clone(), store }).await;
                }
            }
        })
    };
}

fn key() -> StoreKey {
    StoreKey::from_text("budgets/0007")
}

fn versioned(value: &str, version: u64) -> VersionedValue {
    VersionedValue { value: value.into(), version: StoreVersion(version) }
}

fn found(value: &str, version: u64) -> ReadOutcome {
    ReadOutcome::Found(versioned(value, version))
}

async fn write(store: &impl Store, value: &str, expected: u64) -> WriteOutcome {
    store.write(&key(), value.into(), StoreVersion(expected)).await
}

/// Waits with a watch on the backend, which faults of writes do not affect, until the key has a version newer
/// than `after`.
async fn wait_for_version(backend: &MemoryStore, after: u64) {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let outcome = backend.watch(&key(), StoreVersion(after), deadline).await;
    assert!(matches!(outcome, WatchOutcome::Changed(_)), "got {outcome:?}");
}

async fn acquire(store: &impl Store, holder: &str, time_to_live: Duration) -> Lease {
    match store.acquire_lease(&key(), holder, time_to_live).await {
        LeaseOutcome::Acquired(lease) => lease,
        outcome => panic!("expected a lease, got {outcome:?}"),
    }
}

/// Guards against lost updates: of two writes that expect the same version, only one may be applied.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn second_writer_of_a_version_conflicts(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, .. }: Fixture<S>) {
        assert_eq!(store.read(&key()).await, ReadOutcome::Missing);
        assert_eq!(write(&store, "a", 0).await, WriteOutcome::Applied(StoreVersion(1)));
        assert_eq!(write(&store, "b", 0).await, WriteOutcome::Conflict);
        assert_eq!(write(&store, "c", 1).await, WriteOutcome::Applied(StoreVersion(2)));
        assert_eq!(write(&store, "d", 7).await, WriteOutcome::Conflict);
        assert_eq!(store.read(&key()).await, found("c", 2));
    }
    run!(kind, case);
}

/// Guards against treating a write whose answer was lost as a failed one.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn lost_answer_is_unknown_and_applied(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        backend.set_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
        assert_eq!(write(&store, "a", 0).await, WriteOutcome::Unknown);
        assert_eq!(store.read(&key()).await, found("a", 1));
        assert_eq!(write(&store, "b", 1).await, WriteOutcome::Applied(StoreVersion(2)));
    }
    run!(kind, case);
}

/// Guards against treating a read after an unknown write as final: the write may still be applied.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn late_write_is_applied_after_its_answer(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        backend.set_faults(StoreFaults { apply_late_ms: 300, ..StoreFaults::default() });
        assert_eq!(write(&store, "a", 0).await, WriteOutcome::Unknown);
        wait_for_version(&backend, 0).await;
        assert_eq!(store.read(&key()).await, found("a", 1));
    }
    run!(kind, case);
}

/// Guards the protection against late writes: writing the key again must make a late write fail.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn late_write_is_fenced_by_a_newer_one(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        backend.set_faults(StoreFaults { apply_late_ms: 300, ..StoreFaults::default() });
        assert_eq!(write(&store, "late", 0).await, WriteOutcome::Unknown);
        // A second late write, to another key, is due after the first one. When it is applied, the first one's
        // time has passed.
        let marker = StoreKey::from_text("budgets/0008");
        let unknown = store.write(&marker, b"end".to_vec(), StoreVersion::MISSING).await;
        assert_eq!(unknown, WriteOutcome::Unknown);
        backend.set_faults(StoreFaults::default());
        assert_eq!(write(&store, "fence", 0).await, WriteOutcome::Applied(StoreVersion(1)));
        let deadline = Instant::now() + CALL_TIMEOUT;
        let outcome = backend.watch(&marker, StoreVersion::MISSING, deadline).await;
        assert!(matches!(outcome, WatchOutcome::Changed(_)), "got {outcome:?}");
        assert_eq!(store.read(&key()).await, found("fence", 1));
    }
    run!(kind, case);
}

/// Guards against trusting a stale read: the write that expects its version must conflict.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn write_after_a_stale_read_conflicts(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        backend.put(&key(), b"old".to_vec());
        backend.put(&key(), b"new".to_vec());
        backend.set_faults(StoreFaults { stale_reads: true, ..StoreFaults::default() });
        assert_eq!(store.read(&key()).await, found("old", 1));
        assert_eq!(write(&store, "mine", 1).await, WriteOutcome::Conflict);
        backend.set_faults(StoreFaults::default());
        assert_eq!(store.read(&key()).await, found("new", 2));
    }
    run!(kind, case);
}

/// Guards against reporting a call refused by the rate limit as an outage or an unknown write.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn call_over_the_rate_is_refused(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        let faults =
            StoreFaults { reads_per_second: 1, writes_per_second: 1, ..StoreFaults::default() };
        backend.set_faults(faults);
        assert_eq!(store.read(&key()).await, ReadOutcome::Missing);
        let refused = UnavailableReason::RateLimited;
        assert_eq!(store.read(&key()).await, ReadOutcome::Unavailable(refused));
        assert_eq!(store.list("").await, ListOutcome::Unavailable(refused));
        assert_eq!(write(&store, "a", 0).await, WriteOutcome::Applied(StoreVersion(1)));
        let not_applied = WriteOutcome::NotApplied(NotAppliedReason::RateLimited);
        assert_eq!(write(&store, "b", 1).await, not_applied);
        assert_eq!(backend.counters().rate_refusals, 3);
        assert_eq!(backend.peek(&key()), Some(versioned("a", 1)));
    }
    run!(kind, case);
}

/// Guards against reporting a write that was refused in an outage as unknown, which would cost an additional
/// read, or as applied.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn outage_refuses_every_call(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        let lease = acquire(&store, "a", CALL_TIMEOUT).await;
        backend.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        let outage = UnavailableReason::Outage;
        assert_eq!(store.read(&key()).await, ReadOutcome::Unavailable(outage));
        let not_applied = WriteOutcome::NotApplied(NotAppliedReason::Outage);
        assert_eq!(write(&store, "a", 0).await, not_applied);
        assert_eq!(store.list("").await, ListOutcome::Unavailable(outage));
        let deadline = Instant::now() + CALL_TIMEOUT;
        let watched = store.watch(&key(), StoreVersion::MISSING, deadline).await;
        assert_eq!(watched, WatchOutcome::Unavailable(outage));
        let renewed = store.renew_lease(&lease, CALL_TIMEOUT).await;
        assert_eq!(renewed, RenewOutcome::Unavailable(outage));
        assert_eq!(backend.peek(&key()), None);
    }
    run!(kind, case);
}

/// Guards against reporting a value over the size limit as an outage, which callers would retry.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn value_over_the_limit_is_refused(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        let largest = vec![7; MAX_VALUE_BYTES];
        let applied = store.write(&key(), largest, StoreVersion::MISSING).await;
        assert_eq!(applied, WriteOutcome::Applied(StoreVersion(1)));
        let refused = store.write(&key(), vec![7; MAX_VALUE_BYTES + 1], StoreVersion(1)).await;
        assert_eq!(refused, WriteOutcome::NotApplied(NotAppliedReason::TooLarge));
        assert_eq!(backend.peek(&key()).unwrap().version, StoreVersion(1));
    }
    run!(kind, case);
}

/// Guards against watches that miss a change, poll the store, or exceed their deadline.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn watch_waits_for_a_newer_version(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        backend.put(&key(), b"a".to_vec());
        let deadline = Instant::now() + CALL_TIMEOUT;
        let at_once = store.watch(&key(), StoreVersion::MISSING, deadline).await;
        assert_eq!(at_once, WatchOutcome::Changed(versioned("a", 1)));

        let watched_key = key();
        let watched = store.watch(&watched_key, StoreVersion(1), deadline);
        let written = async {
            while backend.counters().waiting_watches == 0 {
                compio::time::sleep(Duration::from_millis(1)).await;
            }
            backend.put(&key(), b"b".to_vec());
        };
        let (changed, ()) = futures_util::future::join(watched, written).await;
        assert_eq!(changed, WatchOutcome::Changed(versioned("b", 2)));
        assert_eq!(backend.counters().watches, 2);

        let soon = Instant::now() + Duration::from_millis(20);
        assert_eq!(store.watch(&key(), StoreVersion(2), soon).await, WatchOutcome::Unchanged);
        assert_eq!(backend.counters().waiting_watches, 0);
    }
    run!(kind, case);
}

/// Guards against a listing that returns keys without the prefix or corrupts bytes.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn list_returns_the_prefix_in_order(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, backend }: Fixture<S>) {
        for name in ["members/b", "members/a", "member", "members0"] {
            backend.put(&StoreKey::from_text(name), vec![0, 255, b'"']);
        }
        let ListOutcome::Found(entries) = store.list(StoreKey::MEMBERS).await else {
            panic!("the list is unavailable");
        };
        let keys: Vec<_> = entries.iter().map(|entry| entry.key.as_str()).collect();
        assert_eq!(keys, ["members/a", "members/b"]);
        assert_eq!(entries[0].entry.value, [0, 255, b'"']);
    }
    run!(kind, case);
}

/// Guards against two holders at a time, and against a new holder whose fencing token is not higher than the
/// previous one.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn lease_excludes_others_until_it_ends(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, .. }: Fixture<S>) {
        let first = acquire(&store, "a", CALL_TIMEOUT).await;
        assert_eq!(first.fencing, FencingToken(1));
        assert_eq!(store.acquire_lease(&key(), "b", CALL_TIMEOUT).await, LeaseOutcome::Held);
        assert_eq!(store.acquire_lease(&key(), "a", CALL_TIMEOUT).await, LeaseOutcome::Held);
        assert!(matches!(store.renew_lease(&first, CALL_TIMEOUT).await, RenewOutcome::Renewed(_)));
        store.release_lease(first.clone()).await;
        assert_eq!(store.renew_lease(&first, CALL_TIMEOUT).await, RenewOutcome::Lost);
        let second = acquire(&store, "b", CALL_TIMEOUT).await;
        assert_eq!(second.fencing, FencingToken(2));
    }
    run!(kind, case);
}

/// Guards against a paused holder that renews an expired lease, or relies on it after its deadline.
#[test_matrix([StoreKind::Memory, StoreKind::Http])]
fn expired_lease_is_lost(kind: StoreKind) {
    async fn case<S: Store>(Fixture { store, .. }: Fixture<S>) {
        let short = Duration::from_millis(30);
        let first = acquire(&store, "a", short).await;
        let second = loop {
            match store.acquire_lease(&key(), "b", CALL_TIMEOUT).await {
                LeaseOutcome::Acquired(lease) => break lease,
                LeaseOutcome::Held => compio::time::sleep(Duration::from_millis(2)).await,
                outcome => panic!("got {outcome:?}"),
            }
        };
        // The holder's own deadline must not be later than the store's.
        assert!(first.deadline <= Instant::now());
        assert!(second.fencing > first.fencing);
        assert_eq!(store.renew_lease(&first, CALL_TIMEOUT).await, RenewOutcome::Lost);
    }
    run!(kind, case);
}

/// Guards against reporting a write that was never sent as unknown, and the reverse.
#[test]
fn refused_connection_proves_that_nothing_was_written() {
    block_on(async {
        let standin = StoreStandin::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let store = HttpStore::new(standin.address(), CALL_TIMEOUT).unwrap();
        assert_eq!(write(&store, "a", 0).await, WriteOutcome::Applied(StoreVersion(1)));
        drop(standin);
        // The pooled connection may still be closing, in which case a first write is unknown.
        let not_applied = WriteOutcome::NotApplied(NotAppliedReason::Outage);
        while write(&store, "b", 1).await != not_applied {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        let outage = ReadOutcome::Unavailable(UnavailableReason::Outage);
        assert_eq!(store.read(&key()).await, outage);
    });
}

/// Guards against treating a write that timed out as a failed one: the store still applies it.
#[test]
fn timed_out_write_is_unknown_and_applied_later() {
    block_on(async {
        let standin = StoreStandin::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let backend = standin.store().clone();
        backend.set_faults(StoreFaults { delay_ms: 300, ..StoreFaults::default() });
        let store = HttpStore::new(standin.address(), Duration::from_millis(100)).unwrap();
        assert_eq!(write(&store, "a", 0).await, WriteOutcome::Unknown);
        let timeout = ReadOutcome::Unavailable(UnavailableReason::Timeout);
        assert_eq!(store.read(&key()).await, timeout);
        wait_for_version(&backend, 0).await;
        assert_eq!(backend.peek(&key()), Some(versioned("a", 1)));
    });
}
