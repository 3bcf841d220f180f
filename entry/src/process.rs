//! Puts the parts of one entry process together, and takes them down in order.

use std::io;
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
use crate::document_watch::DocumentFileError;
use crate::document_watch::install_file;
use crate::driver::Driver;
use crate::driver_handle::DriverHandle;
use crate::effects::Effects;
use crate::executor;
use crate::instance_watch::InstanceWatch;
use crate::instance_watch::Seen;
use crate::listener;
use crate::listener::ListenError;
use crate::logging;
use crate::metrics::Metrics;
use crate::operator_api::OperatorContext;
use crate::operator_api::operator_api;
use crate::outbound::NoPeers;
use crate::outbound::Outbound;
use crate::settings::Settings;
use crate::shutdown::stop_signals;
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
    /// The document file cannot be used.
    #[display("{_0}")]
    Document(DocumentFileError),
    /// The spans cannot be written.
    #[display("{_0}")]
    Spans(SpanExportError),
    /// The metrics cannot be registered.
    #[display("register metrics: {_0}")]
    Metrics(prometheus::Error),
    /// Signals cannot be listened for.
    #[display("listen for signals: {_0}")]
    Signals(io::Error),
}

/// How long after the last answer callers may take to read theirs.
const LAST_READS: Duration = Duration::from_secs(30);

const IDLE_POLL: Duration = Duration::from_millis(20);

/// Runs an entry process until it was asked to stop and nothing is open any more.
///
/// # Errors
///
/// What kept the process from starting.
pub fn run(settings: Settings) -> Result<(), ProcessError> {
    logging::start(&settings.log_filter);
    executor::start(settings.executor_threads);
    executor::block_on(async {
        let stop = stop_signals()?;
        let process = Process::start(settings).await?;
        process.serve(stop).await;
        Ok(())
    })
}

/// The parts of a running process that are taken down in order.
struct Process {
    settings: Settings,
    driver: DriverHandle,
    spans: Spans,
    stopping: Stopping,
    callers: ServerHandle,
    operators: ServerHandle,
}

impl Process {
    async fn start(settings: Settings) -> Result<Self, ProcessError> {
        let clock = Clock::start();
        let timer = TimerService::new(clock);
        let spans = Spans::new(&settings)?;
        let metrics = Metrics::new()?;
        let stopping = Stopping::default();
        let identity = PeerIdentity {
            instance: Arc::from(settings.instance.as_str()),
            incarnation: Incarnation(rand::random()),
        };
        let caller_listener = listener::bind("callers", settings.caller_address)?;
        let operator_listener = listener::bind("operators", settings.operator_address)?;
        let platform = platform_client(&settings);
        let (driver, commands) = DriverHandle::new(settings.limits.waiting_events);
        let (claims, claim_writer) = ClaimWriter::new(
            identity.clone(),
            Arc::clone(&platform),
            driver.clone(),
            metrics.clone(),
            clock,
            &settings.platform,
        );
        let outbound: Arc<dyn Outbound> = Arc::new(NoPeers);
        let effects = Effects {
            driver: driver.clone(),
            upstreams: Arc::new(UpstreamClient::new(clock, spans.clone())),
            claims,
            platform: Arc::clone(&platform),
            peers: Arc::clone(&outbound),
            metrics: metrics.clone(),
        };
        let dispatcher = Dispatcher::new(dispatcher_config(&settings, &identity));
        executor::spawn(Driver::new(dispatcher, clock, commands, effects).run());
        executor::spawn(claim_writer.run());
        executor::spawn(wall_clock::report(timer, driver.clone()));
        if let Some(file) = &settings.document_file {
            install_file(file, &driver).await?;
        }
        let instance_watch = InstanceWatch {
            own: listed(&settings, &identity),
            platform,
            driver: driver.clone(),
            outbound,
            stopping: stopping.clone(),
            seen: Seen::default(),
        };
        let period = Duration::from_millis(settings.platform.instances_poll_ms);
        executor::spawn(instance_watch.run(timer, period));
        let operator_context = Arc::new(OperatorContext {
            identity: identity.clone(),
            data_centre: settings.data_centre.clone(),
            driver: driver.clone(),
            metrics: metrics.clone(),
            clock,
            stopping: stopping.clone(),
        });
        let caller_context = Arc::new(CallerContext {
            identity: identity.clone(),
            tokens: SessionTokens::new(settings.peer_key.expose()),
            driver: driver.clone(),
            metrics,
            spans: spans.clone(),
            limits: settings.limits.clone(),
            stopping: stopping.clone(),
            next_request_id: AtomicU64::new(1),
        });
        let limits = &settings.limits;
        let operators = listener::serve(operator_listener, limits, operator_api(&operator_context));
        let callers = listener::serve(caller_listener, limits, caller_api(&caller_context));
        tracing::info!(
            instance = %settings.instance,
            incarnation = %identity.incarnation,
            callers = %settings.caller_address,
            operators = %settings.operator_address,
            peers = %settings.peer_address,
            "started"
        );
        Ok(Process {
            settings,
            driver,
            spans,
            stopping,
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
            Timer::after(LAST_READS).await;
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
            Timer::after(IDLE_POLL).await;
        }
    }
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

fn listed(settings: &Settings, identity: &PeerIdentity) -> ListedInstance {
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
