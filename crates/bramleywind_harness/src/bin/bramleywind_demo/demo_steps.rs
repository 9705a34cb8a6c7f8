//! The steps of the demo, in the order in which they run.

use std::{cell::Cell, net::SocketAddr, process::Command, time::Duration};

use bramleywind_harness::{
    FleetError, FleetPlan, LocalFleet, ProcessSignal, SseEnd, program_path, wait_until,
};
use http::Method;
use serde_json::{Value, json};

use crate::guarantee_report::GuaranteeReport;

const MODEL: &str = "weave-small";

/// A workspace with a large budget.
const LARGE_WORKSPACE: &str = "queen-street-umbrellas";

/// A workspace whose budget is smaller than the cost of one long answer.
const SMALL_WORKSPACE: &str = "waiheke-windproof";

/// The price of an order, as the operators' program configures it.
const ORDER_TOKENS: u64 = 25;

/// How long a budget's account may take to show every charge: unused slices are returned after 30 s, and the slices
/// of a dead router are reclaimed within 30 s.
const SETTLE_LIMIT: Duration = Duration::from_secs(75);

/// How long a drained router may take to exit: 5 s during which callers may still use its address, and the time that
/// its open streams need.
const DRAIN_LIMIT: Duration = Duration::from_secs(70);

/// Runs the demo on a fleet of six routers, three engines and two ordering desks.
pub(crate) struct DemoSteps {
    fleet: LocalFleet,
    /// The tokens charged to the large workspace so far.
    billed: u64,
}

#[allow(clippy::print_stdout, reason = "the demo prints to a terminal")]
fn print_line(text: &str) {
    println!("{text}");
}

impl DemoSteps {
    pub(crate) async fn start() -> Result<Self, FleetError> {
        print_line(
            "== Starting the stand-ins of the platform and six routers in three data centres",
        );
        let engine = ["--model", MODEL, "--slots", "8"];
        let slow = ["--model", MODEL, "--slots", "4", "--tokens-per-second", "60"];
        let plan = FleetPlan::six_routers(["akl-a", "akl-b", "akl-c"])
            .engine("engine-1", "akl-a", &engine)
            .engine("engine-2", "akl-b", &engine)
            .engine("engine-3", "akl-c", &slow)
            .service("desk-1", "akl-a")
            .service("desk-2", "akl-b");
        let fleet = LocalFleet::start(plan).await?;
        for router in &fleet.routers {
            let (id, address) = (router.process.id(), router.caller_address);
            print_line(&format!(
                "router {} (process {id}) accepts callers on {address}",
                router.plan.instance
            ));
        }
        Ok(Self { fleet, billed: 0 })
    }

    pub(crate) async fn configure(&mut self) -> Result<(), FleetError> {
        print_line(
            "\n== The operators' program prints the configuration; the tool checks, signs and applies it",
        );
        let program = program_path("examples/umbrella_menders")?;
        let mut command = Command::new(&program);
        for endpoint in &self.fleet.endpoints {
            command.arg("--endpoint").arg(format!("{}={}", endpoint.endpoint, endpoint.address));
        }
        let output = command.output().map_err(|source| FleetError::System {
            action: format!("run `{}`", program.display()).into(),
            source,
        })?;
        self.fleet.apply_text(&String::from_utf8_lossy(&output.stdout)).await?;
        print_line(&self.fleet.run_tool(&["config", "in-force"])?);
        print_line(&self.fleet.run_tool(&["entries"])?);
        Ok(())
    }

    pub(crate) async fn streamed_call(
        &mut self,
        report: &mut GuaranteeReport,
    ) -> Result<(), FleetError> {
        print_line("== A caller streams an answer");
        let url = self.chat_url(0);
        let headers = headers(LARGE_WORKSPACE, None);
        let body =
            chat_body("Read the repair history of the blue one and draft a parts quote.", 40);
        let (status, answer) =
            self.fleet.caller.stream(&url, &header_refs(&headers), &body, |_| ()).await?;
        print_line(&format!("status {status}, {} chunks: {}", answer.chunks, answer.text));
        let billed = total_tokens(answer.usage.as_ref());
        let is_whole = answer.end == SseEnd::Done && answer.chunks == 40;
        report.add(is_whole, "a caller got its whole streamed answer, ending with [DONE]");
        self.billed += billed;
        let spent = self.wait_for_spent(LARGE_WORKSPACE, self.billed).await?;
        print_line(&format!("usage {billed} tokens, budget drawn down by {spent}"));
        report.add(
            spent == billed,
            format!("the budget was drawn down by exactly the bill ({billed} tokens)"),
        );
        Ok(())
    }

    pub(crate) async fn order_twice(
        &mut self,
        report: &mut GuaranteeReport,
    ) -> Result<(), FleetError> {
        print_line(
            "\n== An order, which must not run twice, sent twice with one key through two routers",
        );
        let headers = headers(LARGE_WORKSPACE, Some("order-ferrules-17"));
        self.billed += ORDER_TOKENS;
        let mut answers = Vec::new();
        for index in [0, 3] {
            let url =
                format!("http://{}/services/ordering-desk/orders", self.caller_address(index));
            let body = json!({ "part": "ferrule", "boxes": 2 });
            let answer = self.fleet.caller.post_json(&url, &header_refs(&headers), &body).await?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            print_line(&format!(
                "{}: status {}, {text}",
                self.fleet.routers[index].plan.instance, answer.status
            ));
            answers.push((answer.status, answer.body));
        }
        let mut executions = 0;
        for desk in ["desk-1", "desk-2"] {
            executions += self.executions(desk, "order-ferrules-17").await?;
        }
        print_line(&format!("the desks executed it {executions} time(s)"));
        report.add(
            executions == 1,
            "a non-idempotent call that was sent twice with one key ran once",
        );
        report
            .add(answers[0] == answers[1], "its second copy got the recorded outcome of the first");
        Ok(())
    }

    pub(crate) async fn call_past_budget(
        &mut self,
        report: &mut GuaranteeReport,
    ) -> Result<(), FleetError> {
        print_line("\n== A call that its workspace cannot pay for");
        let started = self.engine_starts().await?;
        let headers = headers(SMALL_WORKSPACE, None);
        let body = chat_body("Describe every umbrella in the shop.", 4_000);
        let url = self.chat_url(1);
        let answer = self.fleet.caller.post_json(&url, &header_refs(&headers), &body).await?;
        let refusal = answer.json();
        print_line(&format!("status {}, {refusal}", answer.status));
        let is_refused = refusal["error"]["code"] == "budget_exhausted";
        report.add(is_refused, "a call past the budget was refused");
        let is_not_run =
            refusal["error"]["ran"] == "not_run" && self.engine_starts().await? == started;
        report.add(is_not_run, "the refusal said not_run, and no engine started anything");
        Ok(())
    }

    pub(crate) async fn kill_router(
        &mut self,
        report: &mut GuaranteeReport,
    ) -> Result<(), FleetError> {
        print_line(
            "\n== A router is killed with a stream open; its caller repeats the request at another",
        );
        let headers = headers(LARGE_WORKSPACE, Some("quote-42"));
        let body = chat_body("Talk me through re-tensioning a rib.", 400);
        let url = self.chat_url(2);
        let process_id = self.fleet.routers[2].process.id();
        let is_killed = Cell::new(false);
        let process = &mut self.fleet.routers[2].process;
        let kill_after = |chunks: usize| {
            if chunks >= 20 && !is_killed.replace(true) {
                process.signal(ProcessSignal::Kill);
            }
        };
        let caller = self.fleet.caller.clone();
        let (_, cut) = caller.stream(&url, &header_refs(&headers), &body, kill_after).await?;
        print_line(&format!(
            "process {process_id} was killed; its caller saw {} chunks and {:?}",
            cut.chunks, cut.end
        ));
        let is_detected = cut.end == SseEnd::Cut && cut.chunks < 400;
        report.add(is_detected, "a stream that was cut did not look like a whole answer");

        let url = self.chat_url(4);
        let (status, whole) = caller.stream(&url, &header_refs(&headers), &body, |_| ()).await?;
        let billed = total_tokens(whole.usage.as_ref());
        print_line(&format!(
            "repeated with the same key: status {status}, {} chunks, {:?}",
            whole.chunks, whole.end
        ));
        let is_whole = whole.end == SseEnd::Done && whole.chunks == 400;
        let has_same_prefix = whole.text.starts_with(&cut.text);
        report.add(is_whole && has_same_prefix, "the repeated request got the whole answer");
        let spent = self.wait_for_spent(LARGE_WORKSPACE, self.billed + billed).await? - self.billed;
        print_line(&format!(
            "usage {billed} tokens, budget drawn down by {spent} after the reclaim"
        ));
        report.add(
            spent == billed,
            "the two attempts were billed once, and the dead router's rest came back",
        );
        Ok(())
    }

    pub(crate) async fn drain_router(
        &mut self,
        report: &mut GuaranteeReport,
    ) -> Result<(), FleetError> {
        print_line("\n== A router is drained with a stream open");
        let headers = headers(LARGE_WORKSPACE, None);
        let body = chat_body("Translate the care leaflet.", 400);
        let url = self.chat_url(3);
        let instance = self.fleet.routers[3].plan.instance.clone();
        let is_drained = Cell::new(false);
        let fleet = &self.fleet;
        let drain_after = |chunks: usize| {
            if chunks >= 20 && !is_drained.replace(true) {
                let output = fleet.run_tool(&["drain", instance.as_str()]);
                print_line(output.unwrap_or_else(|error| error.to_string()).trim_end());
            }
        };
        let (_, answer) =
            fleet.caller.stream(&url, &header_refs(&headers), &body, drain_after).await?;
        print_line(&format!("its caller got {} chunks and {:?}", answer.chunks, answer.end));
        let is_whole = answer.end == SseEnd::Done && answer.chunks == 400;
        report.add(is_whole, "a planned stop cut no stream");
        let entries = fleet
            .caller
            .get_json(&format!("http://{}/v1/entries", self.caller_address(0)), &[])
            .await?;
        let is_listed = entries["entries"].as_array().is_some_and(|entries| {
            entries.iter().any(|entry| entry["instance"] == json!(instance))
        });
        report.add(!is_listed, "the leaving router was no longer among the entries");
        let status = self.fleet.routers[3].process.wait_for_end(DRAIN_LIMIT).await?;
        print_line(&format!("{instance} ended with {status}"));
        report.add(status.success(), "the drained router ended by itself with status 0");
        Ok(())
    }

    pub(crate) async fn show_balances(
        &mut self,
        report: &mut GuaranteeReport,
    ) -> Result<(), FleetError> {
        print_line("\n== Balances and a state dump");
        for workspace in [LARGE_WORKSPACE, SMALL_WORKSPACE] {
            print_line(self.fleet.run_tool(&["workspace", "balance", workspace])?.trim_end());
        }
        let instance = self.fleet.routers[0].plan.instance.to_string();
        let dump = self.fleet.run_tool(&["--output", "json", "dump", &instance])?;
        let excerpt: String = dump.chars().take(1_500).collect();
        print_line(&format!("dump of {instance}, first 1,500 characters:\n{excerpt}"));
        let holds_secret =
            dump.contains("local-operator-token") || dump.contains("local-fleet-secret");
        report.add(!holds_secret, "the state dump holds no secret");
        Ok(())
    }

    fn caller_address(&self, index: usize) -> SocketAddr {
        self.fleet.routers[index].caller_address
    }

    fn chat_url(&self, index: usize) -> String {
        format!("http://{}/v1/chat/completions", self.caller_address(index))
    }

    /// Returns how much of a workspace's budget is spent, according to the store.
    async fn spent(&self, workspace: &str) -> Result<u64, FleetError> {
        let account = self.account(workspace)?;
        Ok(account["spent"].as_u64().unwrap_or(0))
    }

    fn account(&self, workspace: &str) -> Result<Value, FleetError> {
        let budget = format!("{workspace}-2027");
        let output = self.fleet.run_tool(&["--output", "json", "budget", "show", &budget])?;
        Ok(serde_json::from_str(&output).unwrap_or(Value::Null))
    }

    /// Waits until the account shows the expected tokens as spent, which needs all slices of the budget to be returned
    /// or reclaimed. Returns the tokens that the account shows in the end.
    async fn wait_for_spent(&self, workspace: &str, expected: u64) -> Result<u64, FleetError> {
        let check_account = || async {
            let spent = self.spent(workspace).await.ok()?;
            (spent == expected).then_some(spent)
        };
        match wait_until("the account shows every bill", SETTLE_LIMIT, check_account).await {
            Ok(spent) => Ok(spent),
            Err(FleetError::Timeout { .. }) => self.spent(workspace).await,
            Err(error) => Err(error),
        }
    }

    async fn executions(&self, desk: &str, key: &str) -> Result<u64, FleetError> {
        let found = self.fleet.endpoints.iter().find(|endpoint| endpoint.endpoint.as_str() == desk);
        let Some(endpoint) = found else { return Ok(0) };
        let url = format!("http://{}/control/executions", endpoint.address);
        Ok(self.fleet.caller.get_json(&url, &[]).await?["executions"][key].as_u64().unwrap_or(0))
    }

    async fn engine_starts(&self) -> Result<u64, FleetError> {
        let mut started = 0;
        for endpoint in self
            .fleet
            .endpoints
            .iter()
            .filter(|found| found.endpoint.as_str().starts_with("engine"))
        {
            let url = format!("http://{}/control/stats", endpoint.address);
            let stats = self.fleet.caller.call(Method::GET, &url, &[], Vec::new()).await?.json();
            started += stats["requests_started"].as_u64().unwrap_or(0);
        }
        Ok(started)
    }
}

fn chat_body(content: &str, max_tokens: u32) -> Value {
    json!({
        "model": MODEL, "stream": true, "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": content }],
    })
}

fn headers(workspace: &str, key: Option<&str>) -> Vec<(&'static str, String)> {
    let mut headers = vec![("authorization", format!("Bearer {workspace}-example-key"))];
    headers.extend(key.map(|key| ("idempotency-key", key.to_owned())));
    headers
}

fn header_refs<'a>(headers: &'a [(&'static str, String)]) -> Vec<(&'a str, &'a str)> {
    headers.iter().map(|(name, value)| (*name, value.as_str())).collect()
}

fn total_tokens(usage: Option<&Value>) -> u64 {
    let field = |name| usage.and_then(|usage| usage[name].as_u64()).unwrap_or(0);
    field("prompt_tokens") + field("completion_tokens")
}
