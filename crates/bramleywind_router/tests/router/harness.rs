//! A test fleet in one process: stand-ins for the platform, routers and a caller. Every wait has a deadline.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_config::{OperatorSigningKey, SignedConfig};
use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, ServiceSpec, WorkspaceSpec};
use bramleywind_router::{RequestLimits, Router, RouterOptions};
use bramleywind_settings::{DaemonSettings, EndpointPolicy, PeerSeed, RouterLimits, Secret};
use bramleywind_standins::{
    EngineOptions, EngineStandin, InstancesStandin, ServiceOptions, ServiceStandin, StoreStandin,
};
use bramleywind_store::{InstanceKind, InstanceRecord, InstanceState, StoreKey};
use bramleywind_types::{ConfigRevision, RefusalBody, TokenCount};
use bytes::Bytes;
use compio::{
    net::{TcpSocket, TcpStream},
    runtime::JoinHandle,
    time::timeout,
};
use cyper_core::HyperStream;
use http::{Method, Request, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};

/// The longest time that a test waits for anything.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub const ANY: &str = "127.0.0.1:0";
pub const MODEL: &str = "weave-small";
pub const KEY: &str = "key-of-menders";
pub const OTHER_KEY: &str = "key-of-bakers";
pub const TOKEN: &str = "operators-token";
pub const BUDGET: &str = "spring-season";
pub const CREDIT: u64 = 100_000;

/// The components and limits of a [`TestFleet`].
pub struct FleetOptions {
    pub engines: Vec<EngineOptions>,
    pub credit: u64,
    pub limits: fn(&mut RequestLimits),
    pub policy: EndpointPolicy,
    pub routers: usize,
    /// The addresses of additional engines that the test runs itself.
    pub external_engines: Vec<SocketAddr>,
    /// The address of the weight store in the settings, if any.
    pub weight_store: Option<SocketAddr>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            engines: vec![fast_engine()],
            credit: CREDIT,
            limits: |_| {},
            policy: EndpointPolicy::RoundRobin,
            routers: 1,
            external_engines: Vec::new(),
            weight_store: None,
        }
    }
}

/// Returns options for an engine that answers within milliseconds.
pub fn fast_engine() -> EngineOptions {
    EngineOptions {
        models: vec![MODEL.parse().unwrap(), "weave-once".parse().unwrap()],
        tokens_per_second: 2_000,
        prefill_tokens_per_second: 1_000_000,
        down_time: Duration::from_secs(60),
        ..EngineOptions::default()
    }
}

pub struct TestFleet {
    pub store: StoreStandin,
    pub instances: InstancesStandin,
    pub engines: Vec<EngineStandin>,
    pub service: ServiceStandin,
    pub routers: Vec<Router>,
}

impl TestFleet {
    pub async fn start(options: FleetOptions) -> Self {
        let any: SocketAddr = ANY.parse().unwrap();
        let store = StoreStandin::start(any).await.unwrap();
        let instances = InstancesStandin::start(any).await.unwrap();
        let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
        let mut engines = Vec::new();
        for engine_options in &options.engines {
            engines.push(EngineStandin::start(engine_options.clone()).await.unwrap());
        }
        let signing_key = OperatorSigningKey::from_seed([7; 32]);
        let document = fleet_document(&options, &engines, &service);
        let signed = SignedConfig::sign(ConfigRevision(1), &document, &signing_key);
        store.store().put(&StoreKey::config(), serde_json::to_vec(&signed).unwrap());
        let mut fleet = Self { store, instances, engines, service, routers: Vec::new() };
        for index in 0..options.routers {
            let settings = fleet.settings(index, &options, &signing_key);
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let mut router_options = RouterOptions::new(settings, log);
            (options.limits)(&mut router_options.limits);
            fleet.routers.push(Router::start(router_options).await.unwrap());
        }
        for router in &fleet.routers {
            wait_until("a configuration is in force", || router.state().current_routes().is_ok())
                .await;
        }
        let peers = options.routers - 1;
        for router in &fleet.routers {
            wait_until("all peers are live", || router.state().live_peers().len() == peers).await;
            wait_until("the router is registered", || router.state().ledger.dump().registered)
                .await;
        }
        fleet
    }

    fn settings(
        &self,
        index: usize,
        options: &FleetOptions,
        signing_key: &OperatorSigningKey,
    ) -> DaemonSettings {
        let any: SocketAddr = ANY.parse().unwrap();
        let peers = self.routers.iter().map(|router| PeerSeed {
            instance: router.state().identity.instance.clone(),
            data_centre: router.state().identity.data_centre.clone(),
            peer_address: router.peer_address(),
        });
        DaemonSettings {
            instance: format!("entry-{index}").parse().unwrap(),
            data_centre: format!("dc-{}", index % 2).parse().unwrap(),
            caller_listen: any,
            caller_address: any,
            peer_listen: any,
            peer_address: any,
            operator_listen: any,
            capacity: 100,
            store_address: self.store.address(),
            instance_list_address: self.instances.address(),
            weight_store_address: options.weight_store,
            weight_downloads_per_minute: 600,
            peers: peers.collect(),
            fleet_secret: Secret::new("0123456789abcdef0123456789abcdef"),
            operator_token: Secret::new(TOKEN),
            operator_public_key: signing_key.public_key(),
            endpoint_policy: options.policy,
            limits: RouterLimits::default(),
            log: Default::default(),
        }
    }

    /// Marks the instance of an endpoint as leaving in the instance list.
    pub fn mark_leaving(&self, instance: &str, address: SocketAddr) {
        self.instances.put(InstanceRecord {
            instance: instance.parse().unwrap(),
            data_centre: "dc-0".parse().unwrap(),
            address,
            kind: InstanceKind::Endpoint,
            state: InstanceState::Leaving,
        });
    }

    /// Starts another router that can reach its peers but not the store.
    pub async fn start_router_without_store(&self) -> Router {
        let signing_key = OperatorSigningKey::from_seed([7; 32]);
        let mut settings =
            self.settings(self.routers.len(), &FleetOptions::default(), &signing_key);
        // Nothing listens on the discard port.
        settings.store_address = "127.0.0.1:9".parse().unwrap();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        Router::start(RouterOptions::new(settings, log)).await.unwrap()
    }

    pub fn caller(&self) -> SocketAddr {
        self.routers[0].caller_address()
    }

    /// Returns how many tokens the only router has billed to the budget.
    pub fn spent(&self) -> u64 {
        let budget = BUDGET.parse().unwrap();
        let balance = self.routers[0].state().ledger.balance(&budget);
        balance.map_or(0, |balance| {
            let left =
                [balance.pool, balance.slice_available, balance.slice_open].into_iter().sum();
            balance.credit.saturating_sub(left).0
        })
    }

    /// Returns how many tokens the only router has reserved but not yet billed.
    pub fn reserved(&self) -> u64 {
        let budget = BUDGET.parse().unwrap();
        let balance = self.routers[0].state().ledger.balance(&budget);
        balance.map_or(0, |balance| balance.slice_open.0)
    }

    /// Waits until all requests have ended and are billed.
    pub async fn wait_until_idle(&self) {
        wait_until("all requests have ended", || {
            self.routers.iter().all(|router| router.state().running() == 0)
        })
        .await;
    }
}

fn fleet_document(
    options: &FleetOptions,
    engines: &[EngineStandin],
    service: &ServiceStandin,
) -> String {
    let mut fleet = Fleet::new()
        .model(ModelSpec::new(MODEL, 100_000))
        .model(ModelSpec::new("weave-once", 4_096).non_idempotent())
        .model(ModelSpec::new("weave-large", 4_096))
        .service(
            ServiceSpec::new("desk", 10)
                .non_idempotent_route("POST", "/orders")
                .idempotent_route("GET", "/")
                .non_idempotent_route("PUT", "/orders")
                .idempotent_route("PUT", "/"),
        )
        .workspace(
            WorkspaceSpec::new("umbrella-menders")
                .budget(BUDGET, options.credit)
                .key(KEY, BUDGET)
                .may_use_model(MODEL)
                .may_use_model("weave-once")
                .may_use_service("desk"),
        )
        .workspace(
            WorkspaceSpec::new("bakers")
                .budget("flour", options.credit)
                .key(OTHER_KEY, "flour")
                .may_use_model("weave-large"),
        )
        .endpoint(
            EndpointSpec::service("desk-1", "desk")
                .placed_in("dc-0")
                .at(&service.address().to_string())
                .slots(8),
        );
    for (index, engine) in engines.iter().enumerate() {
        let engine_options = &options.engines[index];
        fleet = fleet.endpoint(
            EndpointSpec::engine(&format!("engine-{index}"), [MODEL, "weave-once", "weave-large"])
                .on_instance(&format!("engine-{index}"))
                .placed_in("dc-0")
                .at(&engine.address().to_string())
                .slots(engine_options.slots)
                .checks_fencing(),
        );
    }
    for (index, address) in options.external_engines.iter().enumerate() {
        fleet = fleet.endpoint(
            EndpointSpec::engine(&format!("own-engine-{index}"), [MODEL, "weave-once"])
                .placed_in("dc-0")
                .at(&address.to_string())
                .slots(8),
        );
    }
    fleet.to_json().unwrap().into()
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Runs a test on a new runtime.
pub fn run_test(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// An answer whose body may still be arriving. Dropping it closes the connection.
pub struct OpenAnswer {
    pub head: Parts,
    body: Incoming,
    _connection: JoinHandle<()>,
}

/// An answer with its complete body.
#[derive(Debug)]
pub struct CompleteAnswer {
    pub head: Parts,
    pub body: Bytes,
}

/// Sends a request over a connection with a small receive buffer, like a caller that reads slowly.
pub async fn open_with_small_buffer(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> OpenAnswer {
    let socket = TcpSocket::new_v4().await.unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    open_on(socket.connect(address).await.unwrap(), request).await
}

pub async fn open(address: SocketAddr, request: Request<Full<Bytes>>) -> OpenAnswer {
    open_on(TcpStream::connect(address).await.unwrap(), request).await
}

async fn open_on(stream: TcpStream, request: Request<Full<Bytes>>) -> OpenAnswer {
    let (mut sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await.unwrap();
    let connection = compio::runtime::spawn(async move {
        let _ = connection.await;
    });
    let response = timeout(TEST_TIMEOUT, sender.send_request(request)).await.unwrap().unwrap();
    let (head, body) = response.into_parts();
    OpenAnswer { head, body, _connection: connection }
}

impl OpenAnswer {
    /// Returns the next chunk of the body, or `None` at its end.
    pub async fn next_chunk(&mut self) -> Option<Bytes> {
        let frame = timeout(TEST_TIMEOUT, self.body.frame()).await.unwrap()?;
        Some(frame.unwrap().into_data().unwrap())
    }

    pub async fn complete(mut self) -> CompleteAnswer {
        let mut body = Vec::new();
        while let Some(piece) = self.next_chunk().await {
            body.extend_from_slice(&piece);
        }
        CompleteAnswer { head: self.head, body: body.into() }
    }
}

impl CompleteAnswer {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    /// Returns the refusal in the body, after checking the status and headers that every refusal has.
    pub fn refusal(&self) -> bramleywind_types::Refusal {
        let refusal = serde_json::from_slice::<RefusalBody>(&self.body).unwrap().error;
        assert_eq!(self.head.status.as_u16(), refusal.status());
        assert!(self.head.headers.contains_key("x-request-id"));
        let retry_after = self.head.headers.get("retry-after");
        let seconds = refusal.retry_after_ms.map(|delay| delay.div_ceil(1_000).to_string());
        assert_eq!(retry_after.map(|value| value.to_str().unwrap()), seconds.as_deref());
        refusal
    }

    /// Returns the contents of all chunks of a stream, which must be complete.
    pub fn tokens(&self) -> Vec<String> {
        assert_eq!(self.head.status, StatusCode::OK, "{}", self.text());
        assert!(
            self.text().ends_with("data: [DONE]\n\n"),
            "the stream is truncated: {}",
            self.text()
        );
        contents(self.text())
    }
}

/// Returns the contents of the chunks in a stream.
pub fn contents(stream: &str) -> Vec<String> {
    let data = stream.lines().filter_map(|line| line.strip_prefix("data: {"));
    let chunks = data.map(|json| serde_json::from_str::<serde_json::Value>(&format!("{{{json}")));
    let content = |chunk: serde_json::Value| {
        chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
    };
    chunks.filter_map(|chunk| content(chunk.unwrap())).collect()
}

/// Builds a chat request for `tokens` tokens.
pub fn chat(prompt: &str, tokens: u32, stream: bool) -> Request<Full<Bytes>> {
    chat_with(MODEL, prompt, tokens, stream)
}

pub fn chat_with(model: &str, prompt: &str, tokens: u32, stream: bool) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    });
    post("/v1/chat/completions", body.to_string())
}

pub fn post(path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "router")
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .unwrap()
}

pub fn get(path: &str, key: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .uri(path)
        .header("host", "router")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::default())
        .unwrap()
}

/// Adds an idempotency key to a request.
pub fn keyed(mut request: Request<Full<Bytes>>, key: &str) -> Request<Full<Bytes>> {
    request.headers_mut().insert("idempotency-key", key.parse().unwrap());
    request
}

/// Returns the bill by rule B1 for a prompt of `words` words.
pub fn exact_bill(words: u64, tokens: u64) -> TokenCount {
    TokenCount(words + tokens)
}
