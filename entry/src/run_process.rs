//! Starts the parts of a process that dispatches leased runs and shuts them down in order.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_settings::RunLimits;
use almondhead_lib::runs::run_settings::RunSettings;
use almondhead_net::Bytes;
use almondhead_platform::EventSink;
use almondhead_platform::ListingSwitch;
use almondhead_platform::OrderClient;
use almondhead_platform::ReadClock;
use almondhead_platform::RosterSession;
use almondhead_platform::StoreClient;
use almondhead_platform::StoreContact;
use almondhead_platform::StoredIntendedDecoder;
use almondhead_platform::peer_key;
use almondhead_platform::watch_intended;
use almondhead_platform::watch_upstreams;
use async_channel::Receiver;
use futures_lite::future::or;
use smol::Timer;
use trillium_server_common::ServerHandle;

use crate::clock::Clock;
use crate::connection_budget::Audience;
use crate::deferred_transport::DeferredTransport;
use crate::executor;
use crate::input_mark::InputMark;
use crate::listener;
use crate::log_limit::LogLimit;
use crate::peer::Incoming;
use crate::peer::PeerSettings;
use crate::peer_tcp::TcpTransport;
use crate::process::ProcessError;
use crate::process::listener_limits;
use crate::run_api::RunContext;
use crate::run_api::ready_api;
use crate::run_api::run_api;
use crate::run_api::run_metrics_api;
use crate::run_driver::RunDriver;
use crate::run_driver::RunEffects;
use crate::run_handle::RunHandle;
use crate::run_metrics::RunMetrics;
use crate::settings::LeasedRuns;
use crate::settings::Settings;
use crate::stopping::Stopping;

/// Delay before a failed call to the store is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// How often a stopping process checks whether anything is still open.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a stopping process still accepts connections: the platform checks readiness twice, one
/// second apart, before it sends callers to other instances.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(2_300);

/// How long nothing must be open before a stopping process ends: callers on open connections may
/// still send requests, and a load balancer notices the stop only after two checks, one second
/// apart.
const QUIET_PERIOD: Duration = Duration::from_millis(400);

/// Part of the stop grace that is reserved for shutting down the parts of the process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(800);

/// What a task of an open job takes at its home and its owner, with its messages, in bytes.
const TASK_BYTES: u64 = 1_024;

/// The part of the machine's memory for the tasks of open jobs: an eighth.
const TASK_MEMORY_DIVISOR: u64 = 8;

/// How long a stopping process waits until its row in the roster is removed.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs a process until it is asked to stop and nothing is open any more or its stop grace is over.
pub(crate) async fn run_leased(
    settings: Settings,
    leased: LeasedRuns,
    stop: Receiver<()>,
) -> Result<(), ProcessError> {
    let process = RunProcess::start(settings, leased).await?;
    process.serve(stop).await;
    Ok(())
}

/// The parts of a running process that are shut down in order.
struct RunProcess {
    handle: RunHandle,
    stopping: Stopping,
    callers: ServerHandle,
    grace: Duration,
    leave: async_channel::Sender<()>,
    deregistered: Receiver<()>,
}

impl RunProcess {
    async fn start(settings: Settings, leased: LeasedRuns) -> Result<Self, ProcessError> {
        let stopping = Stopping::default();
        let (handle, commands) = RunHandle::new();
        let metrics = RunMetrics::new()?;
        let context = Arc::new(RunContext {
            handle: handle.clone(),
            metrics: metrics.clone(),
            limits: settings.limits.clone(),
            stopping: stopping.clone(),
            body_log: LogLimit::default(),
        });
        let callers = listen(&settings, &leased, &context)?;
        let identity = PeerIdentity {
            instance: Arc::from(settings.instance.as_str()),
            incarnation: Incarnation(rand::random()),
        };
        log_start(&settings, &leased, &identity);
        let sink = event_sink(&handle);
        let store = store_client(&settings, &sink);
        let peers = Arc::new(DeferredTransport::default());
        let (register_again, registrations) = async_channel::bounded(1);
        let listing_switch = Arc::new(ListingSwitch::default());
        let input_mark = InputMark::open().map_err(ProcessError::InputMark)?;
        let effects = RunEffects {
            orders: Arc::new(OrderClient::default()),
            store: Arc::clone(&store),
            peers: peers.clone(),
            metrics,
            handle: handle.clone(),
            input_mark: Arc::new(input_mark),
            listing_switch: Arc::clone(&listing_switch),
            register_again,
        };
        let run_settings = run_settings(&settings, &leased, &identity);
        let dispatcher = RunDispatcher::new(run_settings, Box::new(StoredIntendedDecoder));
        let clock = Clock::start();
        executor::spawn(RunDriver::new(dispatcher, clock, commands, effects).run());
        let key = shared_key(&store, &settings).await;
        let peer_settings = PeerSettings {
            identity: identity.clone(),
            listen: settings.peer_address,
            key: key.to_vec(),
            // They go on to the driver's queue at once: an input mark must come behind them.
            max_incoming_messages: None,
        };
        let (transport, incoming) = TcpTransport::start(peer_settings)?;
        peers.start(transport);
        executor::spawn(receive_messages(incoming, handle.clone()));
        spawn_watches(&store, listing_switch, clock, &sink);
        let session = RosterSession::new(
            store,
            settings.instance,
            identity.incarnation,
            settings.data_centre,
            settings.peer_address,
            leased.processor_millicores,
        );
        let grace = Duration::from_millis(leased.stop_grace_ms);
        let (leave, deregistered) =
            spawn_registration(session, handle.clone(), sink, registrations);
        Ok(RunProcess {
            handle,
            stopping,
            callers,
            grace,
            leave,
            deregistered,
        })
    }

    async fn serve(self, stop: Receiver<()>) {
        stop.recv().await.ok();
        let stop_requested_at = Instant::now();
        tracing::info!("stopping");
        self.stopping.set();
        let grace = self.grace.saturating_sub(SHUTDOWN_RESERVE);
        self.handle.send(RunEvent::StopRequested { grace });
        self.leave.send(()).await.ok();
        // Closes idle connections before the process ends, so that their callers connect to another
        // instance instead of being refused here later.
        let callers = self.callers.clone();
        executor::spawn(async move {
            Timer::after(LISTENER_CLOSE_DELAY).await;
            callers.shut_down().await;
        });
        let mut quiet_since = Instant::now();
        while stop_requested_at.elapsed() < grace && quiet_since.elapsed() < QUIET_PERIOD {
            let status = self.handle.status().await;
            if status.is_none_or(|status| !status.is_idle) {
                quiet_since = Instant::now();
            }
            Timer::after(IDLE_POLL_INTERVAL).await;
        }
        // Makes the roster session remove its row and report on `deregistered`.
        self.leave.close();
        or(async { self.deregistered.recv().await.ok() }, async {
            Timer::after(DEREGISTER_TIMEOUT).await;
            None
        })
        .await;
        let open = self.handle.status().await.unwrap_or_default();
        tracing::info!(open_jobs = open.dispatcher.open_jobs, "stopped");
    }
}

/// Opens and serves every listener; returns the handle of the one for callers.
fn listen(
    settings: &Settings,
    leased: &LeasedRuns,
    context: &Arc<RunContext>,
) -> Result<ServerHandle, ProcessError> {
    let callers = listener::bind("callers", settings.caller_address)?;
    let ready = listener::bind("readiness", leased.ready_address)?;
    let operators = listener::bind("operators", settings.operator_address)?;
    let limits = listener_limits(settings, false);
    listener::serve(ready, Audience::Readiness, &limits, ready_api(context));
    let metrics_api = run_metrics_api(context);
    listener::serve(operators, Audience::Operators, &limits, metrics_api);
    let run_api = run_api(context);
    Ok(listener::serve(
        callers,
        Audience::Callers,
        &limits,
        run_api,
    ))
}

fn store_client(settings: &Settings, sink: &EventSink) -> Arc<StoreClient> {
    let contact = Arc::new(StoreContact::new(Arc::clone(sink)));
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let client = StoreClient::new(settings.platform_address, timeout, contact);
    Arc::new(client)
}

fn run_settings(settings: &Settings, leased: &LeasedRuns, identity: &PeerIdentity) -> RunSettings {
    RunSettings {
        instance: Arc::clone(&identity.instance),
        data_centre: Arc::from(settings.data_centre.as_str()),
        incarnation: identity.incarnation,
        overload: leased.overload,
        limits: RunLimits {
            lease: Duration::from_millis(leased.lease_ms),
            caller_retry_pause: Duration::from_millis(leased.caller_retry_pause_ms),
            max_stop_time: Duration::from_millis(leased.max_stop_ms),
            max_open_jobs: settings.limits.jobs,
            max_open_tasks: max_open_tasks(settings),
            max_intended_age: Duration::from_millis(leased.max_intended_age_ms),
            ..RunLimits::default()
        },
    }
}

/// Returns the number of tasks of open jobs for which the machine has memory.
fn max_open_tasks(settings: &Settings) -> usize {
    let tasks = settings.machine.memory_bytes / TASK_MEMORY_DIVISOR / TASK_BYTES;
    usize::try_from(tasks).unwrap_or(usize::MAX)
}

fn log_start(settings: &Settings, leased: &LeasedRuns, identity: &PeerIdentity) {
    tracing::info!(
        instance = %identity.instance, incarnation = %identity.incarnation,
        callers = %settings.caller_address, peers = %settings.peer_address,
        store = %settings.platform_address, processor_millicores = leased.processor_millicores,
        overload = ?leased.overload, "started"
    );
}

fn event_sink(handle: &RunHandle) -> EventSink {
    let handle = handle.clone();
    Arc::new(move |event| handle.send(event))
}

/// Returns the peer key of the settings, else the one in the store; retries until it is read.
async fn shared_key(store: &StoreClient, settings: &Settings) -> Bytes {
    if !settings.peer_key.expose().is_empty() {
        return Bytes::copy_from_slice(settings.peer_key.expose());
    }
    loop {
        match peer_key(store).await {
            Ok(key) => return key,
            Err(error) => {
                tracing::warn!(%error, "peer key not read from the store");
                Timer::after(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Starts to read what operators and upstreams write in the store.
fn spawn_watches(
    store: &Arc<StoreClient>,
    listing_switch: Arc<ListingSwitch>,
    clock: Clock,
    sink: &EventSink,
) {
    let clock: ReadClock = Arc::new(move || clock.now());
    let (store, sink) = (Arc::clone(store), Arc::clone(sink));
    let intended = watch_intended(Arc::clone(&store), Arc::clone(&clock), Arc::clone(&sink));
    executor::spawn(intended);
    executor::spawn(watch_upstreams(store, listing_switch, clock, sink));
}

/// Hands the messages of other instances to the driver until the transport is dropped.
async fn receive_messages(incoming: Incoming, handle: RunHandle) {
    while let Ok(envelope) = incoming.recv().await {
        if let PeerMessage::Run(message) = envelope.message {
            handle.send(RunEvent::PeerMessage {
                sender: envelope.sender,
                message,
            });
        }
    }
}

/// Starts to keep the process registered; returns what makes it leave, and what reports that its row
/// has been removed.
fn spawn_registration(
    session: RosterSession,
    handle: RunHandle,
    sink: EventSink,
    registrations: Receiver<()>,
) -> (async_channel::Sender<()>, Receiver<()>) {
    let (leave, leaving) = async_channel::bounded(1);
    let (deregistered_sender, deregistered) = async_channel::bounded(1);
    let registered = keep_registered(
        session,
        handle,
        sink,
        registrations,
        leaving,
        deregistered_sender,
    );
    executor::spawn(registered);
    (leave, deregistered)
}

/// Sends heartbeats for this instance's row in the roster until the process leaves, announces the
/// leave, and removes the row once `leaving` is closed.
///
/// Each heartbeat waits for an answer of the dispatcher: the row of an instance that cannot dispatch
/// becomes stale, and others remove it.
async fn keep_registered(
    mut session: RosterSession,
    handle: RunHandle,
    sink: EventSink,
    registrations: Receiver<()>,
    leaving: Receiver<()>,
    deregistered: async_channel::Sender<()>,
) {
    loop {
        if registrations.try_recv().is_ok() {
            session.request_heartbeat();
        }
        let is_leaving = or(
            async {
                step_if_alive(&mut session, &handle, &sink).await;
                false
            },
            async {
                leaving.recv().await.ok();
                true
            },
        );
        if is_leaving.await {
            break;
        }
    }
    while let Err(error) = session.leave().await {
        tracing::warn!(%error, "leave not announced in the roster");
        Timer::after(STORE_RETRY_DELAY).await;
    }
    // Open jobs may still need owners that register meanwhile, so the roster is followed until
    // `leaving` is closed, once nothing is open.
    loop {
        let is_closed = or(
            async {
                step_if_alive(&mut session, &handle, &sink).await;
                false
            },
            async { leaving.recv().await.is_err() },
        );
        if is_closed.await {
            break;
        }
    }
    if let Err(error) = session.deregister().await {
        tracing::warn!(%error, "row not removed from the roster");
    }
    deregistered.send(()).await.ok();
}

/// Follows the roster and sends a heartbeat if one is due, once the dispatcher has answered; never
/// returns when it has ended.
async fn step_if_alive(session: &mut RosterSession, handle: &RunHandle, sink: &EventSink) {
    match handle.status().await {
        Some(_) => session.step(sink).await,
        None => std::future::pending().await,
    }
}
