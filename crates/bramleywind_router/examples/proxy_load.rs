//! Measures what the router adds to streamed answers: throughput, latency, processor time and memory.
//!
//! Build the programs with `cargo build --release -p bramleywind_router -p bramleywind_standins --bins
//! --examples`, then run `target/release/examples/proxy_load [streams] [tokens] [tokens per second]`. The
//! daemon and four engines run as separate processes on loopback and are killed at the end.

#![allow(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "a measurement prints its results and fails by panicking"
)]

use std::{
    cell::RefCell,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_config::{OperatorSigningKey, SignedConfig};
use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, WorkspaceSpec};
use bramleywind_router::{CallTimeouts, DeclineRule, call_endpoint};
use bramleywind_standins::{InstancesStandin, StoreStandin};
use bramleywind_store::StoreKey;
use bramleywind_types::ConfigRevision;
use bytes::Bytes;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(60);
const ENGINE_COUNT: usize = 4;
const REQUESTS_PER_STREAM: usize = 5;
const IDLE_SECONDS: u64 = 5;

/// A process that is killed when dropped.
struct ChildProcess(Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn program_path(name: &str) -> PathBuf {
    let example = std::env::current_exe().unwrap();
    example.ancestors().nth(2).unwrap().join(name)
}

/// Returns the processor time of a process in seconds, from the kernel's 100 Hz clock ticks.
fn processor_seconds(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    ticks as f64 / 100.0
}

fn peak_memory(process: u32) -> String {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    line.split_whitespace().skip(1).collect::<Vec<_>>().join(" ")
}

struct LoadResult {
    tokens: u64,
    requests: u64,
    failures: u64,
    elapsed: Duration,
    first_token_us: Histogram<u64>,
    gap_us: Histogram<u64>,
}

#[derive(Clone, Copy)]
struct LoadOptions {
    streams: usize,
    tokens: usize,
}

/// Runs `options.streams` concurrent callers, each of which sends several requests in sequence.
async fn run_load(targets: &[SocketAddr], options: LoadOptions) -> LoadResult {
    let result = Rc::new(RefCell::new(LoadResult {
        tokens: 0,
        requests: 0,
        failures: 0,
        elapsed: Duration::ZERO,
        first_token_us: Histogram::new(3).unwrap(),
        gap_us: Histogram::new(3).unwrap(),
    }));
    let started_at = Instant::now();
    let callers = (0..options.streams).map(|index| {
        let (result, target) = (result.clone(), targets[index % targets.len()]);
        async move {
            for round in 0..REQUESTS_PER_STREAM {
                run_stream(
                    target,
                    &format!("caller {index} round {round}"),
                    options.tokens,
                    &result,
                )
                .await;
            }
        }
    });
    join_all(callers.map(compio::runtime::spawn)).await;
    let mut result = Rc::try_unwrap(result).ok().unwrap().into_inner();
    result.elapsed = started_at.elapsed();
    result
}

async fn run_stream(target: SocketAddr, prompt: &str, tokens: usize, result: &RefCell<LoadResult>) {
    let body = json!({ "model": "m", "max_tokens": tokens, "stream": true,
        "messages": [{ "role": "user", "content": prompt }] });
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("host", "router")
        .header("content-type", "application/json")
        .header("authorization", "Bearer the-key")
        .body(Full::<Bytes>::new(body.to_string().into()))
        .unwrap();
    let started_at = Instant::now();
    let times = CallTimeouts { connect: TIMEOUT, first_byte: TIMEOUT };
    let mut is_complete = false;
    if let Ok(mut answer) = call_endpoint(target, request, times, DeclineRule::LeavingOnly).await {
        let mut last = None;
        while let Ok(Some(chunk)) = answer.next_chunk(TIMEOUT).await {
            let now = Instant::now();
            let text = String::from_utf8_lossy(&chunk);
            let mut result = result.borrow_mut();
            result.tokens += text.matches("\"content\":").count() as u64;
            is_complete |= text.contains("[DONE]");
            let (histogram, since) = match last {
                None => (&mut result.first_token_us, started_at),
                Some(last) => (&mut result.gap_us, last),
            };
            histogram.record((now - since).as_micros() as u64).unwrap();
            last = Some(now);
        }
    }
    let mut result = result.borrow_mut();
    result.requests += 1;
    result.failures += u64::from(!is_complete);
}

fn print_report(name: &str, result: &LoadResult, processor_time: Option<f64>) {
    let seconds = result.elapsed.as_secs_f64();
    let quantiles = |histogram: &Histogram<u64>| {
        [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0)
    };
    println!(
        "{name}: {} requests, {} failed, {:.0} tokens/s, {:.1} requests/s; first token ms \
         (p50, p95, p99) {:.1?}; between chunks ms {:.1?}",
        result.requests,
        result.failures,
        result.tokens as f64 / seconds,
        result.requests as f64 / seconds,
        quantiles(&result.first_token_us),
        quantiles(&result.gap_us),
    );
    if let Some(processor_time) = processor_time {
        println!(
            "  daemon: {:.1}% of a core, {:.1} us per token",
            100.0 * processor_time / seconds,
            1e6 * processor_time / result.tokens as f64
        );
    }
}

fn start_engine(speed: &str, slots: usize) -> (ChildProcess, SocketAddr) {
    let mut child = Command::new(program_path("standin_engine"))
        .args(["--model", "m", "--tokens-per-second", speed, "--slots", &slots.to_string()])
        .args(["--prefill-tokens-per-second", "1000000", "--slowdown-percent", "0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().rsplit(' ').next().unwrap().parse().unwrap();
    (ChildProcess(child), address)
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn main() {
    let argument = |index, default: &str| std::env::args().nth(index).unwrap_or(default.to_owned());
    let options = LoadOptions {
        streams: argument(1, "64").parse().unwrap(),
        tokens: argument(2, "200").parse().unwrap(),
    };
    let speed = argument(3, "100");
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let any = "127.0.0.1:0".parse().unwrap();
        let store = StoreStandin::start(any).await.unwrap();
        let instances = InstancesStandin::start(any).await.unwrap();
        let engines: Vec<_> =
            (0..ENGINE_COUNT).map(|_| start_engine(&speed, options.streams)).collect();
        let engine_addresses: Vec<_> = engines.iter().map(|(_, address)| *address).collect();
        let workspace = WorkspaceSpec::new("w").budget("b", 1_000_000_000).key("the-key", "b");
        let mut fleet = Fleet::new()
            .model(ModelSpec::new("m", 100_000))
            .workspace(workspace.may_use_model("m"));
        for (index, address) in engine_addresses.iter().enumerate() {
            fleet = fleet.endpoint(
                EndpointSpec::engine(&format!("engine-{index}"), ["m"])
                    .placed_in("dc")
                    .at(&address.to_string())
                    .slots(options.streams as u32),
            );
        }
        let key = OperatorSigningKey::from_seed([7; 32]);
        let signed = SignedConfig::sign(ConfigRevision(1), &fleet.to_json().unwrap(), &key);
        store.store().put(&StoreKey::config(), serde_json::to_vec(&signed).unwrap());

        let directory =
            std::env::temp_dir().join(format!("bramleywind-load-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let secret = directory.join("secret");
        std::fs::write(&secret, "0123456789abcdef0123456789abcdef").unwrap();
        let [caller, peer, operator] = [(); 3].map(|()| free_address());
        let settings = json!({
            "instance": "entry-0", "data_centre": "dc", "caller_listen": caller,
            "peer_listen": peer, "operator_listen": operator, "store_address": store.address(),
            "instance_list_address": instances.address(), "fleet_secret": { "file": secret },
            "operator_token": { "file": secret }, "operator_public_key": key.public_key(),
            "endpoint_policy": "two_choices", "log": { "level": "warning" },
        });
        let path = directory.join("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let daemon = Command::new(program_path("bramleywindd")).arg("--settings").arg(path).spawn();
        let daemon = ChildProcess(daemon.unwrap());
        let process = daemon.0.id();

        // The first requests may find the daemon still starting, or wait for the first grants.
        let warm_up = Instant::now() + TIMEOUT;
        while run_load(&[caller], LoadOptions { streams: 1, tokens: 5 }).await.failures > 0 {
            assert!(Instant::now() < warm_up, "the daemon did not become ready");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        let before = processor_seconds(process);
        compio::time::sleep(Duration::from_secs(IDLE_SECONDS)).await;
        let idle = processor_seconds(process) - before;
        println!("idle: {:.2}% of a core", 100.0 * idle / IDLE_SECONDS as f64);

        print_report("direct", &run_load(&engine_addresses, options).await, None);
        let before = processor_seconds(process);
        let writes_before = store.store().counters();
        let routed = run_load(&[caller], options).await;
        print_report("routed", &routed, Some(processor_seconds(process) - before));
        println!("  daemon: peak memory {}", peak_memory(process));
        println!("  store calls before {writes_before:?}, after {:?}", store.store().counters());
        let _ = std::fs::remove_dir_all(directory);
    });
}
