//! Tests the dispatch of orders with real processes: a lease holder that is paused and resumed must send no stale order.

use std::time::{Duration, Instant};

use bramleywind_config::{ConfigDocument, EndpointRole};
use bramleywind_harness::{LocalFleet, ProcessSignal, wait_until};
use serde_json::{Value, json};

use crate::test_fleet::{MODEL, PREPAID_TOKENS, TestFleet, document, plan, run};

/// How long the first order may take: each router tries to get the lease within 18 s, and the engine without fencing
/// needs 19 s of settling.
const FIRST_ORDER_LIMIT: Duration = Duration::from_secs(60);

/// How long an order may take after a failure of the holder: as for the first order, after the lease of 15 s has expired.
const TAKE_OVER_LIMIT: Duration = Duration::from_secs(80);

/// An engine that ignores the fencing token.
const UNFENCED: &str = "engine-5";

fn document_with_role(fleet: &LocalFleet, role: &str) -> ConfigDocument {
    let mut document = document(fleet, PREPAID_TOKENS);
    for endpoint in &mut document.endpoints {
        endpoint.checks_fencing &= endpoint.id.as_str() != UNFENCED;
        if let EndpointRole::Engine { role: wanted, .. } = &mut endpoint.role {
            *wanted = Some(role.parse().unwrap());
        }
    }
    document
}

/// Applies a configuration without waiting until it is in force, which a paused router would prevent.
fn apply_without_waiting(fleet: &LocalFleet, document: &ConfigDocument) {
    let file = fleet.folder().join("second.json");
    std::fs::write(&file, serde_json::to_string(document).unwrap()).unwrap();
    let key = fleet.folder().join("operator.key").display().to_string();
    fleet.run_tool(&["config", "apply", &file.display().to_string(), "--key", &key]).unwrap();
}

async fn wait_for_role(test: &TestFleet, role: &str, limit: Duration) {
    let engines: Vec<_> = test.fleet.endpoints.iter().filter(|found| is_engine(found)).collect();
    wait_until(&format!("all engines are `{role}`"), limit, || async {
        for engine in &engines {
            let url = format!("http://{}/v1/orders", engine.address);
            let inventory = test.fleet.caller.get_json(&url, &[]).await.ok()?;
            if inventory["role"] != json!(role) {
                return None;
            }
        }
        Some(())
    })
    .await
    .unwrap();
}

fn is_engine(endpoint: &bramleywind_harness::EndpointProcess) -> bool {
    endpoint.endpoint.as_str().starts_with("engine")
}

async fn is_holder(test: &TestFleet, index: usize) -> Option<bool> {
    test.fleet.dump(index).await.ok()?["orders"]["is_holder"].as_bool()
}

#[test]
fn paused_lease_holder_sends_no_stale_order() {
    run(async {
        let arguments = ["--model", MODEL, "--checks-fencing", "false"];
        let plan = plan().engine(UNFENCED, "plateau", &arguments);
        let mut test = TestFleet::start_with(plan).await;
        let first = document_with_role(&test.fleet, "prefill");
        test.fleet.apply(&first).await.unwrap();
        wait_for_role(&test, "prefill", FIRST_ORDER_LIMIT).await;
        let mut holders = Vec::new();
        for index in 0..6 {
            if is_holder(&test, index).await.unwrap() {
                holders.push(index);
            }
        }
        assert_eq!(holders.len(), 1, "{holders:?}");
        let holder = holders[0];
        test.fleet.routers[holder].process.signal(ProcessSignal::Pause);
        let second = document_with_role(&test.fleet, "decode");
        apply_without_waiting(&test.fleet, &second);
        wait_for_role(&test, "decode", TAKE_OVER_LIMIT).await;
        test.fleet.routers[holder].process.signal(ProcessSignal::Continue);
        wait_until(
            "the old holder knows that it is no longer the holder",
            FIRST_ORDER_LIMIT,
            || async { (!is_holder(&test, holder).await?).then_some(()) },
        )
        .await
        .unwrap();
        wait_for_role(&test, "decode", Duration::from_secs(10)).await;
        for engine in test.fleet.endpoints.iter().filter(|found| is_engine(found)) {
            let stats = test.engine_stats(engine.endpoint.as_str()).await;
            let orders = stats["orders"].as_array().unwrap();
            let roles: Vec<&Value> = orders.iter().map(|record| &record["order"]["role"]).collect();
            assert_eq!(roles, ["prefill", "decode"], "{}: {stats:#}", engine.endpoint);
            let tokens: Vec<_> = orders.iter().map(|record| &record["order"]["fencing"]).collect();
            assert!(tokens[0].as_u64() < tokens[1].as_u64(), "{tokens:?}");
        }
    });
}

/// Guards the figure in docs/engine-orders.md: 0.62 lease calls/s by the constants, plus the effect of the jitter of the
/// attempts. Routers that try in each tick of their task would make four calls/s.
#[test]
#[allow(clippy::print_stdout, reason = "the documentation for operators quotes the figure")]
fn idle_order_dispatch_makes_less_than_one_lease_call_a_second() {
    run(async {
        const WINDOW: Duration = Duration::from_secs(48);
        let test = TestFleet::start().await;
        let lease_calls = async || {
            let counters = test.fleet.store_counters().await.unwrap();
            counters["lease_calls"].as_u64().unwrap()
        };
        wait_until("a router has the lease", FIRST_ORDER_LIMIT, || async {
            (lease_calls().await > 1).then_some(())
        })
        .await
        .unwrap();
        let (before, started) = (lease_calls().await, Instant::now());
        // The calls are counted over a fixed time, so the sleep is not replaced by waiting for a condition.
        compio::time::sleep(WINDOW).await;
        let calls = lease_calls().await - before;
        let per_second = calls as f64 / started.elapsed().as_secs_f64();
        println!("{calls} lease calls in {:?}, {per_second:.2}/s", started.elapsed());
        assert!(per_second < 1.0, "{per_second}");
    });
}
