use std::{
    net::SocketAddr,
    num::NonZeroU32,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::{ClaimHolder, ClaimKeeper};
use bramleywind_http::{HeadLimits, HttpListener};
use bramleywind_ledger::{GrantPolicy, LedgerClock, LedgerSettings, TokenLedger};
use bramleywind_orders::{DispatchSettings, DispatchTiming, WeightStoreSettings};
use bramleywind_peer::{FleetSecret, MeshError, MeshSettings, MeshTiming, PeerMesh, SecretError};
use bramleywind_routing::PolicyKind;
use bramleywind_settings::DaemonSettings;
use bramleywind_store::{ClientError, HttpStore, InstanceDirectory};
use bramleywind_types::IncarnationId;
use compio::runtime::JoinHandle;
use slog::{Logger, info};
use snafu::{ResultExt, Snafu};

use crate::{
    Admission, CountedStore, DrainPhase, KeyRegistry, OperatorAccess, PeerAnswers, RequestLimits,
    RouterIdentity, RouterLink, RouterMetrics, RouterParts, RouterState, answer_operator,
    background::{
        keep_funds, poll_instances, poll_loads, resolve_repeats, scan_members, send_orders,
        watch_config, watch_peers,
    },
    handle_caller_request,
    head_timeout_response::head_timeout_response,
};

/// How long one call of the store may take. The store answers within milliseconds when it is well.
const STORE_CALL_TIME: Duration = Duration::from_secs(2);

/// How long one call for the instance list may take; shorter than the interval between two.
const DIRECTORY_CALL_TIME: Duration = Duration::from_millis(800);

/// How often a drain looks whether it is over.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// How long connections may take at least to send the ends of their answers when the time for requests is over.
const FLUSH_TIME: Duration = Duration::from_secs(2);

/// How long a stopping router waits for the store to take its slices back and to close its claims.
const HAND_BACK_TIME: Duration = Duration::from_secs(10);

/// What a router is started with.
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// The checked settings.
    pub settings: DaemonSettings,
    /// The limits, from the settings by default.
    pub limits: RequestLimits,
    /// Whether the operator port takes orders to cut links to peers, for tests.
    pub allow_test_faults: bool,
    /// The log.
    pub log: Logger,
}

impl RouterOptions {
    /// The options that follow from the settings.
    pub fn new(settings: DaemonSettings, log: Logger) -> Self {
        let limits = RequestLimits::from_settings(&settings.limits);
        Self { settings, limits, allow_test_faults: false, log }
    }
}

/// Why a router could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A port could not be opened.
    #[snafu(display("cannot listen on `{address}`: {source}; choose a free address"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The peer port could not be opened.
    #[snafu(display("{source}"))]
    Mesh {
        /// The reason.
        source: MeshError,
    },
    /// The fleet secret is too short.
    #[snafu(display("{source}"))]
    FleetSecret {
        /// The reason.
        source: SecretError,
    },
    /// The client of the store or of the instance list could not be built.
    #[snafu(display("cannot build an HTTP client: {source}"))]
    Client {
        /// The reason.
        source: ClientError,
    },
}

fn mesh_settings(
    settings: &DaemonSettings,
    run: IncarnationId,
) -> Result<MeshSettings, StartError> {
    let secret = settings.fleet_secret.expose().as_bytes().to_vec();
    let advertise = Some(settings.peer_address).filter(|address| address.port() != 0);
    Ok(MeshSettings {
        instance: settings.instance.clone(),
        run,
        data_centre: settings.data_centre.clone(),
        listen: settings.peer_listen,
        advertise,
        seeds: settings.peers.iter().map(|peer| peer.peer_address).collect(),
        secret: FleetSecret::new(secret).context(FleetSecretSnafu)?,
        timing: MeshTiming::default(),
    })
}

fn dispatch_settings(settings: &DaemonSettings) -> DispatchSettings {
    let rate = NonZeroU32::new(settings.weight_downloads_per_minute);
    let weight_store = settings.weight_store_address.zip(rate);
    let weight_store = weight_store.map(|(address, downloads_per_minute)| WeightStoreSettings {
        address,
        downloads_per_minute,
    });
    let holder = settings.instance.as_str().into();
    DispatchSettings { holder, weight_store, timing: DispatchTiming::default() }
}

/// A running router. It stops at once, and its connections break, when it is dropped.
#[derive(Debug)]
pub struct Router {
    state: Rc<RouterState>,
    caller: HttpListener,
    operator: HttpListener,
    peer_address: SocketAddr,
    _tasks: Vec<JoinHandle<()>>,
}

impl Router {
    /// Starts a router. It serves what it can while the store is down.
    ///
    /// # Errors
    ///
    /// If a port cannot be opened.
    pub async fn start(options: RouterOptions) -> Result<Self, StartError> {
        let RouterOptions { settings, limits, allow_test_faults, log } = options;
        let metrics = RouterMetrics::default();
        let client =
            HttpStore::new(settings.store_address, STORE_CALL_TIME).context(ClientSnafu)?;
        let store = CountedStore::new(client, metrics.store_calls.clone());
        let directory = InstanceDirectory::new(settings.instance_list_address, DIRECTORY_CALL_TIME)
            .context(ClientSnafu)?;
        let link = RouterLink::default();
        let ledger_settings = LedgerSettings {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            clock: LedgerClock::System,
            grants: GrantPolicy::default(),
        };
        let funds = TokenLedger::new(ledger_settings, store.clone(), link.clone());
        let holder = ClaimHolder { instance: settings.instance.clone(), run: funds.run_id() };
        let claims = ClaimKeeper::new(store.clone(), link.clone(), holder);
        let mesh = PeerMesh::bind(mesh_settings(&settings, funds.run_id())?).await;
        let mesh = mesh.context(MeshSnafu)?;
        link.connect(mesh.client());
        let peer_address = mesh.peer_address();
        let policy = settings.endpoint_policy.to_string().parse().unwrap_or(PolicyKind::TwoChoices);
        let admission = Admission::new(policy, rand::random(), settings.limits.queue_length);
        let listen = settings.caller_listen;
        let bound = HttpListener::bind(listen).await.context(ListenSnafu { address: listen })?;
        let identity = RouterIdentity {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            caller_address: match settings.caller_address.port() {
                0 => bound.address,
                _ => settings.caller_address,
            },
            capacity: settings.capacity,
        };
        let key_registry = KeyRegistry { claims: claims.clone() };
        let head = HeadLimits {
            read_time: limits.read_time,
            header_bytes: limits.header_bytes,
            late_head_answer: head_timeout_response,
        };
        let state = RouterState::new(RouterParts {
            identity,
            limits,
            admission,
            funds: funds.clone(),
            link,
            key_registry,
            metrics,
            log,
        });
        let answers = state.clone();
        let caller =
            bound.serve(head, move |request| handle_caller_request(answers.clone(), request));
        let listen = settings.operator_listen;
        let bound = HttpListener::bind(listen).await.context(ListenSnafu { address: listen })?;
        let answers = state.clone();
        let access = OperatorAccess { token: settings.operator_token.clone(), allow_test_faults };
        let operator = bound
            .serve(head, move |request| answer_operator(answers.clone(), access.clone(), request));
        let dispatch = dispatch_settings(&settings);
        let key = settings.operator_public_key;
        let client = mesh.client();
        let answers = Rc::new(PeerAnswers::new(state.clone()));
        let log = state.log.clone();
        let tasks = vec![
            compio::runtime::spawn(mesh.run(answers, log)),
            compio::runtime::spawn(async move { funds.run().await }),
            compio::runtime::spawn(keep_funds(state.clone(), settings.peers.len())),
            compio::runtime::spawn(scan_members(state.clone(), store.clone(), client.clone())),
            compio::runtime::spawn(resolve_repeats(state.clone())),
            compio::runtime::spawn(watch_peers(state.clone(), client, key)),
            compio::runtime::spawn(send_orders(state.clone(), store.clone(), dispatch)),
            compio::runtime::spawn(watch_config(state.clone(), store, key)),
            compio::runtime::spawn(poll_instances(state.clone(), directory)),
            compio::runtime::spawn(poll_loads(state.clone())),
            compio::runtime::spawn(async move { claims.maintain().await }),
        ];
        Ok(Self { state, caller, operator, peer_address, _tasks: tasks })
    }

    /// The state that the router's tasks share.
    pub fn state(&self) -> &Rc<RouterState> {
        &self.state
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address
    }

    /// Where peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address
    }

    /// Waits until a drain was begun and is over: requests finished, slices handed back, claims closed.
    pub async fn drained(&self) {
        while self.state.phase() != DrainPhase::Finished {
            compio::time::sleep(DRAIN_POLL).await;
        }
        // A request has ended once its answer is handed to the connection, which may still be sending it.
        let finish = self.state.drain.borrow().finish_deadline();
        let flush = (Instant::now() + FLUSH_TIME).max(finish.unwrap_or_else(Instant::now));
        self.caller.close(flush).await;
        let deadline = Instant::now() + HAND_BACK_TIME;
        let outcome = self.state.funds.hand_back_all(deadline).await;
        info!(self.state.log, "slices handed back"; "outcome" => ?outcome);
        self.state.key_registry.claims.drain(deadline).await;
        // The next holder need not wait for the lease to end. An order may still be under way.
        while !self.state.orders.is_released.get() && Instant::now() < deadline {
            compio::time::sleep(DRAIN_POLL).await;
        }
    }
}
