//! A top-up is money: it must be added once, whatever is lost, raced or repeated.

use bramleywind_cli::{
    CommandError,
    commands::{
        budget_show::show,
        budget_top_up::{random_operation, top_up},
        workspace_balance::balance,
    },
};
use bramleywind_store::StoreFaults;
use bramleywind_types::{OperationId, TokenCount};
use futures_util::future::join_all;
use test_case::test_case;

use crate::support::{block_on, budget, grant, store_in_force, topped_up};

fn operation(id: &str) -> OperationId {
    id.parse().unwrap()
}

#[test_case(StoreFaults::default() ; "calm")]
#[test_case(StoreFaults { lose_answers: 1, ..StoreFaults::default() } ; "answer lost")]
#[test_case(StoreFaults { lose_answers: 3, ..StoreFaults::default() } ; "answers lost repeatedly")]
#[test_case(StoreFaults { apply_late_ms: 100, ..StoreFaults::default() } ; "write applied late")]
fn top_up_is_added_once(faults: StoreFaults) {
    block_on(async {
        let store = store_in_force().await;
        store.set_faults(faults);
        let first = top_up(&store, &budget(), TokenCount(500), operation("invoice-7")).await;
        let first = first.unwrap();
        assert!(!first.was_applied_before);
        assert_eq!(topped_up(&store), 500);
        // The operator did not see the answer and repeats the command.
        store.set_faults(StoreFaults::default());
        let again = top_up(&store, &budget(), TokenCount(500), operation("invoice-7")).await;
        assert!(again.unwrap().was_applied_before);
        // Writes that take effect late must not add it again either.
        compio::time::sleep(std::time::Duration::from_millis(150)).await;
        assert_eq!(topped_up(&store), 500);
    });
}

/// The same id with another figure is a mistake, and no repetition.
#[test]
fn operation_id_is_not_used_for_another_figure() {
    block_on(async {
        let store = store_in_force().await;
        top_up(&store, &budget(), TokenCount(500), operation("invoice-7")).await.unwrap();
        let error = top_up(&store, &budget(), TokenCount(600), operation("invoice-7")).await;
        assert!(matches!(error.unwrap_err(), CommandError::TopUpRefused { .. }));
        let error = top_up(&store, &budget(), TokenCount(0), random_operation()).await;
        assert!(matches!(error.unwrap_err(), CommandError::TopUpRefused { .. }));
        assert_eq!(topped_up(&store), 500);
    });
}

#[test]
fn racing_top_ups_are_all_added() {
    block_on(async {
        let store = store_in_force().await;
        store.set_faults(StoreFaults { delay_ms: 5, ..StoreFaults::default() });
        let budget = budget();
        let top_ups = (0..6).map(|_| top_up(&store, &budget, TokenCount(100), random_operation()));
        for report in join_all(top_ups).await {
            report.unwrap();
        }
        assert_eq!(topped_up(&store), 600);
    });
}

/// A mistyped name must not get a record of its own, which nobody could spend from.
#[test]
fn unknown_budget_is_refused_with_a_suggestion() {
    block_on(async {
        let store = store_in_force().await;
        let unknown = "spring-seasn".parse().unwrap();
        let error = top_up(&store, &unknown, TokenCount(1), random_operation()).await.unwrap_err();
        assert!(error.to_string().ends_with("did you mean `spring-season`?"), "{error}");
    });
}

/// A slice whose holder has no member record is stranded: nobody spends it, and nobody has reclaimed it.
#[test]
fn account_shows_what_is_stranded() {
    block_on(async {
        let store = store_in_force().await;
        grant(&store, 100_000);
        top_up(&store, &budget(), TokenCount(500), operation("invoice-7")).await.unwrap();
        let account = show(&store, &budget()).await.unwrap();
        let figures = (account.prepaid.0, account.topped_up.0, account.in_slices.0);
        assert_eq!(figures, (250_000, 500, 100_000));
        assert_eq!((account.stranded.0, account.available.0), (100_000, 150_500));
        let workspace = "umbrella-menders".parse().unwrap();
        assert_eq!(balance(&store, &workspace).await.unwrap().remaining, TokenCount(250_500));
    });
}
