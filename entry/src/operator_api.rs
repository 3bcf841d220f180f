//! The pages of the operators' listener: liveness, readiness, metrics and status.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::PeerIdentity;
use almondhead_macros::message;
use futures_lite::future::or;
use smol::Timer;
use trillium::Conn;
use trillium::Handler;
use trillium_router::Router;

use crate::bind::bind;
use crate::clock::Clock;
use crate::driver::DriverStatus;
use crate::driver_handle::DriverHandle;
use crate::metrics::Metrics;
use crate::peer_counters::PeerCounters;
use crate::reply::body_reply;
use crate::reply::json_reply;
use crate::stopping::Stopping;

/// The state that every handler of the operators' listener shares.
pub(crate) struct OperatorContext {
    pub(crate) identity: PeerIdentity,
    pub(crate) data_centre: String,
    pub(crate) driver: DriverHandle,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Arc<PeerCounters>,
    pub(crate) clock: Clock,
    pub(crate) stopping: Stopping,
}

/// The body of an answer that only names a state.
#[message]
struct StatePage {
    state: String,
}

/// The body of `/status`.
#[message]
struct StatusPage {
    instance: String,
    data_centre: String,
    incarnation: String,
    uptime_ms: u64,
    ready: bool,
    leaving: bool,
    document_revision: u64,
    open_jobs: usize,
    kept_jobs: usize,
    sessions: usize,
    queued_tasks: u32,
    running_attempts: usize,
    upstreams_in_use: usize,
    ejected_upstreams: usize,
    siblings: usize,
    #[serde(rename = "siblings_heard")]
    reachable_siblings: usize,
    messages: MessagesPage,
}

/// The number of messages caused since the start, by kind.
#[message]
struct MessagesPage {
    attempts: u64,
    upstream_answers: u64,
    refusals: u64,
    retries: u64,
    forwards: u64,
    forward_answers: u64,
    batches: u64,
    batch_answers: u64,
    cancels: u64,
    control: u64,
}

/// How long the dispatcher may take to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
const METRICS_TEXT: &str = "text/plain; version=0.0.4";

/// Returns the handler of every path of the operators' listener.
pub(crate) fn operator_api(context: &Arc<OperatorContext>) -> impl Handler + use<> {
    Router::new()
        .get("/livez", bind(context, livez))
        .get("/readyz", bind(context, readyz))
        .get("/metrics", bind(context, metrics))
        .get("/status", bind(context, status))
}

async fn livez(context: Arc<OperatorContext>, conn: Conn) -> Conn {
    match context.status().await {
        Some(_) => state_reply(conn, 200, "live"),
        None => state_reply(conn, 503, "dispatcher does not answer"),
    }
}

async fn readyz(context: Arc<OperatorContext>, conn: Conn) -> Conn {
    match context.status().await {
        Some(status) if context.is_ready(&status) => state_reply(conn, 200, "ready"),
        Some(status) if status.dispatcher.revision == 0 => {
            state_reply(conn, 503, "no document installed")
        }
        Some(_) => state_reply(conn, 503, "leaving"),
        None => state_reply(conn, 503, "dispatcher does not answer"),
    }
}

async fn metrics(context: Arc<OperatorContext>, conn: Conn) -> Conn {
    let status = context.status().await.unwrap_or_default();
    match context.metrics.scrape(&status, &context.peers) {
        Ok(text) => body_reply(conn, 200, METRICS_TEXT, text),
        Err(error) => state_reply(conn, 500, &error.to_string()),
    }
}

async fn status(context: Arc<OperatorContext>, conn: Conn) -> Conn {
    match context.status().await {
        Some(status) => json_reply(conn, 200, &context.status_page(&status)),
        None => state_reply(conn, 503, "dispatcher does not answer"),
    }
}

fn state_reply(conn: Conn, status: u16, state: &str) -> Conn {
    let state = state.to_owned();
    json_reply(conn, status, &StatePage { state })
}

impl OperatorContext {
    async fn status(&self) -> Option<DriverStatus> {
        or(self.driver.status(), async {
            Timer::after(STATUS_TIMEOUT).await;
            None
        })
        .await
    }

    fn is_ready(&self, status: &DriverStatus) -> bool {
        let status = &status.dispatcher;
        status.revision > 0 && !status.leaving && !self.stopping.is_set()
    }

    fn status_page(&self, status: &DriverStatus) -> StatusPage {
        let ready = self.is_ready(status);
        let status = &status.dispatcher;
        let messages = &status.messages;
        StatusPage {
            instance: self.identity.instance.to_string(),
            data_centre: self.data_centre.clone(),
            incarnation: self.identity.incarnation.to_string(),
            uptime_ms: self.clock.now().as_us() / 1_000,
            ready,
            leaving: status.leaving || self.stopping.is_set(),
            document_revision: status.revision,
            open_jobs: status.open_jobs,
            kept_jobs: status.kept_jobs,
            sessions: status.sessions,
            queued_tasks: status.queued_tasks,
            running_attempts: status.running_attempts,
            upstreams_in_use: status.upstreams_in_use,
            ejected_upstreams: status.ejected_upstreams,
            siblings: status.siblings,
            reachable_siblings: status.reachable_siblings,
            messages: MessagesPage {
                attempts: messages.attempts,
                upstream_answers: messages.upstream_answers,
                refusals: messages.refusals,
                retries: messages.retries,
                forwards: messages.forwards,
                forward_answers: messages.forward_answers,
                batches: messages.batches,
                batch_answers: messages.batch_answers,
                cancels: messages.cancels,
                control: messages.control,
            },
        }
    }
}
