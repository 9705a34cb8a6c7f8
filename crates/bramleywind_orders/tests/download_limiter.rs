//! Tests that the fleet-wide download rate holds no matter which processes take the permits and which store
//! answers are lost or late.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_orders::{
    DownloadLimiter, PermitDecision, PermitOutcome, RateRecord, RateTracker, WeightStoreSettings,
};
use bramleywind_store::{MemoryStore, StoreFaults, StoreVersion};
use bramleywind_types::FencingToken;
use proptest::prelude::*;
use support::{FakeClient, TEST_TIMEOUT, acquire, dispatcher_with, loading_engine, run};
use test_case::test_case;

const INTERVAL: Duration = Duration::from_millis(40);

/// Guards the rate with two holders at a time, also when answers are lost, writes are applied late, the store is
/// slow, or reads are stale.
#[test_case(StoreFaults::default(), 3; "calm")]
#[test_case(StoreFaults { lose_answers: 5, ..StoreFaults::default() }, 3; "lost answers")]
#[test_case(StoreFaults { apply_late_ms: 25, ..StoreFaults::default() }, 0; "late writes")]
#[test_case(StoreFaults { delay_ms: 15, ..StoreFaults::default() }, 3; "slow store")]
#[test_case(StoreFaults { stale_reads: true, ..StoreFaults::default() }, 0; "stale reads")]
fn two_holders_keep_the_rate(faults: StoreFaults, min_taken: usize) {
    run(async {
        let store = MemoryStore::new();
        store.set_faults(faults);
        let started = Instant::now();
        let taken = Rc::new(RefCell::new(0));
        let holders = (0..2).map(|number| {
            let (store, taken) = (store.clone(), taken.clone());
            async move {
                let mut limiter = DownloadLimiter::new(store, INTERVAL);
                while started.elapsed() < 16 * INTERVAL {
                    let outcome = limiter.take_permit("holder", FencingToken(number)).await;
                    if let PermitOutcome::Taken(permit) = outcome {
                        // A permit that stayed valid for longer could be used after later ones.
                        assert!(permit.valid_until <= Instant::now() + INTERVAL);
                        *taken.borrow_mut() += 1;
                    }
                    compio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        });
        futures_util::future::join_all(holders).await;
        let allowed = started.elapsed().div_duration_f64(INTERVAL) as u64;
        let version = store.peek(&DownloadLimiter::<MemoryStore>::key()).unwrap().version;
        assert!(version.0 <= allowed, "{version} writes where {allowed} are allowed");
        let taken = *taken.borrow();
        assert!(taken as u64 <= version.0 && taken >= min_taken, "{taken} of {version}");
    });
}

/// Guards against a dispatcher that orders downloads without permits, or repeats an order while the engine
/// loads.
#[test]
fn dispatcher_spaces_its_downloads() {
    run(async {
        let (store, client) = (MemoryStore::default(), FakeClient::default());
        let address = "192.0.2.100:7102".parse().unwrap();
        // One download every 60 ms.
        let weight_store =
            WeightStoreSettings { address, downloads_per_minute: 1_000.try_into().unwrap() };
        let mut holder = dispatcher_with("a", &store, &client, Some(weight_store));
        acquire(&mut holder).await;
        let engines: Vec<_> =
            (0..4).map(|number| loading_engine(&format!("engine-{number}"), "weave")).collect();
        let started = Instant::now();
        let mut arrivals = Vec::new();
        while arrivals.len() < engines.len() {
            assert!(started.elapsed() < TEST_TIMEOUT, "the engines were not loaded in time");
            holder.reconcile_engines(&engines, || false).await;
            if client.engines.arrived.borrow().len() > arrivals.len() {
                arrivals.push(Instant::now());
            }
            assert_eq!(client.engines.arrived.borrow().len(), arrivals.len());
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        // The first download also waits for an interval, since it is unknown when the last permit was taken.
        assert!(started.elapsed() >= 4 * weight_store.interval(), "{:?}", started.elapsed());
        let arrived = client.engines.arrived.borrow();
        let expected = "http://192.0.2.100:7102/v1/weights/weave";
        assert!(arrived.iter().all(|(order, _)| order.weights.as_deref() == Some(expected)));
    });
}

#[derive(Debug, Clone)]
enum Step {
    /// The process with this index reads the record.
    Read(usize),
    /// A process writes the record if it may. The write is applied after this many milliseconds.
    Write(usize, u64),
    /// The clock advances by this many milliseconds.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3_usize).prop_map(Step::Read),
        (0..3_usize, 0..300_u64).prop_map(|(process, delay_ms)| Step::Write(process, delay_ms)),
        (1..120_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    /// Guards the spacing of permits with a simulated clock, three processes, and writes that are applied at any
    /// later time. Fails if the interval is measured from the write of a version rather than from when it was
    /// first seen.
    #[test]
    fn writes_are_an_interval_apart(steps in steps()) {
        const INTERVAL_MS: u64 = 100;
        let start = Instant::now();
        let at = |now: u64| start + Duration::from_millis(now);
        let mut now = 0;
        let mut version = StoreVersion::MISSING;
        let mut applied: Vec<u64> = Vec::new();
        let mut in_flight: Vec<(u64, StoreVersion)> = Vec::new();
        let mut trackers = [RateTracker::default(), RateTracker::default(), RateTracker::default()];
        for step in steps {
            match step {
                Step::Read(process) => trackers[process].observe_record(RateRecord::default(), version, at(now)),
                Step::Write(process, delay_ms) => {
                    let interval = Duration::from_millis(INTERVAL_MS);
                    if let PermitDecision::Take(_, expected) = trackers[process].permit_decision(interval, at(now)) {
                        in_flight.push((now + delay_ms, expected));
                    }
                }
                Step::Wait(time) => now += time,
            }
            in_flight.sort_by_key(|(due, _)| *due);
            while in_flight.first().is_some_and(|(due, _)| *due <= now) {
                let (_, expected) = in_flight.remove(0);
                if expected == version {
                    version = StoreVersion(version.0 + 1);
                    applied.push(now);
                }
            }
        }
        for pair in applied.windows(2) {
            prop_assert!(pair[1] - pair[0] >= INTERVAL_MS, "{:?}", applied);
        }
    }
}
