//! Asking one entry instance for its state.

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

/// The most characters of an answer that a reason quotes.
const MAX_REASON_CHARS: usize = 200;

/// What an entry instance says of itself.
#[value]
pub(crate) struct Probe {
    /// Whether it is ready.
    pub(crate) ready: bool,
    /// The revision that it has in force.
    pub(crate) revision: Option<u64>,
    /// Why it is not ready or tells no revision.
    pub(crate) reason: Option<String>,
}

/// Asks an entry instance whether it is ready and which revision it has in force.
pub(crate) async fn probe(address: SocketAddr, timeout: Duration) -> Probe {
    let ready = get(address, READY_PATH, timeout).await;
    let reason = match &ready {
        Ok(answer) if answer.status == StatusCode::OK => None,
        Ok(answer) => Some(not_ready_reason(answer)),
        Err(reason) => Some(reason.clone()),
    };
    let mut probe = Probe {
        ready: reason.is_none(),
        revision: None,
        reason,
    };
    if ready.is_ok() {
        match get(address, METRICS_PATH, timeout).await {
            Ok(answer) => probe.revision = revision_of(&answer),
            Err(reason) => probe.reason = probe.reason.or(Some(reason)),
        }
    }
    probe
}

/// Reads a path over a connection of its own, which the peer can't have closed in the meantime.
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

/// The revision in the text of a scrape; none for 0, which means that no document is in force.
fn revision_of(scrape: &HttpResponse) -> Option<u64> {
    let text = std::str::from_utf8(&scrape.body).ok()?;
    let mut samples = text
        .lines()
        .filter_map(|line| line.strip_prefix(REVISION_METRIC));
    let value = samples.find_map(|sample| sample.split_whitespace().next_back()?.parse().ok());
    value.filter(|revision| *revision > 0)
}
