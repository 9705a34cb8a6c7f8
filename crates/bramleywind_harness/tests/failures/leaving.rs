//! Guards the guarantees G6 and G7: an endpoint that is leaving gets no new work, and planned stops interrupt no request.

use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_harness::{ProcessSignal, SseEnd, program_path, wait_until};
use serde_json::json;

use crate::{
    account::wait_for_spent,
    test_fleet::{
        BUDGET, RECLAIM_LIMIT, SHORT_OUTPUT_TOKENS, TestFleet, chat_body, header_refs, headers,
        run, total_tokens,
    },
};

/// The time from the change in the instance list until an endpoint gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// How long a drained router without long streams may take to exit: a grace period of 5 s and the return of its slices.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

#[test]
fn leaving_endpoint_gets_no_new_work_during_a_store_outage() {
    run(async {
        let test = TestFleet::start().await;
        let engine = &test.fleet.endpoints[0];
        test.set_store_faults(json!({ "outage": true })).await;
        let (name, data_centre, address) =
            (engine.endpoint.as_str(), engine.data_centre.clone(), engine.address);
        test.fleet.set_instance(name, &data_centre, address, "endpoint", "leaving").await.unwrap();
        compio::time::sleep(LEAVING_LIMIT).await;
        let before = test.engine_stats(name).await["requests_started"].clone();
        for round in 0..10 {
            for index in 0..6 {
                test.chat(index, None, &format!("round {round}"), 2).await;
            }
        }
        assert_eq!(test.engine_stats(name).await["requests_started"], before);
    });
}

/// An endpoint that announces that it is leaving must not fail requests while the instance list still has it as live.
#[test]
fn endpoint_that_announces_its_leaving_fails_no_request() {
    run(async {
        let test = TestFleet::start().await;
        let engine = &test.fleet.endpoints[1];
        test.fleet.set_faults(engine.address, &json!({ "leaving": true })).await.unwrap();
        for index in 0..6 {
            for round in 0..4 {
                let answer = test.chat(index, None, &format!("round {round}"), 2).await;
                assert_eq!(answer.status, 200, "{:#}", answer.json());
            }
        }
    });
}

/// All six routers are drained and restarted, one at a time, under a steady load whose callers refresh the list of
/// entries as documented.
#[test]
fn rolling_restart_interrupts_and_refuses_no_request() {
    run(async {
        let mut test = TestFleet::start().await;
        let program = program_path("bramleywindd").unwrap();
        let billed = replace_routers(&mut test, &[0, 1, 2, 3, 4, 5], &program).await;
        wait_for_spent(&test.fleet, BUDGET, billed, RECLAIM_LIMIT).await;
    });
}

/// Drains the routers and restarts them with `program`, one at a time, under a steady load in which no request may fail.
/// Returns the tokens that the load was billed.
pub async fn replace_routers(test: &mut TestFleet, indices: &[usize], program: &Path) -> u64 {
    let outcome = Rc::new(LoadOutcome::default());
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let entries = test.fleet.routers.iter().map(|router| router.caller_address).collect();
            let load = SteadyClient { client, entries, outcome: outcome.clone() };
            compio::runtime::spawn(load.run())
        })
        .collect();
    for &index in indices {
        test.fleet.routers[index].process.signal(ProcessSignal::Terminate);
        let status = test.fleet.routers[index].process.wait_for_end(DRAIN_LIMIT).await.unwrap();
        assert!(status.success(), "router {index} ended with {status}");
        test.fleet.restart_router_with(index, program).unwrap();
        test.fleet.wait_until_up(index).await.unwrap();
        test.fleet.wait_for_revision(index, 1).await.unwrap();
    }
    outcome.is_finished.set(true);
    for client in clients {
        client.await.unwrap();
    }
    assert_eq!(*outcome.failures.borrow(), Vec::<String>::new());
    assert!(outcome.answered.get() > 100, "{}", outcome.answered.get());
    outcome.billed.get()
}

#[derive(Default)]
struct LoadOutcome {
    is_finished: Cell<bool>,
    answered: Cell<u64>,
    billed: Cell<u64>,
    failures: RefCell<Vec<String>>,
}

/// A caller that behaves as the documentation for callers requires.
struct SteadyClient {
    client: usize,
    entries: Vec<std::net::SocketAddr>,
    outcome: Rc<LoadOutcome>,
}

impl SteadyClient {
    async fn run(mut self) {
        let caller = bramleywind_harness::HttpCaller::new().unwrap();
        let mut refresh_at = Instant::now();
        let mut call_index = self.client;
        while !self.outcome.is_finished.get() {
            if Instant::now() >= refresh_at {
                self.refresh_entries(&caller).await;
                // Half of the time for which a caller may use the list.
                refresh_at = Instant::now() + Duration::from_millis(2_500);
            }
            call_index += 1;
            let entry = self.entries[call_index % self.entries.len()];
            self.call(&caller, entry, call_index).await;
        }
    }

    async fn refresh_entries(&mut self, caller: &bramleywind_harness::HttpCaller) {
        for entry in self.entries.clone() {
            let url = format!("http://{entry}/v1/entries");
            let Ok(answer) = caller.get_json(&url, &[]).await else { continue };
            let listed = answer["entries"].as_array().cloned().unwrap_or_default();
            let addresses: Vec<std::net::SocketAddr> =
                listed.iter().filter_map(|found| found["address"].as_str()?.parse().ok()).collect();
            if !addresses.is_empty() {
                self.entries = addresses;
                return;
            }
        }
    }

    async fn call(
        &self,
        caller: &bramleywind_harness::HttpCaller,
        entry: std::net::SocketAddr,
        call_index: usize,
    ) {
        let url = format!("http://{entry}/v1/chat/completions");
        let headers = headers("guides-key", None);
        let refs = header_refs(&headers);
        let body = chat_body(
            &format!("client {} call {call_index}", self.client),
            SHORT_OUTPUT_TOKENS,
            true,
        );
        match caller.stream(&url, &refs, &body, |_| ()).await {
            Ok((status, answer)) if answer.end == SseEnd::Done => {
                assert_eq!(status, 200);
                self.outcome.answered.set(self.outcome.answered.get() + 1);
                let billed = total_tokens(&answer.usage.unwrap_or_default());
                self.outcome.billed.set(self.outcome.billed.get() + billed);
            }
            Ok((status, answer)) => {
                self.outcome
                    .failures
                    .borrow_mut()
                    .push(format!("{entry}: {status} {:?}", answer.end));
            }
            Err(error) => self.outcome.failures.borrow_mut().push(format!("{entry}: {error}")),
        }
    }
}

#[test]
fn drained_router_leaves_the_entry_list_at_once_and_returns_its_slices() {
    run(async {
        let mut test = TestFleet::start().await;
        let billed =
            total_tokens(&test.chat(0, None, "before", SHORT_OUTPUT_TOKENS).await.json()["usage"]);
        let leaving = test.fleet.routers[0].plan.instance.to_string();
        test.fleet.run_tool(&["drain", &leaving]).unwrap();
        let is_gone =
            wait_until("no router lists the leaving router", Duration::from_secs(3), || async {
                for index in 0..6 {
                    let url =
                        format!("http://{}/v1/entries", test.fleet.routers[index].caller_address);
                    let Ok(answer) = test.fleet.caller.get_json(&url, &[]).await else { continue };
                    let listed = answer["entries"]
                        .as_array()?
                        .iter()
                        .any(|found| found["instance"] == json!(leaving));
                    if listed {
                        return None;
                    }
                }
                Some(())
            });
        is_gone.await.unwrap();
        let status = test.fleet.routers[0].process.wait_for_end(DRAIN_LIMIT).await.unwrap();
        assert!(status.success(), "{status}");
        wait_for_spent(&test.fleet, BUDGET, billed, Duration::from_secs(2)).await;
    });
}
