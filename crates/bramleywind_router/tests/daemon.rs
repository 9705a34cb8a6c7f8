//! Tests of the daemon binary with three processes, one of which is killed while it streams an answer.

#![allow(clippy::unwrap_used, reason = "helpers fail a test by panicking")]

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bramleywind_config::{OperatorSigningKey, SignedConfig};
use bramleywind_ledger::BudgetPage;
use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, WorkspaceSpec};
use bramleywind_router::{CallTimeouts, DeclineRule, EndpointAnswer, call_endpoint};
use bramleywind_standins::{EngineOptions, EngineStandin, InstancesStandin, StoreStandin};
use bramleywind_store::{InstanceKind, InstanceRecord, InstanceState, StoreKey};
use bramleywind_types::{BudgetId, ConfigRevision, TokenCount};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::json;
use test_case::test_case;

const TEST_TIMEOUT: Duration = Duration::from_secs(40);
const TOKEN: &str = "operators-token-of-the-test";
const CREDIT: u64 = 100_000;

/// A directory that is removed when dropped.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn create() -> Self {
        let name = format!("bramleywind-test-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A daemon process that is killed when dropped.
struct Daemon {
    child: Child,
    caller: SocketAddr,
    operator: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    async fn exit_status(&mut self) -> std::process::ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "the daemon did not stop within {TEST_TIMEOUT:?}");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns an address with a port that was just free. The settings need fixed ports, so that peers know them.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn start_daemons(
    directory: &Path,
    store: SocketAddr,
    instances: SocketAddr,
    public_key: &str,
) -> Vec<Daemon> {
    for (name, secret) in [("fleet", "0123456789abcdef0123456789abcdef"), ("token", TOKEN)] {
        std::fs::File::create(directory.join(name)).unwrap().write_all(secret.as_bytes()).unwrap();
    }
    let addresses: Vec<[SocketAddr; 3]> =
        (0..3).map(|_| [(); 3].map(|()| free_address())).collect();
    let peers: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(index, [_, peer, _])| {
            json!({ "instance": format!("entry-{index}"), "data_centre": format!("dc-{index}"),
                "peer_address": peer })
        })
        .collect();
    let daemons = addresses.into_iter().enumerate().map(|(index, [caller, peer, operator])| {
        let settings = json!({
            "instance": format!("entry-{index}"), "data_centre": format!("dc-{index}"),
            "caller_listen": caller, "peer_listen": peer, "operator_listen": operator,
            "store_address": store, "instance_list_address": instances, "peers": peers,
            "fleet_secret": { "file": directory.join("fleet") },
            "operator_token": { "file": directory.join("token") },
            "operator_public_key": public_key, "endpoint_policy": "round_robin",
            "limits": { "drain_grace_ms": 300, "request_timeout_ms": 10_000 }, "log": { "level": "warning" },
        });
        let path = directory.join(format!("settings-{index}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_bramleywindd"))
            .arg("--settings")
            .arg(path)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        Daemon { child, caller, operator }
    });
    daemons.collect()
}

async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<EndpointAnswer> {
    let times = CallTimeouts { connect: TEST_TIMEOUT, first_byte: TEST_TIMEOUT };
    call_endpoint(address, request, times, DeclineRule::LeavingOnly).await.ok()
}

async fn response_text(answer: EndpointAnswer) -> String {
    let body = answer.collect(TEST_TIMEOUT, 1 << 20).await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

fn operator_request(method: Method, path: &str) -> Request<Full<Bytes>> {
    let request = Request::builder().method(method).uri(path).header("host", "router");
    request.header("authorization", format!("Bearer {TOKEN}")).body(Full::default()).unwrap()
}

async fn fetch_dump(daemon: &Daemon) -> Option<serde_json::Value> {
    let answer = send_request(daemon.operator, operator_request(Method::GET, "/v1/dump")).await?;
    serde_json::from_str(&response_text(answer).await).ok()
}

/// Waits until the state dump of a daemon satisfies a condition.
async fn wait_until(daemon: &Daemon, what: &str, condition: impl Fn(&serde_json::Value) -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut last = None;
    while !last.as_ref().is_some_and(&condition) {
        assert!(Instant::now() < deadline, "timed out waiting until {what}; last dump: {last:?}");
        compio::time::sleep(Duration::from_millis(20)).await;
        last = fetch_dump(daemon).await;
    }
}

/// Builds a chat request with a prompt of five words and an answer of `tokens` tokens.
fn chat_request(tokens: u64, key: &str) -> Request<Full<Bytes>> {
    let body = json!({ "model": "m", "max_tokens": tokens, "stream": true,
        "messages": [{ "role": "user", "content": "tell it to the end" }] });
    Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("host", "router")
        .header("authorization", "Bearer the-key")
        .header("idempotency-key", key)
        .body(Full::new(body.to_string().into()))
        .unwrap()
}

/// Guards against a bill that is lost or counted twice when a router dies, against funds that stay with the dead
/// router, and against a daemon that fails to stop. The home of a budget pays from its own slice, from which the
/// other routers borrow, so the test kills either a lender or a borrower.
#[test_case(true; "lender")]
#[test_case(false; "borrower")]
fn a_killed_router_leaves_no_bill_or_funds_behind(is_home: bool) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let any = "127.0.0.1:0".parse().unwrap();
        let store = StoreStandin::start(any).await.unwrap();
        let instances = InstancesStandin::start(any).await.unwrap();
        let engine = EngineStandin::start(EngineOptions {
            models: vec!["m".parse().unwrap()],
            tokens_per_second: 1_000,
            ..EngineOptions::default()
        });
        let engine = engine.await.unwrap();
        let budget: BudgetId = "b".parse().unwrap();
        let workspace = WorkspaceSpec::new("w").budget("b", CREDIT).key("the-key", "b");
        let document = Fleet::new()
            .model(ModelSpec::new("m", 4_096))
            .workspace(workspace.may_use_model("m"))
            .endpoint(
                EndpointSpec::engine("engine-0", ["m"])
                    .placed_in("dc-0")
                    .at(&engine.address().to_string())
                    .slots(4),
            )
            .to_json()
            .unwrap();
        let key = OperatorSigningKey::from_seed([7; 32]);
        let signed = SignedConfig::sign(ConfigRevision(1), &document, &key);
        store.store().put(&StoreKey::config(), serde_json::to_vec(&signed).unwrap());
        let public_key = key.public_key().to_string();
        let directory = TestDirectory::create();
        for index in 0..3 {
            instances.put(InstanceRecord {
                instance: format!("entry-{index}").parse().unwrap(),
                data_centre: format!("dc-{index}").parse().unwrap(),
                address: engine.address(),
                kind: InstanceKind::Entry,
                state: InstanceState::Live,
            });
        }
        let mut daemons =
            start_daemons(&directory.0, store.address(), instances.address(), &public_key);
        for daemon in &daemons {
            wait_until(daemon, "the fleet is up", |dump| {
                dump["funds"]["registered"] == true
                    && dump["revision"] == 1
                    && dump["funds"]["witnesses"].as_array().is_some_and(|found| found.len() == 2)
            })
            .await;
        }

        let warm_up = response_text(
            send_request(daemons[0].caller, chat_request(3, "warm-up")).await.unwrap(),
        )
        .await;
        assert!(warm_up.ends_with("data: [DONE]\n\n"), "{warm_up}");
        let mut home = None;
        for (index, daemon) in daemons.iter().enumerate() {
            wait_until(daemon, "the request has ended", |dump| dump["running"] == 0).await;
            let left =
                &fetch_dump(daemon).await.unwrap()["funds"]["budgets"]["b"]["slice_available"];
            if left.as_u64().is_some_and(|left| left > 0) {
                home = Some(index);
            }
        }
        let home = home.expect("a router has a slice");
        // The router to kill comes first.
        daemons.rotate_left(if is_home { home } else { (home + 1) % 3 });
        let killed = fetch_dump(&daemons[0]).await.unwrap();
        let mut interrupted =
            send_request(daemons[0].caller, chat_request(400, "tale-1")).await.unwrap();
        interrupted.next_chunk(TEST_TIMEOUT).await.unwrap().unwrap();
        daemons[0].child.kill().unwrap();
        daemons[0].child.wait().unwrap();
        instances.remove(&killed["instance"].as_str().unwrap().parse().unwrap());
        let repeat = response_text(
            send_request(daemons[1].caller, chat_request(400, "tale-1")).await.unwrap(),
        )
        .await;
        assert!(repeat.ends_with("data: [DONE]\n\n"), "{repeat}");
        assert_eq!(repeat.matches("\"content\":").count(), 400);
        assert_eq!(engine.stats().requests_cancelled, 1);

        let incarnation = killed["funds"]["incarnation"].as_str().unwrap().to_owned();
        let current_page = || {
            let value = store.store().peek(&StoreKey::budget_page(&budget)).unwrap().value;
            BudgetPage::from_bytes(&value).unwrap().budgets[&budget].clone()
        };
        let deadline = Instant::now() + Duration::from_secs(30);
        while current_page().slices.keys().any(|holder| holder.to_string() == incarnation) {
            assert!(
                Instant::now() < deadline,
                "funds stay with the dead router: {:?}",
                current_page()
            );
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        // The bill of the repeated request replaces the tokens counted for the attempt of the dead router.
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !current_page().unresolved.is_empty() {
            assert!(Instant::now() < deadline, "counted twice: {:?}", current_page());
            compio::time::sleep(Duration::from_millis(50)).await;
        }

        let drained =
            send_request(daemons[1].operator, operator_request(Method::POST, "/v1/drain")).await;
        assert!(response_text(drained.unwrap()).await.contains("leaving"));
        let pid = daemons[2].child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        for daemon in &mut daemons[1..] {
            assert!(daemon.exit_status().await.success());
        }
        let page = current_page();
        assert!(page.slices.is_empty() && page.unresolved.is_empty(), "{page:?}");
        assert_eq!(page.settled, TokenCount((5 + 400) + (5 + 3)));
    });
}
