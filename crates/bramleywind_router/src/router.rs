use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::{ClaimHolder, ClaimKeeper};
use bramleywind_routing::PolicyKind;
use bramleywind_settings::DaemonSettings;
use bramleywind_store::{ClientError, HttpStore, InstanceDirectory};
use bramleywind_types::IncarnationId;
use compio::runtime::JoinHandle;
use slog::Logger;
use snafu::{ResultExt, Snafu};

use crate::{
    Admission, CountedStore, DrainPhase, FundsGate, HttpListener, KeyDesk, LoneLink, RequestLimits,
    RouterIdentity, RouterMetrics, RouterState, answer_caller, answer_operator,
    background::{poll_instances, poll_loads, watch_config},
};

/// How long one call of the store may take. The store answers within milliseconds when it is well.
const STORE_CALL_TIME: Duration = Duration::from_secs(2);

/// How long one call for the instance list may take; shorter than the interval between two.
const DIRECTORY_CALL_TIME: Duration = Duration::from_millis(800);

/// How often a drain looks whether it is over.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// How long a stopping router waits for the store to take its slices back and to close its claims.
const HAND_BACK_TIME: Duration = Duration::from_secs(10);

/// What a router is started with.
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// The checked settings.
    pub settings: DaemonSettings,
    /// The limits, from the settings by default.
    pub limits: RequestLimits,
    /// The log.
    pub log: Logger,
}

impl RouterOptions {
    /// The options that follow from the settings.
    pub fn new(settings: DaemonSettings, log: Logger) -> Self {
        let limits = RequestLimits::from_settings(&settings.limits);
        Self { settings, limits, log }
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
    /// The client of the store or of the instance list could not be built.
    #[snafu(display("cannot build an HTTP client: {source}"))]
    Client {
        /// The reason.
        source: ClientError,
    },
}

/// A running router. It stops at once, and its connections break, when it is dropped.
#[derive(Debug)]
pub struct Router {
    state: Rc<RouterState>,
    caller: HttpListener,
    operator: HttpListener,
    _tasks: Vec<JoinHandle<()>>,
}

impl Router {
    /// Starts a router. It serves what it can while the store is down.
    ///
    /// # Errors
    ///
    /// If a port cannot be opened.
    pub async fn start(options: RouterOptions) -> Result<Self, StartError> {
        let RouterOptions { settings, limits, log } = options;
        let metrics = RouterMetrics::default();
        let client =
            HttpStore::new(settings.store_address, STORE_CALL_TIME).context(ClientSnafu)?;
        let store = CountedStore::new(client, metrics.store_calls.clone());
        let directory = InstanceDirectory::new(settings.instance_list_address, DIRECTORY_CALL_TIME)
            .context(ClientSnafu)?;
        let run = IncarnationId::random();
        let holder = ClaimHolder { instance: settings.instance.clone(), run };
        let claims = ClaimKeeper::new(store.clone(), LoneLink, holder);
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
        let keys = KeyDesk { claims: claims.clone() };
        let read_time = limits.read_time;
        let state =
            RouterState::new(identity, limits, admission, FundsGate::default(), keys, metrics, log);
        let answers = state.clone();
        let caller = bound.serve(read_time, move |request| answer_caller(answers.clone(), request));
        let listen = settings.operator_listen;
        let bound = HttpListener::bind(listen).await.context(ListenSnafu { address: listen })?;
        let (answers, token) = (state.clone(), settings.operator_token.clone());
        let operator = bound.serve(read_time, move |request| {
            answer_operator(answers.clone(), token.clone(), request)
        });
        let key = settings.operator_public_key;
        let tasks = vec![
            compio::runtime::spawn(watch_config(state.clone(), store, key)),
            compio::runtime::spawn(poll_instances(state.clone(), directory)),
            compio::runtime::spawn(poll_loads(state.clone())),
            compio::runtime::spawn(async move { claims.maintain().await }),
        ];
        Ok(Self { state, caller, operator, _tasks: tasks })
    }

    /// The state that the router's tasks share.
    pub fn state(&self) -> &Rc<RouterState> {
        &self.state
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address
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
        let deadline = Instant::now() + HAND_BACK_TIME;
        self.state.keys.claims.drain(deadline).await;
    }
}
