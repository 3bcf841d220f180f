//! Claims of idempotency keys in the platform's table, grouped into writes.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::ClaimOutcome;
use almondhead_lib::event::Event;
use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::time::Timestamp;
use almondhead_macros::message;
use almondhead_macros::value;
use almondhead_net::InsertResult;
use almondhead_net::NewRow;
use almondhead_net::Platform;
use almondhead_net::encode_segment;
use almondhead_net::insert_resolved;
use async_channel::Receiver;
use async_channel::Sender;

use crate::clock::Clock;
use crate::driver_handle::DriverHandle;
use crate::metrics::Metrics;
use crate::settings::PlatformSettings;
use crate::timer::TimerService;

/// The name of the platform's table that holds the claims.
pub const CLAIMS_TABLE: &str = "claims";

/// How long claims are reported as unavailable without a write after a write has failed.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// A claim of an idempotency key that is to be written.
pub(crate) struct ClaimRequest {
    /// The number under which the result is reported.
    pub(crate) claim: u64,
    /// The key to claim.
    pub(crate) key: ClaimKey,
}

/// The key of a claim's row in the table: the team, encoded, and the idempotency key.
#[value]
pub(crate) struct ClaimKey(String);

impl ClaimKey {
    pub(crate) fn new(team: &str, key: &str) -> Self {
        ClaimKey(format!("{}/{key}", encode_segment(team)))
    }
}

/// Queues claims for the next write; clones share one bounded queue.
#[derive(Clone)]
pub(crate) struct ClaimQueue(Sender<ClaimRequest>);

/// The value of a claim's row.
#[message]
#[derive(Eq)]
struct ClaimRow {
    instance: String,
    incarnation: String,
    claim: u64,
}

impl ClaimRow {
    /// Returns the incarnation that wrote the row and the number of its claim; none when the row is
    /// malformed.
    fn decode(value: &[u8]) -> Option<ClaimOutcome> {
        let row = serde_json::from_slice::<ClaimRow>(value).ok()?;
        let incarnation = u64::from_str_radix(&row.incarnation, 16).ok()?;
        let home = PeerIdentity {
            instance: Arc::from(row.instance),
            incarnation: Incarnation(incarnation),
        };
        let claim = row.claim;
        Some(ClaimOutcome::AlreadyClaimed { home, claim })
    }
}

/// Writes queued claims, one group at a time, at a limited rate of writes.
pub(crate) struct ClaimWriter {
    identity: PeerIdentity,
    platform: Arc<dyn Platform>,
    driver: DriverHandle,
    metrics: Metrics,
    clock: Clock,
    requests: Receiver<ClaimRequest>,
    claims_per_write: usize,
    write_period: Duration,
    next_write: Timestamp,
    refuse_until: Timestamp,
}

impl ClaimQueue {
    /// Queues a claim; returns false when the queue is full.
    pub(crate) fn push(&self, request: ClaimRequest) -> bool {
        self.0.try_send(request).is_ok()
    }
}

impl ClaimWriter {
    pub(crate) fn new(
        identity: PeerIdentity,
        platform: Arc<dyn Platform>,
        driver: DriverHandle,
        metrics: Metrics,
        clock: Clock,
        settings: &PlatformSettings,
    ) -> (ClaimQueue, Self) {
        let (sender, requests) = async_channel::bounded(settings.waiting_claims);
        let writer = ClaimWriter {
            identity,
            platform,
            driver,
            metrics,
            clock,
            requests,
            claims_per_write: settings.claims_per_write,
            write_period: Duration::from_secs(1)
                / u32::try_from(settings.claim_writes_per_second).unwrap_or(u32::MAX),
            next_write: Timestamp::ZERO,
            refuse_until: Timestamp::ZERO,
        };
        (ClaimQueue(sender), writer)
    }

    /// Runs until every [`ClaimQueue`] has been dropped.
    pub(crate) async fn run(mut self) {
        while let Ok(first) = self.requests.recv().await {
            if self.clock.now() < self.refuse_until {
                self.report(&first, ClaimOutcome::Unavailable).await;
                continue;
            }
            TimerService::new(self.clock)
                .at(Some(self.next_write))
                .await;
            let mut group = vec![first];
            while group.len() < self.claims_per_write
                && let Ok(next) = self.requests.try_recv()
            {
                group.push(next);
            }
            self.next_write = self.clock.now() + self.write_period;
            self.write(group).await;
        }
    }

    async fn write(&mut self, group: Vec<ClaimRequest>) {
        let rows: Vec<NewRow> = group.iter().map(|request| self.row(request)).collect();
        match insert_resolved(self.platform.as_ref(), CLAIMS_TABLE, rows).await {
            Ok(results) => {
                for (request, result) in group.iter().zip(results) {
                    let end = claim_end(result);
                    self.report(request, end).await;
                }
            }
            Err(error) => {
                tracing::warn!(%error, claims = group.len(), "claims not written");
                self.refuse_until = self.clock.now() + PAUSE_AFTER_FAILURE;
                for request in &group {
                    self.report(request, ClaimOutcome::Unavailable).await;
                }
            }
        }
    }

    fn row(&self, request: &ClaimRequest) -> NewRow {
        let value = ClaimRow {
            instance: self.identity.instance.to_string(),
            incarnation: self.identity.incarnation.to_string(),
            claim: request.claim,
        };
        NewRow {
            key: request.key.0.clone(),
            value: serde_json::to_vec(&value)
                .expect("a claim row has only string keys")
                .into(),
        }
    }

    async fn report(&self, request: &ClaimRequest, end: ClaimOutcome) {
        self.metrics.count_claim(match end {
            ClaimOutcome::Acquired => "ours",
            ClaimOutcome::AlreadyClaimed { .. } => "theirs",
            ClaimOutcome::Unclaimed | ClaimOutcome::Unavailable => "unavailable",
        });
        let claim = request.claim;
        self.driver.send(Event::ClaimEnded { claim, end }).await;
    }
}

fn claim_end(result: InsertResult) -> ClaimOutcome {
    match result {
        InsertResult::Inserted => ClaimOutcome::Acquired,
        InsertResult::Present(row) => row_end(&row.value),
    }
}

fn row_end(value: &[u8]) -> ClaimOutcome {
    ClaimRow::decode(value).unwrap_or(ClaimOutcome::Unavailable)
}

/// Reads from the table which incarnation has claimed a key.
pub(crate) async fn find_home(platform: &dyn Platform, key: &ClaimKey) -> ClaimOutcome {
    match platform.read(CLAIMS_TABLE, &key.0).await {
        Ok(Some(row)) => row_end(&row.value),
        Ok(None) => ClaimOutcome::Unclaimed,
        Err(error) => {
            tracing::debug!(%error, "claim not read");
            ClaimOutcome::Unavailable
        }
    }
}
