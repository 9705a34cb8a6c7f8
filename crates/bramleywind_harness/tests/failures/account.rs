//! The account of a budget as the store has it.

use std::time::Duration;

use bramleywind_harness::{LocalFleet, wait_until};
use serde_json::Value;

/// The account of a budget, by the command-line tool.
pub fn account(fleet: &LocalFleet, budget: &str) -> Value {
    let printed = fleet.tool(&["--output", "json", "budget", "show", budget]).unwrap();
    serde_json::from_str(&printed).unwrap()
}

/// Waits until the account shows this as spent and nothing more in slices than it had to begin with.
pub async fn wait_for_spent(fleet: &LocalFleet, budget: &str, expected: u64, limit: Duration) {
    let settled = wait_until("the account shows every bill", limit, || async {
        let found = account(fleet, budget);
        (found["spent"].as_u64() == Some(expected) && found["stranded"].as_u64() == Some(0))
            .then_some(())
    });
    if settled.await.is_err() {
        panic!(
            "expected `{expected}` tokens spent and none stranded: {:#}",
            account(fleet, budget)
        );
    }
}
