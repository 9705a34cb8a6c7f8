//! Property tests with random interleavings of copies of a request at several routers, over a store in which single
//! calls fail.
//!
//! The scenarios are generated from fixed seeds, but the order of events in a scenario also depends on timing.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::{CloseOutcome, OpeningOutcome, UnavailableClaim};
use bramleywind_store::{
    Lease, LeaseOutcome, ListOutcome, MemoryStore, ReadOutcome, RenewOutcome, Store, StoreFaults,
    StoreKey, StoreVersion, WatchOutcome, WriteOutcome,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use support::{LocalLink, TEST_TIMEOUT, body_hash, outcome, request_key};
use test_case::test_case;

const ROUTERS: u64 = 3;
const KEYS: u8 = 2;

/// The fault injected into one store call.
#[derive(Debug, Clone, Copy)]
enum CallFault {
    None,
    Outage,
    RateLimited,
    LostAnswer,
    LateWrite { after_ms: u64 },
    StaleRead,
}

#[derive(Debug, Clone, Copy)]
struct ScriptedCall {
    fault: CallFault,
    delay_before_ms: u64,
    delay_after_ms: u64,
}

/// The store client of one router. Each call uses the next fault of the script. After the router is killed, calls that
/// have not reached the store are never made, and no call returns.
#[derive(Clone)]
struct ScriptedStore {
    store: MemoryStore,
    script: Rc<RefCell<Vec<ScriptedCall>>>,
    is_killed: Rc<Cell<bool>>,
}

impl ScriptedStore {
    async fn call<T>(&self, call: impl AsyncFnOnce(&MemoryStore) -> T) -> T {
        let next = self.script.borrow_mut().pop();
        let none = ScriptedCall { fault: CallFault::None, delay_before_ms: 0, delay_after_ms: 0 };
        let ScriptedCall { fault, delay_before_ms, delay_after_ms } = next.unwrap_or(none);
        compio::time::sleep(Duration::from_millis(delay_before_ms)).await;
        self.stop_if_killed().await;
        let faults = match fault {
            CallFault::None => StoreFaults::default(),
            CallFault::Outage => StoreFaults { outage: true, ..Default::default() },
            CallFault::RateLimited => {
                StoreFaults { reads_per_second: 1, writes_per_second: 1, ..Default::default() }
            }
            CallFault::LostAnswer => StoreFaults { lose_answers: 1, ..Default::default() },
            CallFault::LateWrite { after_ms } => {
                StoreFaults { apply_late_ms: after_ms, ..Default::default() }
            }
            CallFault::StaleRead => StoreFaults { stale_reads: true, ..Default::default() },
        };
        self.store.set_faults(faults);
        if matches!(fault, CallFault::RateLimited) {
            // Exhausts the rate limit, so that the call itself is refused.
            let spare = StoreKey::from_text("spare");
            let _ = self.store.read(&spare).await;
            let _ = self.store.write(&spare, Vec::new(), StoreVersion(u64::MAX)).await;
        }
        // Without an injected delay the store never awaits, so the fault affects only this call.
        let result = call(&self.store).await;
        self.store.set_faults(StoreFaults::default());
        compio::time::sleep(Duration::from_millis(delay_after_ms)).await;
        self.stop_if_killed().await;
        result
    }

    async fn stop_if_killed(&self) {
        if self.is_killed.get() {
            std::future::pending::<()>().await;
        }
    }
}

impl Store for ScriptedStore {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        self.call(async |store| store.read(key).await).await
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        self.call(async |store| store.write(key, value, expected).await).await
    }

    async fn watch(&self, key: &StoreKey, after: StoreVersion, deadline: Instant) -> WatchOutcome {
        self.store.watch(key, after, deadline).await
    }

    async fn list(&self, prefix: &str) -> ListOutcome {
        self.store.list(prefix).await
    }

    async fn acquire_lease(&self, key: &StoreKey, holder: &str, ttl: Duration) -> LeaseOutcome {
        self.store.acquire_lease(key, holder, ttl).await
    }

    async fn renew_lease(&self, lease: &Lease, ttl: Duration) -> RenewOutcome {
        self.store.renew_lease(lease, ttl).await
    }

    async fn release_lease(&self, lease: Lease) {
        self.store.release_lease(lease).await;
    }
}

/// How a router ends a claim that it has opened.
#[derive(Debug, Clone, Copy)]
enum CopyEnd {
    Finish,
    CloseNotRun,
    DropBeforeSend,
    DropAfterSend,
}

#[derive(Debug, Clone, Copy)]
struct RequestCopy {
    key: u8,
    router: u64,
    arrives_ms: u64,
    timeout_ms: u64,
    /// The time after which the caller disconnects, if it does.
    cancelled_ms: Option<u64>,
    sends_after_ms: u64,
    runs_ms: u64,
    end: CopyEnd,
}

#[derive(Debug, Clone)]
struct Scenario {
    calls: Vec<Vec<ScriptedCall>>,
    copies: Vec<RequestCopy>,
    /// The router that is killed, and when, in milliseconds.
    kill: Option<(u64, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventKind {
    Arrived,
    Sent,
    ToldNotRun,
}

#[derive(Debug, Clone, Copy)]
struct CopyEvent {
    copy: usize,
    key: u8,
    kind: EventKind,
}

fn scripted_call() -> impl Strategy<Value = ScriptedCall> {
    let fault = prop_oneof![
        6 => Just(CallFault::None),
        1 => Just(CallFault::Outage),
        1 => Just(CallFault::RateLimited),
        3 => Just(CallFault::LostAnswer),
        3 => (1..60_u64).prop_map(|after_ms| CallFault::LateWrite { after_ms }),
        2 => Just(CallFault::StaleRead),
    ];
    (fault, 0..8_u64, 0..8_u64).prop_map(|(fault, delay_before_ms, delay_after_ms)| ScriptedCall {
        fault,
        delay_before_ms,
        delay_after_ms,
    })
}

fn request_copy() -> impl Strategy<Value = RequestCopy> {
    let end = prop_oneof![
        2 => Just(CopyEnd::Finish),
        3 => Just(CopyEnd::CloseNotRun),
        2 => Just(CopyEnd::DropBeforeSend),
        1 => Just(CopyEnd::DropAfterSend),
    ];
    let times = (0..120_u64, 20..150_u64, 0..20_u64, 0..20_u64);
    (0..KEYS, 0..ROUTERS, times, prop::option::weighted(0.2, 0..60_u64), end).prop_map(
        |(key, router, (arrives_ms, timeout_ms, sends_after_ms, runs_ms), cancelled_ms, end)| {
            RequestCopy {
                key,
                router,
                arrives_ms,
                timeout_ms,
                cancelled_ms,
                sends_after_ms,
                runs_ms,
                end,
            }
        },
    )
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let calls =
        prop::collection::vec(prop::collection::vec(scripted_call(), 0..40), ROUTERS as usize);
    let kill = prop::option::weighted(0.3, (0..ROUTERS, 5..120_u64));
    (calls, prop::collection::vec(request_copy(), 1..12), kill)
        .prop_map(|(calls, copies, kill)| Scenario { calls, copies, kill })
}

/// A router under test, which consists of its claim keeper.
struct Router {
    keeper: bramleywind_claims::ClaimKeeper<ScriptedStore, LocalLink<ScriptedStore>>,
    script: Rc<RefCell<Vec<ScriptedCall>>>,
    is_killed: Rc<Cell<bool>>,
}

/// Runs one copy of a request at its router, and logs its events.
async fn run_copy(
    index: usize,
    copy: RequestCopy,
    routers: Rc<Vec<Router>>,
    events: Rc<RefCell<Vec<CopyEvent>>>,
) {
    let log = |kind| events.borrow_mut().push(CopyEvent { copy: index, key: copy.key, kind });
    let sleep = |ms| compio::time::sleep(Duration::from_millis(ms));
    sleep(copy.arrives_ms).await;
    let Router { keeper, is_killed, .. } = &routers[copy.router as usize];
    if is_killed.get() {
        return;
    }
    log(EventKind::Arrived);
    let deadline = Instant::now() + Duration::from_millis(copy.timeout_ms);
    let key = request_key(&format!("key-{}", copy.key));
    let open = keeper.open(&key, body_hash(), deadline);
    let opened = match copy.cancelled_ms {
        None => open.await,
        Some(ms) => match compio::time::timeout(Duration::from_millis(ms), open).await {
            Ok(opened) => opened,
            Err(_) => return,
        },
    };
    if is_killed.get() {
        return;
    }
    let mut ticket = match opened {
        OpeningOutcome::Opened(ticket) => ticket,
        OpeningOutcome::NotRun => return log(EventKind::ToldNotRun),
        _ => return,
    };
    sleep(copy.sends_after_ms).await;
    if is_killed.get() {
        return std::mem::forget(ticket);
    }
    match copy.end {
        CopyEnd::DropBeforeSend => return,
        CopyEnd::CloseNotRun => {
            let wait = Instant::now() + Duration::from_millis(200);
            let closed = keeper.close_not_run(ticket, wait).await;
            if closed == CloseOutcome::Stored && !is_killed.get() {
                log(EventKind::ToldNotRun);
            }
            return;
        }
        CopyEnd::Finish | CopyEnd::DropAfterSend => {}
    }
    assert!(ticket.begin_send());
    log(EventKind::Sent);
    sleep(copy.runs_ms).await;
    if matches!(copy.end, CopyEnd::Finish) {
        keeper.finish(ticket, outcome(b"done"));
    }
}

/// Checks that each key is sent at most once, and that no copy is sent after the same or a later copy was told
/// `not_run`.
fn check_events(events: &[CopyEvent]) -> Result<(), TestCaseError> {
    for key in 0..KEYS {
        let of_key: Vec<_> = events.iter().filter(|event| event.key == key).collect();
        let sent = of_key.iter().filter(|event| event.kind == EventKind::Sent).count();
        prop_assert!(sent <= 1, "key {key} was sent {sent} times: {of_key:?}");
        let arrival = |copy| of_key.iter().position(|event| event.copy == copy);
        for (told_at, told) in of_key.iter().enumerate() {
            if told.kind != EventKind::ToldNotRun {
                continue;
            }
            for later in &of_key[told_at..] {
                let is_earlier_copy = arrival(later.copy) <= arrival(told.copy);
                prop_assert!(
                    later.kind != EventKind::Sent || !is_earlier_copy,
                    "copy {} was sent after copy {} was told not_run: {of_key:?}",
                    later.copy,
                    told.copy
                );
            }
        }
    }
    Ok(())
}

async fn run_scenario(scenario: Scenario) -> Result<(), TestCaseError> {
    let store = MemoryStore::new();
    let link = LocalLink::default();
    let router = |number: u64| {
        let is_killed = Rc::new(Cell::new(false));
        let script = Rc::new(RefCell::new(scenario.calls[number as usize].clone()));
        let store = store.clone();
        let is_dead = Rc::clone(&is_killed);
        let store = ScriptedStore { store, script: Rc::clone(&script), is_killed: is_dead };
        Router { keeper: link.keeper(store, number), script, is_killed }
    };
    let routers: Rc<Vec<_>> = Rc::new((0..ROUTERS).map(router).collect());
    let events = Rc::new(RefCell::new(Vec::new()));
    if let Some((number, after_ms)) = scenario.kill {
        let (link, routers) = (link.clone(), Rc::clone(&routers));
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(after_ms)).await;
            routers[number as usize].is_killed.set(true);
            link.remove(number);
        })
        .detach();
    }
    let copies = scenario
        .copies
        .iter()
        .enumerate()
        .map(|(index, copy)| run_copy(index, *copy, Rc::clone(&routers), Rc::clone(&events)));
    let all = futures_util::future::join_all(copies);
    if scenario.kill.is_none() {
        let is_over = compio::time::timeout(TEST_TIMEOUT, all).await.is_ok();
        prop_assert!(is_over, "a copy never ended");
    } else {
        // Copies at the killed router never end. The others take at most half a second.
        let _ = compio::time::timeout(Duration::from_millis(1_500), all).await;
    }
    for router in routers.iter().filter(|router| !router.is_killed.get()) {
        router.keeper.drain(Instant::now() + TEST_TIMEOUT).await;
        prop_assert_eq!(router.keeper.stats().live, 0, "a claim was never closed");
    }
    // Once the store works again, a live router must be able to decide the outcome of each key.
    let last = routers.iter().find(|router| !router.is_killed.get()).unwrap();
    last.script.borrow_mut().clear();
    for key in 0..KEYS {
        let key = request_key(&format!("key-{key}"));
        let deadline = Instant::now() + Duration::from_millis(500);
        let opened = last.keeper.open(&key, body_hash(), deadline).await;
        let is_undecided = matches!(
            opened,
            OpeningOutcome::Unavailable(UnavailableClaim::Unresolved) | OpeningOutcome::Running(_)
        );
        prop_assert!(!is_undecided, "{key} is undecided: {opened:?}");
    }
    check_events(&events.borrow())
}

/// Guards against a request being sent twice under one key, and against an earlier copy being sent after a caller was
/// told `not_run`.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn request_is_sent_at_most_once_and_never_after_not_run(seed: u8) {
    let config =
        Config { cases: 40, failure_persistence: None, max_shrink_iters: 20, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let runtime = compio::runtime::Runtime::new().unwrap();
    runner
        .run(&scenario(), |scenario| runtime.block_on(run_scenario(scenario)))
        .unwrap_or_else(|failure| panic!("{failure}"));
}
