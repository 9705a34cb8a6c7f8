//! Tests the order dispatcher with a store and engines in memory.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::time::{Duration, Instant};

use bramleywind_orders::{LeaseChange, OrderOutcome, OrderResult};
use bramleywind_store::{CallCounters, LeaseOutcome, MemoryStore, Store, StoreFaults};
use support::{
    FakeClient, TEST_TIMEOUT, TIMING, TestDispatcher, acquire, dispatcher, engine, loading_engine,
    reconcile_until, run,
};
use test_case::test_case;

fn results(report: &bramleywind_orders::ReconcileReport) -> Vec<OrderResult> {
    report.steps.iter().map(|step| step.result).collect()
}

const CONFIRMED: [OrderResult; 2] =
    [OrderResult::Sent(OrderOutcome::Accepted), OrderResult::Confirmed];

/// Guards against two processes that send at the same time, and against orders without a lease.
#[test]
fn only_the_holder_sends() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let (mut first, mut second) =
            (dispatcher("a", &store, &client), dispatcher("b", &store, &client));
        let (one, other) =
            futures_util::future::join(first.try_acquire_lease(), second.try_acquire_lease()).await;
        assert_eq!((one, other), (LeaseChange::Acquired, LeaseChange::None));
        let engines = [engine("prefill", true)];
        assert_eq!(results(&second.reconcile_engines(&engines, || false).await), []);
        assert_eq!(results(&first.reconcile_engines(&engines, || false).await), CONFIRMED);
        assert_eq!(client.engines.arrived.borrow().len(), 1);
        // Results that are in place are not ordered again.
        assert_eq!(results(&first.reconcile_engines(&engines, || false).await), []);
    });
}

/// Guards against a process that considers itself the holder, or blocks the lease forever, after the answer to
/// its acquisition was lost.
#[test]
fn lost_acquisition_ends_by_itself() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let (mut first, mut second) =
            (dispatcher("a", &store, &client), dispatcher("b", &store, &client));
        let taken = store.acquire_lease(&TestDispatcher::key(), "a", TIMING.lease_time).await;
        assert!(matches!(taken, LeaseOutcome::Acquired(_)));
        store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        assert_eq!(first.try_acquire_lease().await, LeaseChange::Unavailable);
        store.set_faults(StoreFaults::default());
        assert_eq!(
            results(&first.reconcile_engines(&[engine("prefill", true)], || false).await),
            []
        );
        assert_eq!(second.try_acquire_lease().await, LeaseChange::None);
        acquire(&mut second).await;
        reconcile_until(&mut second, &[engine("prefill", true)], || {
            client.engines.role(&engine("prefill", true)).as_deref() == Some("prefill")
        })
        .await;
        assert_eq!(client.engines.arrived.borrow().len(), 1);
    });
}

/// Guards against a lasting effect of an order whose sender was paused after its last check of the lease and
/// resumes after another process took over. An engine that checks fencing refuses the order; any other engine is
/// corrected by the next round.
#[test_case(true, &["decode"]; "fenced")]
#[test_case(false, &["prefill", "decode"]; "unfenced")]
fn late_order_of_a_paused_holder_does_not_last(checks_fencing: bool, after: &[&str]) {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let paused = FakeClient { engines: client.engines.clone(), ..FakeClient::default() };
        let mut first = dispatcher("a", &store, &paused);
        let old = engine("prefill", checks_fencing);
        acquire(&mut first).await;
        paused.is_paused.set(true);
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let report = first.reconcile_engines(std::slice::from_ref(&old), || false).await;
            if results(&report).contains(&OrderResult::Sent(OrderOutcome::Unknown)) {
                break;
            }
            assert!(Instant::now() < deadline, "no order was sent in time");
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        let mut second = dispatcher("b", &store, &client);
        acquire(&mut second).await;
        let new = engine("decode", checks_fencing);
        let is_new = || client.engines.role(&new).as_deref() == Some("decode");
        reconcile_until(&mut second, std::slice::from_ref(&new), is_new).await;
        paused.is_paused.set(false);
        let has_arrived = || client.engines.arrived.borrow().len() == 2;
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !has_arrived() {
            assert!(Instant::now() < deadline, "the late order did not arrive in time");
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(client.engines.role(&new).as_deref(), Some(after[0]));
        second.reconcile_engines(std::slice::from_ref(&new), || false).await;
        assert_eq!(client.engines.role(&new).as_deref(), after.last().copied());
        // The old holder has noticed that its lease ended, and sends no further orders.
        assert_eq!(results(&first.reconcile_engines(&[old], || false).await), []);
        assert!(!first.is_holder());
    });
}

/// Guards against a new holder that sends orders to an engine without fencing while orders of the previous
/// holder may be in flight.
#[test]
fn unfenced_engine_gets_no_order_before_the_settling_time() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let mut holder = dispatcher("a", &store, &client);
        let started = Instant::now();
        acquire(&mut holder).await;
        let engines = [engine("prefill", false)];
        assert_eq!(
            results(&holder.reconcile_engines(&engines, || false).await),
            [OrderResult::Settling]
        );
        reconcile_until(&mut holder, &engines, || !client.engines.arrived.borrow().is_empty())
            .await;
        assert!(started.elapsed() >= TIMING.settle_time(), "{:?}", started.elapsed());
    });
}

/// Guards against new orders while the store cannot confirm the lease, and against a holder that does not
/// continue after a short outage or that remains the holder during a long one.
#[test]
fn outage_stops_new_orders() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let mut holder = dispatcher("a", &store, &client);
        acquire(&mut holder).await;
        let outage = StoreFaults { outage: true, ..StoreFaults::default() };
        store.set_faults(outage);
        let deadline = Instant::now() + TIMING.renewal_interval;
        while Instant::now() < deadline {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        let engines = [engine("prefill", true)];
        let report = holder.reconcile_engines(&engines, || false).await;
        assert_eq!(results(&report), [OrderResult::StoreUnavailable]);
        store.set_faults(StoreFaults::default());
        assert_eq!(results(&holder.reconcile_engines(&engines, || false).await), CONFIRMED);
        store.set_faults(outage);
        let deadline = Instant::now() + TEST_TIMEOUT;
        while holder.is_holder() {
            assert!(Instant::now() < deadline, "the lease did not end in time");
            assert_ne!(holder.renew().await, LeaseChange::Acquired);
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        let changed = [engine("decode", true)];
        assert_eq!(results(&holder.reconcile_engines(&changed, || false).await), []);
        assert_eq!(client.engines.arrived.borrow().len(), 1);
    });
}

/// Guards against a planned stop after which nobody can acquire the lease until it expires, and against orders
/// that are sent after the stop.
#[test]
fn stopping_holder_hands_over_at_once() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let (mut first, mut second) =
            (dispatcher("a", &store, &client), dispatcher("b", &store, &client));
        acquire(&mut first).await;
        assert_eq!(
            results(&first.reconcile_engines(&[engine("prefill", true)], || true).await),
            []
        );
        first.release().await;
        assert_eq!(second.try_acquire_lease().await, LeaseChange::Acquired);
        assert!(!first.is_holder());
    });
}

/// Guards against downloads outside the rate limit when no weight store is configured.
#[test]
fn weights_are_not_ordered_without_a_weight_store() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let mut holder = dispatcher("a", &store, &client);
        acquire(&mut holder).await;
        let report =
            holder.reconcile_engines(&[loading_engine("engine-1", "weave")], || false).await;
        assert_eq!(results(&report), [OrderResult::NoWeightStore]);
        assert_eq!((report.missing, client.engines.arrived.borrow().len()), (1, 0));
    });
}

/// Guards the figures of docs/engine-orders.md: a round without missing orders makes no store calls except for
/// lease renewals.
#[test]
fn quiet_rounds_cost_no_store_calls() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let mut holder = dispatcher("a", &store, &client);
        acquire(&mut holder).await;
        let engines = [engine("prefill", true)];
        assert_eq!(results(&holder.reconcile_engines(&engines, || false).await), CONFIRMED);
        let started = Instant::now();
        for _ in 0..20 {
            holder.reconcile_engines(&engines, || false).await;
        }
        let renewals = started.elapsed().div_duration_f64(TIMING.renewal_interval) as u64 + 1;
        let counted = store.counters();
        assert!(counted.lease_calls <= 1 + renewals, "{counted:?} with {renewals} renewals");
        let lease_calls = counted.lease_calls;
        assert_eq!(counted, CallCounters { lease_calls, ..CallCounters::default() });
    });
}

/// Guards against an order that is repeated in each round while the engine loads, and against an order that is
/// never repeated.
#[test]
fn unconfirmed_order_is_repeated_after_the_interval() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let mut holder = dispatcher("a", &store, &client);
        acquire(&mut holder).await;
        client.engines.is_loading.set(true);
        let started = Instant::now();
        reconcile_until(&mut holder, &[engine("prefill", true)], || {
            client.engines.arrived.borrow().len() == 2
        })
        .await;
        assert!(started.elapsed() >= TIMING.repeat_interval, "{:?}", started.elapsed());
    });
}
