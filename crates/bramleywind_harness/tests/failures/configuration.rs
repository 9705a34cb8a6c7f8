//! Guards the guarantee G8: an accepted configuration is in force in all routers within seconds and is never reverted.

use std::time::{Duration, Instant};

use bramleywind_harness::{FleetError, wait_until};
use serde_json::json;

use crate::test_fleet::{PREPAID_TOKENS, TestFleet, document, run};

/// The target time from accepting a configuration until it is in force in six routers.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

#[test]
fn change_is_in_force_in_all_routers_within_two_seconds() {
    run(async {
        let mut test = TestFleet::start().await;
        let changed = document(&test.fleet, PREPAID_TOKENS + 1);
        let started = Instant::now();
        test.fleet.apply(&changed).await.unwrap();
        assert!(started.elapsed() < IN_FORCE_LIMIT, "{:?}", started.elapsed());
        for index in 0..6 {
            assert_eq!(test.fleet.status(index).await.unwrap()["revision"], 2);
        }
    });
}

/// Stale reads from the store must not take a router back to an earlier revision, neither a running nor a restarted one.
#[test]
fn stale_store_reverts_nothing() {
    run(async {
        let mut test = TestFleet::start().await;
        let changed = document(&test.fleet, PREPAID_TOKENS + 1);
        test.fleet.apply(&changed).await.unwrap();
        test.set_store_faults(json!({ "stale_reads": true })).await;
        test.fleet.routers[4].process.kill();
        test.fleet.restart_router(4).unwrap();
        test.fleet.wait_until_up(4).await.unwrap();
        test.fleet.wait_for_revision(4, 2).await.unwrap();
        for index in 0..6 {
            assert_eq!(test.fleet.status(index).await.unwrap()["revision"], 2);
        }
    });
}

/// Two operators apply different configurations on top of the same revision. The second one must be rejected.
#[test]
fn second_of_two_concurrent_changes_is_rejected() {
    run(async {
        let test = TestFleet::start().await;
        let folder = test.fleet.folder().to_owned();
        let key = folder.join("operator.key").display().to_string();
        let mut results = Vec::new();
        for prepaid in [PREPAID_TOKENS + 1, PREPAID_TOKENS + 2] {
            let file = folder.join(format!("racer-{prepaid}.json"));
            let text = serde_json::to_string(&document(&test.fleet, prepaid)).unwrap();
            std::fs::write(&file, text).unwrap();
            let file = file.display().to_string();
            let arguments = ["config", "apply", &file, "--key", &key, "--expect-revision", "1"];
            results.push(test.fleet.run_tool(&arguments));
        }
        assert!(results[0].is_ok());
        let Err(FleetError::Command { status, .. }) = &results[1] else { panic!("{results:?}") };
        assert_eq!(*status, 3);
        let in_force =
            wait_until("the winner's revision is in force", Duration::from_secs(10), || async {
                (test.fleet.status(5).await.ok()?["revision"] == 2).then_some(())
            });
        in_force.await.unwrap();
    });
}
