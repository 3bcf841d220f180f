//! The entries' counts of the messages that they caused.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::Method;
use indexmap::IndexMap;

use crate::load_error::LoadError;

const METRIC: &str = "almondhead_messages_total";

/// The kind whose messages count as attempts already.
const RETRY: &str = "retry";

const SCRAPE_TIMEOUT: Duration = Duration::from_secs(5);

/// Messages by kind, over some entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageTotals {
    /// The number of messages of each kind.
    pub by_kind: IndexMap<String, u64>,
}

impl MessageTotals {
    /// All messages, each once.
    pub fn all(&self) -> u64 {
        let kinds = self.by_kind.iter();
        kinds
            .filter(|(kind, _)| *kind != RETRY)
            .map(|(_, messages)| messages)
            .sum()
    }

    /// What came after `before`.
    #[must_use]
    pub fn since(&self, before: &MessageTotals) -> MessageTotals {
        let kinds = self.by_kind.iter();
        let by_kind = kinds.map(|(kind, messages)| {
            let earlier = before.by_kind.get(kind).copied().unwrap_or(0);
            (kind.clone(), messages.saturating_sub(earlier))
        });
        MessageTotals {
            by_kind: by_kind.collect(),
        }
    }

    /// Adds what the text of one scrape counts.
    pub fn add_scrape(&mut self, text: &str) {
        for (kind, messages) in text.lines().filter_map(sample) {
            *self.by_kind.entry(kind.to_owned()).or_default() += messages;
        }
    }
}

/// The sum over all entries, or nothing when no addresses are given.
pub(crate) async fn scrape_messages(
    client: &HttpClient,
    operators: &[SocketAddr],
) -> Result<Option<MessageTotals>, LoadError> {
    let mut totals = MessageTotals::default();
    for address in operators {
        let request = HttpRequest::new(Method::GET, *address, "/metrics");
        let answer = client.send(request, SCRAPE_TIMEOUT).await;
        let answer = answer.map_err(|source| LoadError::Metrics { source })?;
        totals.add_scrape(&String::from_utf8_lossy(&answer.body));
    }
    Ok((!operators.is_empty()).then_some(totals))
}

/// The kind and the count of one line, when it is a sample of the metric.
fn sample(line: &str) -> Option<(&str, u64)> {
    let labels = line.strip_prefix(METRIC)?.strip_prefix('{')?;
    let (labels, value) = labels.split_once('}')?;
    let (_, kind) = labels.split_once("kind=\"")?;
    let (kind, _) = kind.split_once('"')?;
    let value: f64 = value.trim().parse().ok()?;
    Some((kind, value as u64))
}
