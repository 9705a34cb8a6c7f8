//! An accepted configuration must be the one that is in force, whoever else applies one and whichever
//! answers are lost; a refused one must change nothing.

use bramleywind_cli::{
    CommandError, CommandReport, ExitStatus,
    commands::config_apply::{ApplyPlan, ApplyReport, apply},
    read_config,
};
use bramleywind_config::OperatorSigningKey;
use bramleywind_store::{MemoryStore, StoreFaults, StoreKey};
use bramleywind_types::ConfigRevision;
use futures_util::future::join_all;
use test_case::test_case;

use crate::gated_store::GatedStore;
use crate::support::{block_on, document, document_with_budget, grant, plan, store_in_force};

async fn revision_in_force(store: &MemoryStore) -> u64 {
    read_config(store).await.unwrap().map_or(0, |applied| applied.signed.revision.0)
}

#[test_case(plan(&document()), ExitStatus::Done, 1 ; "same text again")]
#[test_case(plan(&document_with_budget(300_000)), ExitStatus::Done, 2 ; "raised budget")]
#[test_case(plan(&document_with_budget(100_000)), ExitStatus::Done, 2 ; "lowered to what is granted")]
#[test_case(plan(&document_with_budget(99_999)), ExitStatus::Failed, 1 ; "lowered below what is granted")]
#[test_case(plan("{}"), ExitStatus::Failed, 1 ; "invalid document")]
#[test_case(plan(&format!("// {}\n{}", "x".repeat(1 << 20), document())), ExitStatus::Failed, 1 ; "larger than a store value")]
#[test_case(ApplyPlan { key: OperatorSigningKey::from_seed([8; 32]), ..plan(&document()) }, ExitStatus::Failed, 1 ; "other key")]
#[test_case(ApplyPlan { key: OperatorSigningKey::from_seed([8; 32]), replace_other_key: true, ..plan(&document()) }, ExitStatus::Done, 2 ; "replaced key")]
#[test_case(ApplyPlan { expect_revision: Some(ConfigRevision(1)), ..plan(&document_with_budget(300_000)) }, ExitStatus::Done, 2 ; "expected revision")]
#[test_case(ApplyPlan { expect_revision: Some(ConfigRevision(0)), ..plan(&document_with_budget(300_000)) }, ExitStatus::LostRace, 1 ; "unexpected revision")]
fn apply_changes_the_store_only_when_it_says_so(
    plan: ApplyPlan,
    status: ExitStatus,
    revision: u64,
) {
    block_on(async {
        let store = store_in_force().await;
        grant(&store, 100_000);
        let report = apply(&store, &plan).await.unwrap();
        assert_eq!(report.status(), status, "{report}");
        assert_eq!(revision_in_force(&store).await, revision);
    });
}

/// The operator must learn the figure that would be accepted instead of trying.
#[test]
fn refusal_states_the_lowest_figure() {
    let report = block_on(async {
        let store = store_in_force().await;
        grant(&store, 100_000);
        apply(&store, &plan(&document_with_budget(5))).await.unwrap()
    });
    let text = anstream::adapter::strip_str(&report.to_string()).to_string();
    assert_eq!(
        text,
        "not applied: budgets would fall below what is spent or granted\n  budget `spring-season`: `5` is too low; the lowest figure accepted is `100000`"
    );
}

/// A lost update would revert one operator's change without anyone being told.
#[test_case(2)]
#[test_case(8)]
fn one_of_racing_appliers_wins(appliers: u64) {
    block_on(async {
        let store = store_in_force().await;
        let reads = store.counters().reads + appliers;
        let gated = GatedStore { store: store.clone(), reads };
        let plans: Vec<_> =
            (1..=appliers).map(|n| plan(&document_with_budget(300_000 + n))).collect();
        let reports = join_all(plans.iter().map(|plan| apply(&gated, plan))).await;
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

/// An operator who is told that a change failed applies it again, and may revert another's by that.
#[test_case(StoreFaults { lose_answers: 1, ..StoreFaults::default() } ; "answer lost")]
#[test_case(StoreFaults { lose_answers: 3, ..StoreFaults::default() } ; "answers lost repeatedly")]
#[test_case(StoreFaults { apply_late_ms: 150, ..StoreFaults::default() } ; "write applied late")]
fn lost_answer_is_resolved(faults: StoreFaults) {
    block_on(async {
        let store = store_in_force().await;
        store.set_faults(faults);
        let own_plan = plan(&document_with_budget(300_000));
        let mending = async {
            compio::time::sleep(std::time::Duration::from_millis(300)).await;
            store.set_faults(StoreFaults::default());
        };
        let (report, ()) = futures_util::join!(apply(&store, &own_plan), mending);
        assert!(matches!(
            report.unwrap(),
            ApplyReport::Applied { revision: ConfigRevision(2), .. }
        ));
        assert_eq!(revision_in_force(&store).await, 2);
    });
}

/// Another operator applies between the write whose answer is lost and its repetition.
#[test_case(StoreFaults { lose_answers: 1, ..StoreFaults::default() }, "superseded" ; "after the lost write")]
#[test_case(StoreFaults { apply_late_ms: 100, ..StoreFaults::default() }, "lost_race" ; "before the late write")]
fn later_configuration_is_kept(faults: StoreFaults, result: &str) {
    block_on(async {
        let store = store_in_force().await;
        let (own_plan, other_plan) =
            (plan(&document_with_budget(300_000)), plan(&document_with_budget(400_000)));
        store.set_faults(faults);
        let other = async {
            // The store in memory does not yield, so the first write has ended when this is first polled, and
            // its repetition waits for a timer.
            assert_eq!(store.counters().writes, 2);
            store.set_faults(StoreFaults::default());
            apply(&store, &other_plan).await.unwrap()
        };
        let (own, other) = futures_util::join!(apply(&store, &own_plan), other);
        assert!(matches!(other, ApplyReport::Applied { .. }), "{other}");
        let own = own.unwrap();
        assert_eq!(own.status(), ExitStatus::LostRace);
        assert_eq!(serde_json::to_value(&own).unwrap()["result"], result, "{own}");
        compio::time::sleep(std::time::Duration::from_millis(150)).await;
        let in_force = read_config(&store).await.unwrap().unwrap().signed;
        assert_eq!(in_force.document, other_plan.text);
    });
}

/// A stale read after a conflict shows the old configuration, which must not be taken for the winner's.
#[test]
fn stale_read_after_a_conflict_is_repeated() {
    block_on(async {
        let store = store_in_force().await;
        apply(&store, &plan(&document_with_budget(300_000))).await.unwrap();
        store.set_faults(StoreFaults { stale_reads: true, ..StoreFaults::default() });
        let own_plan = plan(&document_with_budget(400_000));
        let mending = async {
            compio::time::sleep(std::time::Duration::from_millis(100)).await;
            store.set_faults(StoreFaults::default());
        };
        let (report, ()) = futures_util::join!(apply(&store, &own_plan), mending);
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
        let error = apply(&store, &plan(&document())).await.unwrap_err();
        assert_eq!(error.status(), ExitStatus::Unreachable);
        assert!(matches!(error, CommandError::StoreUnavailable { .. }));
    });
}

/// A value that is no signed configuration must be named and left alone, not overwritten.
#[test]
fn foreign_value_is_not_overwritten() {
    block_on(async {
        let store = MemoryStore::new();
        store.put(&StoreKey::config(), b"something else".to_vec());
        let error = apply(&store, &plan(&document())).await.unwrap_err();
        assert!(matches!(error, CommandError::StoredValue { .. }), "{error}");
        assert_eq!(store.peek(&StoreKey::config()).unwrap().value, b"something else");
    });
}
