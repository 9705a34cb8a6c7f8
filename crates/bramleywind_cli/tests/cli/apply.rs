//! Tests that a configuration reported as applied is in force, despite concurrent operators and lost answers,
//! and that a refused one changes nothing.

use bramleywind_cli::{
    CommandError, CommandReport, ExitStatus,
    commands::config_apply::{ApplyPlan, ApplyReport, apply_config},
    read_config,
};
use bramleywind_config::OperatorSigningKey;
use bramleywind_store::{MemoryStore, StoreFaults, StoreKey};
use bramleywind_types::ConfigRevision;
use futures_util::future::join_all;
use test_case::test_case;

use crate::gated_store::GatedStore;
use crate::support::{apply_plan, block_on, document, document_with_budget, grant, store_in_force};

async fn revision_in_force(store: &MemoryStore) -> u64 {
    read_config(store).await.unwrap().map_or(0, |applied| applied.signed.revision.0)
}

#[test_case(apply_plan(&document()), ExitStatus::Done, 1 ; "same text again")]
#[test_case(apply_plan(&document_with_budget(300_000)), ExitStatus::Done, 2 ; "raised budget")]
#[test_case(apply_plan(&document_with_budget(100_000)), ExitStatus::Done, 2 ; "lowered to what is granted")]
#[test_case(apply_plan(&document_with_budget(99_999)), ExitStatus::Failed, 1 ; "lowered below what is granted")]
#[test_case(apply_plan("{}"), ExitStatus::Failed, 1 ; "invalid document")]
#[test_case(apply_plan(&format!("// {}\n{}", "x".repeat(1 << 20), document())), ExitStatus::Failed, 1 ; "larger than a store value")]
#[test_case(ApplyPlan { key: OperatorSigningKey::from_seed([8; 32]), ..apply_plan(&document()) }, ExitStatus::Failed, 1 ; "other key")]
#[test_case(ApplyPlan { key: OperatorSigningKey::from_seed([8; 32]), replace_other_key: true, ..apply_plan(&document()) }, ExitStatus::Done, 2 ; "replaced key")]
#[test_case(ApplyPlan { expect_revision: Some(ConfigRevision(1)), ..apply_plan(&document_with_budget(300_000)) }, ExitStatus::Done, 2 ; "expected revision")]
#[test_case(ApplyPlan { expect_revision: Some(ConfigRevision(0)), ..apply_plan(&document_with_budget(300_000)) }, ExitStatus::LostRace, 1 ; "unexpected revision")]
fn store_changes_only_if_applied_is_reported(plan: ApplyPlan, status: ExitStatus, revision: u64) {
    block_on(async {
        let store = store_in_force().await;
        grant(&store, 100_000);
        let report = apply_config(&store, &plan).await.unwrap();
        assert_eq!(report.status(), status, "{report}");
        assert_eq!(revision_in_force(&store).await, revision);
    });
}

/// Guards against a refusal that leaves the operator to find the accepted number of tokens by trying.
#[test]
fn refusal_states_the_lowest_accepted_tokens() {
    let report = block_on(async {
        let store = store_in_force().await;
        grant(&store, 100_000);
        apply_config(&store, &apply_plan(&document_with_budget(5))).await.unwrap()
    });
    let text = anstream::adapter::strip_str(&report.to_string()).to_string();
    assert_eq!(
        text,
        "not applied: budgets would fall below what is already spent or granted\n  budget `spring-season`: `5` prepaid tokens are too few; give it at least `100000`"
    );
}

/// Guards against a lost update, which would silently revert another operator's change.
#[test_case(2)]
#[test_case(8)]
fn one_of_concurrent_applies_wins(appliers: u64) {
    block_on(async {
        let store = store_in_force().await;
        let min_reads = store.counters().reads + appliers;
        let gated = GatedStore { store: store.clone(), min_reads };
        let plans: Vec<_> =
            (1..=appliers).map(|n| apply_plan(&document_with_budget(300_000 + n))).collect();
        let reports = join_all(plans.iter().map(|plan| apply_config(&gated, plan))).await;
        let mut winners = 0;
        for report in reports.into_iter().map(Result::unwrap) {
            match &report {
                ApplyReport::Applied { .. } => winners += 1,
                ApplyReport::LostRace { other_changes: Some(changes), .. } => {
                    assert!(changes.to_string().contains("prepaid_tokens `250000` -> `30000"));
                    assert_eq!(report.status(), ExitStatus::LostRace);
                }
                _ => panic!("{report}"),
            }
        }
        assert_eq!((winners, revision_in_force(&store).await), (1, 2));
    });
}

/// Guards against reporting a failure for a change that was made: the operator would apply it again, and might
/// revert another operator's change by doing so.
#[test_case(StoreFaults { lose_answers: 1, ..StoreFaults::default() } ; "answer lost")]
#[test_case(StoreFaults { lose_answers: 3, ..StoreFaults::default() } ; "answers lost repeatedly")]
#[test_case(StoreFaults { apply_late_ms: 150, ..StoreFaults::default() } ; "write applied late")]
fn outcome_is_found_after_a_lost_answer(faults: StoreFaults) {
    block_on(async {
        let store = store_in_force().await;
        store.set_faults(faults);
        let own_plan = apply_plan(&document_with_budget(300_000));
        let recovery = async {
            compio::time::sleep(std::time::Duration::from_millis(300)).await;
            store.set_faults(StoreFaults::default());
        };
        let (report, ()) = futures_util::join!(apply_config(&store, &own_plan), recovery);
        assert!(matches!(
            report.unwrap(),
            ApplyReport::Applied { revision: ConfigRevision(2), .. }
        ));
        assert_eq!(revision_in_force(&store).await, 2);
    });
}

/// Guards against overwriting a configuration that another operator applied between the write whose answer was
/// lost and its repetition.
#[test_case(StoreFaults { lose_answers: 1, ..StoreFaults::default() }, "superseded" ; "after the lost write")]
#[test_case(StoreFaults { apply_late_ms: 100, ..StoreFaults::default() }, "lost_race" ; "before the late write")]
fn later_configuration_is_kept(faults: StoreFaults, result: &str) {
    block_on(async {
        let store = store_in_force().await;
        let (own_plan, other_plan) = (
            apply_plan(&document_with_budget(300_000)),
            apply_plan(&document_with_budget(400_000)),
        );
        store.set_faults(faults);
        let other = async {
            // The in-memory store does not yield, so the first write has ended when this future is first polled,
            // and its repetition waits for a timer.
            assert_eq!(store.counters().writes, 2);
            store.set_faults(StoreFaults::default());
            apply_config(&store, &other_plan).await.unwrap()
        };
        let (own, other) = futures_util::join!(apply_config(&store, &own_plan), other);
        assert!(matches!(other, ApplyReport::Applied { .. }), "{other}");
        let own = own.unwrap();
        assert_eq!(own.status(), ExitStatus::LostRace);
        assert_eq!(serde_json::to_value(&own).unwrap()["result"], result, "{own}");
        compio::time::sleep(std::time::Duration::from_millis(150)).await;
        let in_force = read_config(&store).await.unwrap().unwrap().signed;
        assert_eq!(in_force.document, other_plan.text);
    });
}

/// Guards against reporting the old configuration as the one that won a conflict, because the read after the conflict
/// was stale.
#[test]
fn stale_read_after_a_conflict_is_repeated() {
    block_on(async {
        let store = store_in_force().await;
        apply_config(&store, &apply_plan(&document_with_budget(300_000))).await.unwrap();
        store.set_faults(StoreFaults { stale_reads: true, ..StoreFaults::default() });
        let own_plan = apply_plan(&document_with_budget(400_000));
        let recovery = async {
            compio::time::sleep(std::time::Duration::from_millis(100)).await;
            store.set_faults(StoreFaults::default());
        };
        let (report, ()) = futures_util::join!(apply_config(&store, &own_plan), recovery);
        let ApplyReport::LostRace { revision, other_changes, .. } = report.unwrap() else {
            panic!("the winner's change would have been reverted");
        };
        assert_eq!(revision, ConfigRevision(2));
        assert!(other_changes.unwrap().to_string().ends_with("`250000` -> `300000`"));
    });
}

#[test]
fn outage_is_reported_as_unreachable() {
    block_on(async {
        let store = store_in_force().await;
        store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        let error = apply_config(&store, &apply_plan(&document())).await.unwrap_err();
        assert_eq!(error.status(), ExitStatus::Unreachable);
        assert!(matches!(error, CommandError::StoreUnavailable { .. }));
    });
}

/// Guards against overwriting a value that is not a signed configuration; the error must name it.
#[test]
fn foreign_value_is_not_overwritten() {
    block_on(async {
        let store = MemoryStore::new();
        store.put(&StoreKey::config(), b"something else".to_vec());
        let error = apply_config(&store, &apply_plan(&document())).await.unwrap_err();
        assert!(matches!(error, CommandError::StoredValue { .. }), "{error}");
        assert_eq!(store.peek(&StoreKey::config()).unwrap().value, b"something else");
    });
}
