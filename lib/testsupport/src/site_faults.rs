//! Helpers for tests with faults: jobs whose tasks carry markers, callers that wait in the
//! background, and checks of the starts that the upstreams recorded.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondhead_net::ExchangeError;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use futures_lite::future::or;
use serde_json::Value;
use serde_json::json;
use smol::Task;
use smol::Timer;

use crate::fault_proxy::FaultProxy;
use crate::site::NORTH;
use crate::site::SERVICE;
use crate::site::Site;
use crate::site::TEAM;
use crate::site::TestResult;
use crate::site::document;
use crate::site::json_of;
use crate::site::with_header;

/// The maximum time for a change that is guaranteed "within seconds".
pub const WITHIN_SECONDS: Duration = Duration::from_secs(5);

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 500;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const CALLER_CONNECTIONS: usize = 256;

/// A caller that sends its requests in the background.
#[derive(Clone)]
pub struct Caller(Arc<HttpClient>);

impl Caller {
    /// Returns a caller with a connection pool of its own.
    pub fn new() -> Self {
        Caller(Arc::new(HttpClient::new(HttpSettings {
            connections: CALLER_CONNECTIONS,
            ..HttpSettings::default()
        })))
    }

    /// Sends a request and returns the task that yields its answer; dropping the task cancels it.
    pub fn send(&self, request: HttpRequest) -> Task<Result<HttpResponse, ExchangeError>> {
        let client = Arc::clone(&self.0);
        smol::spawn(async move { client.send(request, CALL_TIMEOUT).await })
    }
}

impl Default for Caller {
    fn default() -> Self {
        Caller::new()
    }
}

/// Returns the body of a job whose tasks run for `run_ms` milliseconds and carry the markers
/// `marker/0`, `marker/1` and so on in their inputs.
pub fn marked_job(marker: &str, tasks: usize, run_ms: u64) -> Value {
    let inputs: Vec<Value> = (0..tasks)
        .map(|index| json!({ "run_ms": run_ms, "marker": format!("{marker}/{index}") }))
        .collect();
    json!({ "service": SERVICE, "team": TEAM, "timeout_ms": 20_000, "inputs": inputs })
}

/// Returns a request that submits a job in a session.
pub fn put_job(address: SocketAddr, session: &str, number: u64, body: &Value) -> HttpRequest {
    let path = format!("/v1/sessions/{session}/jobs/{number}");
    HttpRequest::new(Method::PUT, address, path).with_body(body.to_string())
}

/// Returns a request that submits a job under an idempotency key.
pub fn post_keyed(address: SocketAddr, key: &str, body: &Value) -> HttpRequest {
    let request = HttpRequest::new(Method::POST, address, "/v1/jobs");
    with_header(request, "idempotency-key", key).with_body(body.to_string())
}

/// Returns a request that submits a single task.
pub fn post_task(address: SocketAddr, body: &Value) -> HttpRequest {
    HttpRequest::new(Method::POST, address, "/v1/tasks").with_body(body.to_string())
}

/// Polls `condition` until it is true.
///
/// # Errors
///
/// If it is still false after `MAX_POLLS` polls; `what` describes it.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> TestResult {
    for _ in 0..MAX_POLLS {
        if condition() {
            return Ok(());
        }
        Timer::after(POLL_INTERVAL).await;
    }
    Err(format!("timed out waiting: {what}").into())
}

impl Site {
    /// Starts a site with one entry whose only upstream is reached through a proxy.
    pub async fn start_behind_proxy() -> Result<(Site, FaultProxy), Box<dyn Error>> {
        let mut site = Site::without_entries(1).await?;
        let proxy = FaultProxy::start(site.upstreams[0].address()).await?;
        site.install(1, &document(&[proxy.address()])).await?;
        site.start_entry("entry-a", NORTH, json!({})).await?;
        Ok((site, proxy))
    }

    /// Waits until a field of an entry's status has the value `wanted`, for at most
    /// [`WITHIN_SECONDS`].
    pub async fn wait_for_status_within_seconds(
        &self,
        entry: usize,
        field: &str,
        wanted: u64,
    ) -> TestResult {
        let timeout = async {
            Timer::after(WITHIN_SECONDS).await;
            Err(format!("timed out waiting until {field} of entry {entry} is {wanted}").into())
        };
        or(self.wait_for_status(entry, field, wanted), timeout).await
    }

    /// Returns the current value of a field of an entry's status.
    pub async fn status_of(&self, entry: usize, field: &str) -> Result<Value, Box<dyn Error>> {
        let operator_address = self.entries[entry].operator_address;
        let request = HttpRequest::new(Method::GET, operator_address, "/status");
        Ok(json_of(&self.send(request).await?)?[field].clone())
    }

    /// Returns the number of starts of tasks of the marked job on all upstreams.
    pub fn starts_of(&self, marker: &str) -> u64 {
        let prefix = format!("{marker}/");
        let reports = self.upstreams.iter().map(|upstream| upstream.report());
        let tasks = reports.flat_map(|report| report.tasks);
        let marked = tasks.filter(|task| task.marker.starts_with(&prefix));
        marked.map(|task| task.starts).sum()
    }

    /// Waits until tasks of the marked job have started at least `starts` times.
    pub async fn wait_for_starts(&self, marker: &str, starts: u64) -> TestResult {
        let what = format!("{starts} starts of {marker}");
        wait_until(&what, || self.starts_of(marker) >= starts).await
    }

    /// Checks that no task started twice, neither under the same task id nor with the same marker
    /// under two ids.
    pub fn check_at_most_once(&self) -> TestResult {
        let mut markers = Vec::new();
        for upstream in &self.upstreams {
            for task in upstream.report().tasks {
                if task.starts > 1 || markers.contains(&task.marker) {
                    return Err(format!("a task started twice: {task:?}").into());
                }
                if !task.marker.is_empty() {
                    markers.push(task.marker);
                }
            }
        }
        Ok(())
    }
}
