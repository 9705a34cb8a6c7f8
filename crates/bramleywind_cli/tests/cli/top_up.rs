//! Tests that a top-up, which stands for money, is added exactly once despite lost answers, concurrent writes
//! and repeated commands.

use bramleywind_cli::{
    CommandError,
    commands::{
        budget_show::show_budget,
        budget_top_up::{random_operation_id, top_up_budget},
        workspace_balance::read_balance,
    },
};
use bramleywind_store::StoreFaults;
use bramleywind_types::{OperationId, TokenCount};
use futures_util::future::join_all;
use test_case::test_case;

use crate::support::{block_on, budget, grant, store_in_force, topped_up_tokens};

fn operation(id: &str) -> OperationId {
    id.parse().unwrap()
}

/// Guards against adding a top-up twice when the store loses an answer or applies a write late, and the
/// operator repeats the command.
#[test_case(StoreFaults::default() ; "no fault")]
#[test_case(StoreFaults { lose_answers: 1, ..StoreFaults::default() } ; "answer lost")]
#[test_case(StoreFaults { lose_answers: 3, ..StoreFaults::default() } ; "answers lost repeatedly")]
#[test_case(StoreFaults { apply_late_ms: 100, ..StoreFaults::default() } ; "write applied late")]
fn top_up_is_added_once(faults: StoreFaults) {
    block_on(async {
        let store = store_in_force().await;
        store.set_faults(faults);
        let first = top_up_budget(&store, &budget(), TokenCount(500), operation("invoice-7")).await;
        let first = first.unwrap();
        assert!(!first.was_applied_before);
        assert_eq!(topped_up_tokens(&store), 500);
        // The operator did not see the answer and repeats the command.
        store.set_faults(StoreFaults::default());
        let again = top_up_budget(&store, &budget(), TokenCount(500), operation("invoice-7")).await;
        assert!(again.unwrap().was_applied_before);
        // Writes that the store applies late must not add it again either.
        compio::time::sleep(std::time::Duration::from_millis(150)).await;
        assert_eq!(topped_up_tokens(&store), 500);
    });
}

/// Guards against taking an operation id with another number of tokens for a repetition: it is a mistake.
#[test]
fn operation_id_is_refused_for_another_number_of_tokens() {
    block_on(async {
        let store = store_in_force().await;
        top_up_budget(&store, &budget(), TokenCount(500), operation("invoice-7")).await.unwrap();
        let error = top_up_budget(&store, &budget(), TokenCount(600), operation("invoice-7")).await;
        assert!(matches!(error.unwrap_err(), CommandError::TopUpRefused { .. }));
        let error = top_up_budget(&store, &budget(), TokenCount(0), random_operation_id()).await;
        assert!(matches!(error.unwrap_err(), CommandError::TopUpRefused { .. }));
        assert_eq!(topped_up_tokens(&store), 500);
    });
}

/// Guards against a concurrent top-up that overwrites another.
#[test]
fn concurrent_top_ups_are_all_added() {
    block_on(async {
        let store = store_in_force().await;
        store.set_faults(StoreFaults { delay_ms: 5, ..StoreFaults::default() });
        let budget = budget();
        let top_ups =
            (0..6).map(|_| top_up_budget(&store, &budget, TokenCount(100), random_operation_id()));
        for report in join_all(top_ups).await {
            report.unwrap();
        }
        assert_eq!(topped_up_tokens(&store), 600);
    });
}

/// Guards against a mistyped budget id that gets a record of its own, from which nobody could spend.
#[test]
fn unknown_budget_is_refused_with_a_suggestion() {
    block_on(async {
        let store = store_in_force().await;
        let unknown = "spring-seasn".parse().unwrap();
        let error = top_up_budget(&store, &unknown, TokenCount(1), random_operation_id())
            .await
            .unwrap_err();
        assert!(error.to_string().ends_with("did you mean `spring-season`?"), "{error}");
    });
}

/// Guards against counting a slice as in use when its holder has no member record. Such a slice is stranded:
/// nobody can spend it, and it has not been reclaimed yet.
#[test]
fn account_shows_stranded_tokens() {
    block_on(async {
        let store = store_in_force().await;
        grant(&store, 100_000);
        top_up_budget(&store, &budget(), TokenCount(500), operation("invoice-7")).await.unwrap();
        let account = show_budget(&store, &budget()).await.unwrap();
        let figures = (account.prepaid.0, account.topped_up.0, account.in_slices.0);
        assert_eq!(figures, (250_000, 500, 100_000));
        assert_eq!((account.stranded.0, account.available.0), (100_000, 150_500));
        let workspace = "umbrella-menders".parse().unwrap();
        assert_eq!(read_balance(&store, &workspace).await.unwrap().remaining, TokenCount(250_500));
    });
}
