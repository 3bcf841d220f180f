//! The probe of one entry instance's readiness and revision over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_macros::value;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::StatusCode;

const READY_PATH: &str = "/readyz";
const METRICS_PATH: &str = "/metrics";
const REVISION_METRIC: &str = "almondhead_document_revision";

/// The maximum number of characters of a response body that a reason quotes.
const MAX_REASON_CHARS: usize = 200;

/// The state of an entry instance as reported by its operators' listener.
#[value]
pub(crate) struct ProbeResult {
    /// Whether `/readyz` answered 200.
    pub(crate) ready: bool,
    /// The revision that it has in force; `None` when it has none or could not be read.
    pub(crate) revision: Option<u64>,
    /// Why it is not ready, or why its metrics could not be read.
    pub(crate) reason: Option<String>,
}

/// Probes an entry instance for its readiness and the revision that it has in force.
///
/// `timeout` applies to each of the two requests.
pub(crate) async fn probe(address: SocketAddr, timeout: Duration) -> ProbeResult {
    let ready = get(address, READY_PATH, timeout).await;
    let reason = match &ready {
        Ok(answer) if answer.status == StatusCode::OK => None,
        Ok(answer) => Some(not_ready_reason(answer)),
        Err(reason) => Some(reason.clone()),
    };
    let mut result = ProbeResult {
        ready: reason.is_none(),
        revision: None,
        reason,
    };
    if ready.is_ok() {
        match get(address, METRICS_PATH, timeout).await {
            Ok(answer) => result.revision = parse_revision(&answer),
            Err(reason) => result.reason = result.reason.or(Some(reason)),
        }
    }
    result
}

/// Sends a GET request over a new connection; a kept connection may have been closed by the peer.
async fn get(address: SocketAddr, path: &str, timeout: Duration) -> Result<HttpResponse, String> {
    let client = HttpClient::new(HttpSettings::default());
    let request = HttpRequest::new(Method::GET, address, path);
    let answer = client.send(request, timeout).await;
    answer.map_err(|error| format!("GET {path}: {error}"))
}

fn not_ready_reason(answer: &HttpResponse) -> String {
    let body = String::from_utf8_lossy(&answer.body);
    let body: String = body.trim().chars().take(MAX_REASON_CHARS).collect();
    format!(
        "GET {READY_PATH}: status {}, {body}",
        answer.status.as_u16()
    )
}

/// Reads the revision from the metrics; `None` for 0, which means that no document is in force.
fn parse_revision(scrape: &HttpResponse) -> Option<u64> {
    let text = std::str::from_utf8(&scrape.body).ok()?;
    let mut samples = text
        .lines()
        .filter_map(|line| line.strip_prefix(REVISION_METRIC));
    let value = samples.find_map(|sample| sample.split_whitespace().next_back()?.parse().ok());
    value.filter(|revision| *revision > 0)
}
