//! Reads the account of a budget from the store.

use std::time::Duration;

use bramleywind_harness::{LocalFleet, wait_until};
use serde_json::Value;

/// Returns the account of a budget, as the command-line tool prints it.
pub fn account(fleet: &LocalFleet, budget: &str) -> Value {
    let printed = fleet.run_tool(&["--output", "json", "budget", "show", budget]).unwrap();
    serde_json::from_str(&printed).unwrap()
}

/// How long the account may lag behind the spending of live routers, which return unused slices after 30 s.
const ACCOUNT_LIMIT: Duration = Duration::from_secs(60);

/// Waits, for at most `limit`, until no tokens are stranded with dead routers, and then until the account shows exactly
/// the expected tokens as spent.
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
