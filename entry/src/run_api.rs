//! The callers' HTTP interface to leased runs, and the readiness and metrics pages.

use std::sync::Arc;
use std::time::Instant;

use almondhead_lib::runs::event::RequestKind;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_platform::READY_PATH;
use almondhead_platform::caller_reply;
use almondhead_platform::caller_timeout;
use almondhead_platform::decode_job;
use futures_lite::future::or;
use smol::Timer;
use trillium::Conn;
use trillium::Handler;
use trillium::Method;

use crate::bind::bind;
use crate::guarded_transport::mark_request_received;
use crate::log_limit::LogLimit;
use crate::problem::Refusal;
use crate::reply::body_reply;
use crate::request_body::read_body;
use crate::run_driver::RunDriverStatus;
use crate::run_handle::RunHandle;
use crate::run_metrics::RunMetrics;
use crate::settings::Limits;
use crate::stopping::Stopping;

const JSON: &str = "application/json";
const METRICS_TEXT: &str = "text/plain; version=0.0.4";

/// How long the dispatcher may take to report its status.
const STATUS_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// The state that every handler shares.
pub(crate) struct RunContext {
    pub(crate) handle: RunHandle,
    pub(crate) metrics: RunMetrics,
    pub(crate) limits: Limits,
    pub(crate) stopping: Stopping,
    /// Limits the lines about bodies that are not jobs.
    pub(crate) body_log: LogLimit,
}

/// Returns the handler of the callers' listener.
pub(crate) fn run_api(context: &Arc<RunContext>) -> impl Handler + use<> {
    bind(context, handle_request)
}

/// Returns the handler of the listener that the platform asks for readiness.
pub(crate) fn ready_api(context: &Arc<RunContext>) -> impl Handler + use<> {
    bind(context, ready)
}

/// Returns the handler of the operators' listener.
pub(crate) fn run_metrics_api(context: &Arc<RunContext>) -> impl Handler + use<> {
    bind(context, metrics)
}

async fn handle_request(context: Arc<RunContext>, mut conn: Conn) -> Conn {
    let received_at = Instant::now();
    mark_request_received(&conn);
    let kind = match conn.method() {
        Method::Get => RequestKind::LookUp,
        Method::Delete => RequestKind::Cancel,
        Method::Post => match read_job(&context, &mut conn).await {
            Ok(kind) => kind,
            Err(refusal) => return refusal.reply(conn),
        },
        _ => return Refusal::MethodNotAllowed.reply(conn),
    };
    // After a freeze the process reads requests whose callers have left meanwhile and may have sent
    // their jobs to another instance.
    if conn.is_disconnected().await {
        tracing::info!(path = conn.path(), "request ignored: its caller has left");
        context.metrics.count_caller_left(received_at.elapsed());
        return Refusal::Busy.reply(conn);
    }
    let headers = conn.request_headers();
    let wait = caller_timeout(|name| headers.get_str(name));
    let host = headers.get_str("host").unwrap_or_default().to_owned();
    let path = conn.path().to_owned();
    let mut open = context.handle.request(|request| RunEvent::Requested {
        request,
        host,
        path,
        kind,
        wait,
    });
    let answer = conn.cancel_on_disconnect(open.answer()).await.flatten();
    let Some(answer) = answer else {
        context.metrics.count_caller_left(received_at.elapsed());
        return Refusal::Busy.reply(conn);
    };
    context.metrics.count_answer(&answer, received_at.elapsed());
    reply(&context, conn, &answer)
}

async fn read_job(context: &RunContext, conn: &mut Conn) -> Result<RequestKind, Refusal> {
    let body = read_body(conn, &context.limits).await?;
    match decode_job(&body) {
        Ok(job) => Ok(RequestKind::Submit(Arc::new(job))),
        Err(error) => {
            if let Some(suppressed) = context.body_log.permit() {
                let path = conn.path();
                tracing::warn!(path, %error, suppressed, "request refused: its body is not a job");
            }
            Err(Refusal::field("body", "is not a job"))
        }
    }
}

fn reply(context: &RunContext, conn: Conn, answer: &RunAnswer) -> Conn {
    let reply = caller_reply(answer);
    let conn = match reply.retry_after_s {
        Some(seconds) => conn.with_response_header("retry-after", seconds.to_string()),
        None => conn,
    };
    let conn = match context.stopping.is_set() {
        true => conn.with_response_header("connection", "close"),
        false => conn,
    };
    body_reply(conn, reply.status, JSON, reply.body.into_bytes())
}

async fn ready(context: Arc<RunContext>, conn: Conn) -> Conn {
    if conn.path() != READY_PATH {
        return Refusal::NotFound.reply(conn);
    }
    let status = context.status().await;
    let is_ready = status.is_some_and(|status| status.dispatcher.ready);
    let status = match is_ready && !context.stopping.is_set() {
        true => 200,
        false => 503,
    };
    body_reply(conn, status, JSON, b"{}".to_vec())
}

async fn metrics(context: Arc<RunContext>, conn: Conn) -> Conn {
    match conn.path() {
        "/metrics" => {}
        _ => return Refusal::NotFound.reply(conn),
    }
    let status = context.status().await.unwrap_or_default();
    match context.metrics.scrape(&status.dispatcher) {
        Ok(text) => body_reply(conn, 200, METRICS_TEXT, text),
        Err(error) => {
            tracing::warn!(%error, "metrics not scraped");
            body_reply(conn, 500, METRICS_TEXT, error.to_string().into_bytes())
        }
    }
}

impl RunContext {
    async fn status(&self) -> Option<RunDriverStatus> {
        or(self.handle.status(), async {
            Timer::after(STATUS_TIMEOUT).await;
            None
        })
        .await
    }
}
