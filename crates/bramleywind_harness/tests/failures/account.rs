//! The account of a budget as the store has it.

use std::time::Duration;

use bramleywind_harness::{LocalFleet, wait_until};
use serde_json::Value;

/// The account of a budget, by the command-line tool.
pub fn account(fleet: &LocalFleet, budget: &str) -> Value {
    let printed = fleet.tool(&["--output", "json", "budget", "show", budget]).unwrap();
    serde_json::from_str(&printed).unwrap()
}

/// How long the account may lag behind what live routers have spent: unused slices are handed back after 30 s.
const ACCOUNT_LIMIT: Duration = Duration::from_secs(60);

/// Waits until nothing is stranded with dead routers, at most for `limit`, and then until the account shows
/// exactly this as spent.
pub async fn wait_for_spent(fleet: &LocalFleet, budget: &str, expected: u64, limit: Duration) {
    let returned = wait_until("nothing is stranded", limit, || async {
        (account(fleet, budget)["stranded"].as_u64() == Some(0)).then_some(())
    });
    if returned.await.is_err() {
        panic!("expected nothing stranded: {:#}", account(fleet, budget));
    }
    let settled = wait_until("the account shows every bill", ACCOUNT_LIMIT, || async {
        let found = account(fleet, budget);
        let is_exact = found["spent"].as_u64() == Some(expected);
        (is_exact && found["stranded"].as_u64() == Some(0)).then_some(())
    });
    if settled.await.is_err() {
        panic!(
            "expected `{expected}` tokens spent and none stranded: {:#}",
            account(fleet, budget)
        );
    }
}
