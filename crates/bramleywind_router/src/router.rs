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
    Admission, DrainPhase, KeyRegistry, MeteredStore, OperatorAccess, PeerRequestHandler,
    RequestLimits, RouterIdentity, RouterLink, RouterMetrics, RouterParts, RouterState,
    background::{
        maintain_ledger, poll_instances, poll_loads, resolve_repeats, scan_members, send_orders,
        watch_config, watch_peers,
    },
    handle_caller_request, handle_operator_request,
    head_timeout_response::head_timeout_response,
};

/// How long a store call may take. A healthy store answers within milliseconds.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a read of the instance list may take. It is shorter than the poll interval.
const DIRECTORY_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How often a drain checks whether it has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The least time that connections get to send the rest of their answers when the time for requests is over.
const MIN_FLUSH_TIME: Duration = Duration::from_secs(2);

/// How long a stopping router waits for the store while it returns its slices and closes its claims.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Options for [`Router::start`].
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// The validated settings.
    pub settings: DaemonSettings,
    /// The request limits, which are taken from the settings by default.
    pub limits: RequestLimits,
    /// Whether the operator port accepts requests to cut links to peers, for tests.
    pub allow_test_faults: bool,
    /// The logger.
    pub log: Logger,
}

impl RouterOptions {
    /// Creates options with the limits from the settings and test faults disabled.
    pub fn new(settings: DaemonSettings, log: Logger) -> Self {
        let limits = RequestLimits::from_settings(&settings.limits);
        Self { settings, limits, allow_test_faults: false, log }
    }
}

/// An error that prevents a router from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The caller or operator port could not be opened.
    #[snafu(display("cannot listen on `{address}`: {source}; choose a free address"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The peer port could not be opened.
    #[snafu(display("{source}"))]
    Mesh {
        /// The error of the peer mesh.
        source: MeshError,
    },
    /// The fleet secret is too short.
    #[snafu(display("{source}"))]
    FleetSecret {
        /// The reason why the secret was rejected.
        source: SecretError,
    },
    /// The HTTP client for the store or the instance list could not be built.
    #[snafu(display("cannot build an HTTP client: {source}"))]
    Client {
        /// The error of the client.
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

/// A running router. Dropping it stops its tasks at once and closes its connections.
#[derive(Debug)]
pub struct Router {
    state: Rc<RouterState>,
    caller: HttpListener,
    operator: HttpListener,
    peer_address: SocketAddr,
    _tasks: Vec<JoinHandle<()>>,
}

impl Router {
    /// Starts a router. The router also starts while the store is down, and then serves the requests that do not
    /// need the store.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a port cannot be opened, the fleet secret is too short, or an HTTP client cannot
    /// be built.
    pub async fn start(options: RouterOptions) -> Result<Self, StartError> {
        let RouterOptions { settings, limits, allow_test_faults, log } = options;
        let metrics = RouterMetrics::default();
        let client =
            HttpStore::new(settings.store_address, STORE_CALL_TIMEOUT).context(ClientSnafu)?;
        let store = MeteredStore::new(client, metrics.store_calls.clone());
        let directory =
            InstanceDirectory::new(settings.instance_list_address, DIRECTORY_CALL_TIMEOUT)
                .context(ClientSnafu)?;
        let link = RouterLink::default();
        let ledger_settings = LedgerSettings {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            clock: LedgerClock::System,
            grants: GrantPolicy::default(),
        };
        let ledger = TokenLedger::new(ledger_settings, store.clone(), link.clone());
        let holder = ClaimHolder { instance: settings.instance.clone(), run: ledger.run_id() };
        let claims = ClaimKeeper::new(store.clone(), link.clone(), holder);
        let mesh = PeerMesh::bind(mesh_settings(&settings, ledger.run_id())?).await;
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
            timeout_response: head_timeout_response,
        };
        let state = RouterState::new(RouterParts {
            identity,
            limits,
            admission,
            ledger: ledger.clone(),
            link,
            key_registry,
            metrics,
            log,
        });
        let handler_state = state.clone();
        let caller =
            bound.serve(head, move |request| handle_caller_request(handler_state.clone(), request));
        let listen = settings.operator_listen;
        let bound = HttpListener::bind(listen).await.context(ListenSnafu { address: listen })?;
        let handler_state = state.clone();
        let access = OperatorAccess { token: settings.operator_token.clone(), allow_test_faults };
        let operator = bound.serve(head, move |request| {
            handle_operator_request(handler_state.clone(), access.clone(), request)
        });
        let dispatch = dispatch_settings(&settings);
        let key = settings.operator_public_key;
        let client = mesh.client();
        let handler = Rc::new(PeerRequestHandler::new(state.clone()));
        let log = state.log.clone();
        let tasks = vec![
            compio::runtime::spawn(mesh.run(handler, log)),
            compio::runtime::spawn(async move { ledger.run().await }),
            compio::runtime::spawn(maintain_ledger(state.clone(), settings.peers.len())),
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

    /// Returns the state that the tasks of the router share.
    pub fn state(&self) -> &Rc<RouterState> {
        &self.state
    }

    /// Returns the address of the caller port.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address
    }

    /// Returns the address of the peer port.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the operator port.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address
    }

    /// Waits until a drain has begun and ended: requests have finished, slices are returned to the store, claims are
    /// closed, and the order lease is released. The wait for the store is bounded.
    pub async fn wait_for_drain(&self) {
        while self.state.phase() != DrainPhase::Finished {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // A request ends when its answer has been passed to the connection, which may still be sending it.
        let finish = self.state.drain.borrow().finish_deadline();
        let flush = (Instant::now() + MIN_FLUSH_TIME).max(finish.unwrap_or_else(Instant::now));
        self.caller.close(flush).await;
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let outcome = self.state.ledger.hand_back_all(deadline).await;
        info!(self.state.log, "slices handed back"; "outcome" => ?outcome);
        self.state.key_registry.claims.drain(deadline).await;
        // With the lease released, the next holder does not wait for it to expire. An order may still be running.
        while !self.state.orders.is_released.get() && Instant::now() < deadline {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}
