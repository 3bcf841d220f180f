//! Starts the parts of one entry process and shuts them down in order.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use almondhead_lib::dispatcher::Dispatcher;
use almondhead_lib::dispatcher::DispatcherConfig;
use almondhead_lib::dispatcher::DispatcherLimits;
use almondhead_lib::event::Event;
use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::session_token::SessionTokens;
use almondhead_net::DocumentStore;
use almondhead_net::HttpPlatform;
use almondhead_net::HttpSettings;
use almondhead_net::InstanceRole;
use almondhead_net::InstanceState;
use almondhead_net::ListedInstance;
use almondhead_net::Platform;
use async_channel::Receiver;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::future::or;
use smol::Timer;
use trillium_server_common::ServerHandle;

use crate::caller_api::caller_api;
use crate::caller_context::CallerContext;
use crate::claim_queue::ClaimWriter;
use crate::clock::Clock;
use crate::connection_budget::Audience;
use crate::connection_budget::ConnectionBudget;
use crate::document_watch::DocumentFileError;
use crate::document_watch::DocumentWatch;
use crate::document_watch::install_file;
use crate::driver::Command;
use crate::driver::Driver;
use crate::driver_handle::DriverHandle;
use crate::effects::Effects;
use crate::executor;
use crate::hop_tracker::HopTracker;
use crate::instance_watch::InstanceWatch;
use crate::instance_watch::ListHistory;
use crate::listener;
use crate::listener::ListenError;
use crate::listener::ListenerLimits;
use crate::logging;
use crate::metrics::Metrics;
use crate::operator_api::OperatorContext;
use crate::operator_api::operator_api;
use crate::peer::Incoming;
use crate::peer::MAX_INCOMING_MESSAGES;
use crate::peer::PeerSettings;
use crate::peer::PeerStartError;
use crate::peer_tcp::TcpTransport;
use crate::reload::watch_settings;
use crate::run_process::run_leased;
use crate::settings::Settings;
use crate::shutdown;
use crate::span_export::SpanExportError;
use crate::spans::Spans;
use crate::stopping::Stopping;
use crate::timer::TimerService;
use crate::upstream_client::UpstreamClient;
use crate::wall_clock;

/// Why an entry process could not start.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// A listener cannot be opened.
    #[display("{_0}")]
    Listen(ListenError),
    /// The listener for peer messages cannot be started.
    #[display("{_0}")]
    Peers(PeerStartError),
    /// The document file cannot be read or is not valid.
    #[display("{_0}")]
    Document(DocumentFileError),
    /// The output of spans cannot be opened.
    #[display("{_0}")]
    Spans(SpanExportError),
    /// The metrics cannot be registered.
    #[display("register metrics: {_0}")]
    Metrics(prometheus::Error),
    /// The signal handlers cannot be installed.
    #[display("listen for signals: {_0}")]
    Signals(io::Error),
    /// The socket that marks wait behind cannot be opened.
    #[display("open the socket of input marks: {_0}")]
    #[from(skip)]
    InputMark(io::Error),
    /// A task of the process has panicked; what depends on it would wait for ever.
    #[display("a task panicked: {message}")]
    #[from(skip)]
    TaskPanicked {
        /// The message of the panic.
        message: String,
    },
}

/// Time that callers have to read their answers once the dispatcher is idle.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// How often a stopping process checks whether anything is still open.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs an entry process until it is asked to stop and nothing is open any more, or one of its tasks
/// panics: then it ends at once, so that the platform starts it again and other instances replace it.
///
/// `settings_file` is the file that the settings were read from; it is read again when it changes.
///
/// # Errors
///
/// [`ProcessError`] when a part of the process cannot start, or a task has panicked.
pub fn run(settings: Settings, settings_file: &Path) -> Result<(), ProcessError> {
    let _log_writer = logging::start(&settings.log_filter);
    let failure = executor::start(settings.executor_threads);
    let served = async {
        let signals = shutdown::listen()?;
        let watched = watch_settings(settings_file.into(), settings.clone(), signals.reload);
        executor::spawn(watched);
        match settings.leased_runs {
            Some(leased) => run_leased(settings, leased, signals.stop).await,
            None => {
                let process = Process::start(settings).await?;
                process.serve(signals.stop).await;
                Ok(())
            }
        }
    };
    let panicked = async {
        let message = failure.wait().await;
        Err(ProcessError::TaskPanicked { message })
    };
    executor::block_on(or(served, panicked))
}

/// Returns the limits that the listeners of the process share.
pub(crate) fn listener_limits(settings: &Settings, offers_http2: bool) -> ListenerLimits {
    ListenerLimits {
        budget: ConnectionBudget::new(settings.machine, settings.limits.connections),
        limits: settings.limits.clone(),
        offers_http2,
    }
}

/// The parts of a running process that are shut down in order.
struct Process {
    settings: Settings,
    driver: DriverHandle,
    spans: Spans,
    stopping: Stopping,
    callers: ServerHandle,
    operators: ServerHandle,
}

/// Handles that most parts of the process share.
#[derive(Clone)]
struct Shared {
    identity: PeerIdentity,
    clock: Clock,
    spans: Spans,
    metrics: Metrics,
    stopping: Stopping,
    driver: DriverHandle,
    platform: Arc<dyn Platform>,
    peers: Arc<TcpTransport>,
}

impl Process {
    async fn start(settings: Settings) -> Result<Self, ProcessError> {
        let caller_listener = listener::bind("callers", settings.caller_address)?;
        let operator_listener = listener::bind("operators", settings.operator_address)?;
        let (driver, commands) = DriverHandle::new(settings.limits.waiting_events);
        let (shared, incoming) = Shared::new(&settings, driver)?;
        start_driver(&settings, &shared, commands);
        executor::spawn(receive_messages(incoming, shared.driver.clone()));
        start_watches(&settings, &shared).await?;
        let limits = listener_limits(&settings, true);
        let operators = operator_api(&operator_context(&settings, &shared));
        let operators = listener::serve(operator_listener, Audience::Operators, &limits, operators);
        let callers = caller_api(&caller_context(&settings, &shared));
        let callers = listener::serve(caller_listener, Audience::Callers, &limits, callers);
        tracing::info!(
            instance = %settings.instance,
            incarnation = %shared.identity.incarnation,
            callers = %settings.caller_address,
            operators = %settings.operator_address,
            peers = %settings.peer_address,
            "started"
        );
        Ok(Process {
            settings,
            driver: shared.driver,
            spans: shared.spans,
            stopping: shared.stopping,
            callers,
            operators,
        })
    }

    async fn serve(self, stop: Receiver<()>) {
        stop.recv().await.ok();
        tracing::info!("stopping");
        self.stopping.set();
        self.driver.send(Event::StopRequested).await;
        Timer::after(Duration::from_millis(self.settings.stop_notice_ms)).await;
        self.wait_until_idle().await;
        or(self.callers.shut_down(), async {
            Timer::after(ANSWER_READ_TIMEOUT).await;
        })
        .await;
        self.wait_until_idle().await;
        self.operators.shut_down().await;
        self.spans.flush();
        tracing::info!("stopped");
    }

    async fn wait_until_idle(&self) {
        while let Some(status) = self.driver.status().await {
            if status.is_idle {
                return;
            }
            Timer::after(IDLE_POLL_INTERVAL).await;
        }
    }
}

impl Shared {
    fn new(settings: &Settings, driver: DriverHandle) -> Result<(Self, Incoming), ProcessError> {
        let identity = PeerIdentity {
            instance: Arc::from(settings.instance.as_str()),
            incarnation: Incarnation(rand::random()),
        };
        let (peers, incoming) = TcpTransport::start(PeerSettings {
            identity: identity.clone(),
            listen: settings.peer_address,
            key: settings.peer_key.expose().to_vec(),
            max_incoming_messages: Some(MAX_INCOMING_MESSAGES),
        })?;
        let shared = Shared {
            identity,
            clock: Clock::start(),
            spans: Spans::new(settings)?,
            metrics: Metrics::new()?,
            stopping: Stopping::default(),
            driver,
            platform: platform_client(settings),
            peers: Arc::new(peers),
        };
        Ok((shared, incoming))
    }
}

/// Hands the messages of siblings to the driver until the transport is dropped.
async fn receive_messages(incoming: Incoming, driver: DriverHandle) {
    while let Ok(envelope) = incoming.recv().await {
        let event = Event::PeerMessage {
            sender: envelope.sender,
            message: envelope.message,
        };
        driver.send(event).await;
    }
}

fn start_driver(settings: &Settings, shared: &Shared, commands: Receiver<Command>) {
    let (claims, claim_writer) = ClaimWriter::new(
        shared.identity.clone(),
        Arc::clone(&shared.platform),
        shared.driver.clone(),
        shared.metrics.clone(),
        shared.clock,
        &settings.platform,
    );
    let effects = Effects {
        driver: shared.driver.clone(),
        upstreams: Arc::new(UpstreamClient::new(shared.clock, shared.spans.clone())),
        claims,
        platform: Arc::clone(&shared.platform),
        peers: shared.peers.clone(),
        metrics: shared.metrics.clone(),
    };
    let dispatcher = Dispatcher::new(dispatcher_config(settings, &shared.identity));
    let hops = HopTracker::new(shared.identity.incarnation, shared.spans.clone());
    let driver = Driver::new(dispatcher, shared.clock, commands, effects, hops);
    executor::spawn(driver.run());
    executor::spawn(claim_writer.run());
}

async fn start_watches(settings: &Settings, shared: &Shared) -> Result<(), ProcessError> {
    let timer = TimerService::new(shared.clock);
    executor::spawn(wall_clock::report(timer, shared.driver.clone()));
    match &settings.document_file {
        Some(file) => install_file(file, &shared.driver).await?,
        None => {
            let store = DocumentStore::new(Arc::clone(&shared.platform));
            let watch = DocumentWatch::new(store, shared.driver.clone());
            let period = Duration::from_millis(settings.platform.document_poll_ms);
            executor::spawn(watch.run(timer, period));
        }
    }
    let instance_watch = InstanceWatch {
        own: listed_instance(settings, &shared.identity),
        platform: Arc::clone(&shared.platform),
        driver: shared.driver.clone(),
        peers: shared.peers.clone(),
        stopping: shared.stopping.clone(),
        history: ListHistory::default(),
    };
    let period = Duration::from_millis(settings.platform.instances_poll_ms);
    executor::spawn(instance_watch.run(timer, period));
    Ok(())
}

fn operator_context(settings: &Settings, shared: &Shared) -> Arc<OperatorContext> {
    Arc::new(OperatorContext {
        identity: shared.identity.clone(),
        data_centre: settings.data_centre.clone(),
        driver: shared.driver.clone(),
        metrics: shared.metrics.clone(),
        peers: shared.peers.counters(),
        clock: shared.clock,
        stopping: shared.stopping.clone(),
    })
}

fn caller_context(settings: &Settings, shared: &Shared) -> Arc<CallerContext> {
    Arc::new(CallerContext {
        identity: shared.identity.clone(),
        tokens: SessionTokens::new(settings.peer_key.expose()),
        driver: shared.driver.clone(),
        metrics: shared.metrics.clone(),
        spans: shared.spans.clone(),
        limits: settings.limits.clone(),
        stopping: shared.stopping.clone(),
        next_request_id: AtomicU64::new(1),
    })
}

fn platform_client(settings: &Settings) -> Arc<dyn Platform> {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let client = HttpPlatform::new(settings.platform_address, HttpSettings::default(), timeout);
    Arc::new(client)
}

fn dispatcher_config(settings: &Settings, identity: &PeerIdentity) -> DispatcherConfig {
    DispatcherConfig {
        instance: Arc::clone(&identity.instance),
        data_centre: Arc::from(settings.data_centre.as_str()),
        incarnation: identity.incarnation,
        seed: rand::random(),
        limits: DispatcherLimits {
            jobs: settings.limits.jobs,
            sessions: settings.limits.sessions,
            session_window: settings.limits.session_window,
            keep_answers_ms: settings.limits.keep_answers_ms,
        },
    }
}

fn listed_instance(settings: &Settings, identity: &PeerIdentity) -> ListedInstance {
    ListedInstance {
        name: settings.instance.clone(),
        role: InstanceRole::Entry,
        data_centre: settings.data_centre.clone(),
        state: InstanceState::Live,
        incarnation: Some(identity.incarnation.to_string()),
        peer_address: Some(settings.peer_address),
        address: Some(settings.caller_address),
    }
}
