//! The entries' message counters, read from their metrics.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::Method;
use indexmap::IndexMap;

use crate::load_error::LoadError;

const MESSAGES_METRIC: &str = "almondhead_messages_total";

/// The kind of retries, whose messages are also counted as attempts.
const RETRY_KIND: &str = "retry";

/// The timeout of reading one entry's metrics.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(5);

/// Message counts by kind, summed over entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageTotals {
    /// The number of messages of each kind.
    pub by_kind: IndexMap<String, u64>,
}

impl MessageTotals {
    /// Returns the number of messages, counting each message once.
    pub fn total(&self) -> u64 {
        let kinds = self.by_kind.iter();
        kinds
            .filter(|(kind, _)| *kind != RETRY_KIND)
            .map(|(_, messages)| messages)
            .sum()
    }

    /// Returns the messages counted after `before`.
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

    /// Adds the counts in the text of one scrape.
    pub fn add_scrape(&mut self, text: &str) {
        for (kind, messages) in text.lines().filter_map(parse_sample) {
            *self.by_kind.entry(kind.to_owned()).or_default() += messages;
        }
    }
}

/// Scrapes every entry and returns the sum, or `None` when there are no addresses.
pub(crate) async fn scrape_messages(
    client: &HttpClient,
    operator_addresses: &[SocketAddr],
) -> Result<Option<MessageTotals>, LoadError> {
    let mut totals = MessageTotals::default();
    for address in operator_addresses {
        let request = HttpRequest::new(Method::GET, *address, "/metrics");
        let answer = client.send(request, SCRAPE_TIMEOUT).await;
        let answer = answer.map_err(|source| LoadError::ReadMetrics { source })?;
        totals.add_scrape(&String::from_utf8_lossy(&answer.body));
    }
    Ok((!operator_addresses.is_empty()).then_some(totals))
}

/// Parses one line into kind and count; `None` when it is no sample of the metric.
fn parse_sample(line: &str) -> Option<(&str, u64)> {
    let labels = line.strip_prefix(MESSAGES_METRIC)?.strip_prefix('{')?;
    let (labels, value) = labels.split_once('}')?;
    let (_, kind) = labels.split_once("kind=\"")?;
    let (kind, _) = kind.split_once('"')?;
    let value: f64 = value.trim().parse().ok()?;
    Some((kind, value as u64))
}
