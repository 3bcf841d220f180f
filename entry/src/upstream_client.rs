//! Runs attempts at upstreams over HTTP and derives from their ends whether a task ran.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use almondhead_lib::action::Attempt;
use almondhead_lib::id::TaskId;
use almondhead_lib::outcome::AttemptEnd;
use almondhead_lib::outcome::NotStartedCause;
use almondhead_lib::outcome::UnknownCause;
use almondhead_lib::target::UpstreamTarget;
use almondhead_macros::key;
use almondhead_net::ExchangeError;
use almondhead_net::Failure;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::Protocol;
use almondhead_net::Sent;
use almondhead_net::header::CONTENT_TYPE;
use almondhead_net::header::HeaderName;
use almondhead_net::header::HeaderValue;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Serialize;
use smol::Timer;

use crate::clock::Clock;
use crate::spans::Hop;
use crate::spans::Spans;

/// The header that names the task, in requests and in answers.
pub const TASK_ID: &str = "task-id";

/// The header by which an upstream's guard declares that the named task did not run.
pub const TASK_NOT_RUN: &str = "task-not-run";

/// The header that states how long the sender of a task still waits, in milliseconds.
pub const TASK_TIMEOUT_MS: &str = "task-timeout-ms";

const TRACEPARENT: &str = "traceparent";
/// How long a request to stop tasks may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// The delays before tasks that still have not ended are stopped again.
///
/// A stop may overtake its task's start, which goes over another connection, and upstreams pass over
/// the ids of tasks that do not run.
const STOP_RETRY_DELAYS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
];

/// Runs attempts over pooled connections to the upstreams.
pub(crate) struct UpstreamClient {
    clock: Clock,
    spans: Spans,
    clients: Mutex<IndexMap<ClientKind, Arc<HttpClient>>>,
    /// The tasks whose attempts have not ended.
    open_tasks: Mutex<IndexSet<TaskId>>,
}

/// The body of a request to stop tasks.
#[derive(Serialize)]
struct StopRequest {
    task_ids: Vec<String>,
}

/// The settings that upstreams sharing an HTTP client have in common.
#[key]
struct ClientKind {
    http2: bool,
    connections: u32,
}

impl UpstreamClient {
    pub(crate) fn new(clock: Clock, spans: Spans) -> Self {
        UpstreamClient {
            clock,
            spans,
            clients: Mutex::default(),
            open_tasks: Mutex::default(),
        }
    }

    /// Runs one attempt to its end; it is not started once `start_before` has passed.
    pub(crate) async fn run(&self, attempt: &Attempt) -> AttemptEnd {
        lock(&self.open_tasks).insert(attempt.task);
        let end = self.run_attempt(attempt).await;
        lock(&self.open_tasks).swap_remove(&attempt.task);
        end
    }

    async fn run_attempt(&self, attempt: &Attempt) -> AttemptEnd {
        let mut span = self
            .spans
            .start(Hop::Attempt, attempt.traceparent.as_deref());
        span.set("upstream", &attempt.target.name);
        span.set("task", &attempt.task.to_string());
        let request = attempt_request(attempt, span.traceparent().as_deref());
        let client = self.client(&attempt.target);
        let now = self.clock.now();
        if now >= attempt.start_before {
            return AttemptEnd::NotStarted(NotStartedCause::PastDeadline);
        }
        let timeout = attempt.timeout_at.since(now);
        let request = with_timeout(request, timeout);
        let deadline = self.clock.instant(attempt.timeout_at);
        let end = match client.send_before(request, deadline).await {
            Ok(response) => response_end(&response, &attempt.task.to_string()),
            Err(error) => error_end(&error),
        };
        span.set("end", end_name(&end));
        end
    }

    /// Asks an upstream to stop tasks, repeatedly while their attempts have not ended; the ends report
    /// whether they stopped.
    pub(crate) async fn stop(&self, target: &UpstreamTarget, tasks: &[TaskId]) {
        self.send_stop(target, tasks).await;
        for delay in STOP_RETRY_DELAYS {
            Timer::after(delay).await;
            let open: Vec<TaskId> = {
                let open_tasks = lock(&self.open_tasks);
                let open = tasks.iter().filter(|task| open_tasks.contains(*task));
                open.copied().collect()
            };
            if open.is_empty() {
                return;
            }
            self.send_stop(target, &open).await;
        }
    }

    async fn send_stop(&self, target: &UpstreamTarget, tasks: &[TaskId]) {
        let stop = StopRequest {
            task_ids: tasks.iter().map(ToString::to_string).collect(),
        };
        let body = serde_json::to_vec(&stop).expect("task ids are visible ASCII");
        let path = stop_path(&target.path);
        let mut request = HttpRequest::new(Method::POST, target.address, path).with_body(body);
        request
            .headers
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let sent = self.client(target).send(request, STOP_TIMEOUT).await;
        if let Err(error) = sent {
            tracing::debug!(upstream = %target.name, %error, "stop request failed");
        }
    }

    fn client(&self, target: &UpstreamTarget) -> Arc<HttpClient> {
        let kind = ClientKind {
            http2: target.http2,
            connections: target.connections.max(1),
        };
        let mut clients = lock(&self.clients);
        let client = clients
            .entry(kind)
            .or_insert_with(|| Arc::new(HttpClient::new(kind.http_settings())));
        Arc::clone(client)
    }
}

impl ClientKind {
    fn http_settings(self) -> HttpSettings {
        HttpSettings {
            protocol: match self.http2 {
                true => Protocol::Http2,
                false => Protocol::Http1,
            },
            connections: self.connections as usize,
            ..HttpSettings::default()
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the path that stops tasks: `stop` in place of the last segment of `run_path`.
fn stop_path(run_path: &str) -> String {
    let parent = run_path.rsplit_once('/').map_or("", |(parent, _)| parent);
    format!("{parent}/stop")
}

fn attempt_request(attempt: &Attempt, traceparent: Option<&str>) -> HttpRequest {
    let target = &attempt.target;
    let mut request = HttpRequest::new(Method::POST, target.address, target.path.as_ref())
        .with_body(attempt.input.clone());
    let headers = &mut request.headers;
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let task_id = HeaderValue::try_from(attempt.task.to_string());
    headers.insert(
        HeaderName::from_static(TASK_ID),
        task_id.expect("task ids are visible ASCII"),
    );
    if let Some(Ok(traceparent)) = traceparent.map(HeaderValue::try_from) {
        headers.insert(HeaderName::from_static(TRACEPARENT), traceparent);
    }
    request
}

fn with_timeout(mut request: HttpRequest, timeout: Duration) -> HttpRequest {
    let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    request.headers.insert(
        HeaderName::from_static(TASK_TIMEOUT_MS),
        HeaderValue::from(timeout_ms),
    );
    request
}

/// Derives the end of the attempt at task `task_id` from a complete response.
fn response_end(response: &HttpResponse, task_id: &str) -> AttemptEnd {
    let is_success = response.status.is_success();
    if response.header(TASK_NOT_RUN) == Some(task_id) && !is_success {
        return AttemptEnd::NotStarted(NotStartedCause::Refused);
    }
    if response.header(TASK_NOT_RUN).is_some() || response.header(TASK_ID) != Some(task_id) {
        return AttemptEnd::Unknown(UnknownCause::Mismatch);
    }
    if is_success {
        return AttemptEnd::Finished {
            body: response.body.clone(),
        };
    }
    AttemptEnd::TaskFailed {
        status: response.status.as_u16(),
    }
}

/// Derives the end of an attempt from an exchange without a complete response.
fn error_end(error: &ExchangeError) -> AttemptEnd {
    if error.sent == Sent::Nothing {
        return AttemptEnd::NotStarted(NotStartedCause::NotSent);
    }
    AttemptEnd::Unknown(match error.failure {
        Failure::Timeout { .. } => UnknownCause::Timeout,
        Failure::BodyTooLong { .. } | Failure::BodyWithoutEnd => UnknownCause::Mismatch,
        _ => UnknownCause::ConnectionLost,
    })
}

/// Returns the name of an attempt's end in metrics and spans.
pub(crate) fn end_name(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::NotStarted(NotStartedCause::NotSent) => "not_sent",
        AttemptEnd::NotStarted(NotStartedCause::Refused) => "refused",
        AttemptEnd::NotStarted(NotStartedCause::PastDeadline) => "past_deadline",
        AttemptEnd::Finished { .. } => "finished",
        AttemptEnd::TaskFailed { .. } => "task_failed",
        AttemptEnd::Unknown(UnknownCause::ConnectionLost) => "connection_lost",
        AttemptEnd::Unknown(UnknownCause::Timeout) => "timeout",
        AttemptEnd::Unknown(UnknownCause::Mismatch) => "mismatch",
        AttemptEnd::Unknown(UnknownCause::SiblingLost) => "sibling_lost",
    }
}
