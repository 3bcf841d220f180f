//! The metrics of a process that dispatches tasks over HTTP.

use std::sync::Arc;

use almondhead_lib::outcome::AttemptEnd;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::driver::DriverStatus;
use crate::peer_counters::PeerCount;
use crate::peer_counters::PeerCounters;
use crate::upstream_client::end_name;

/// The metrics of one process; clones share them.
#[derive(Clone)]
pub(crate) struct Metrics(Arc<Inner>);

/// The registry and the metrics registered in it.
struct Inner {
    registry: Registry,
    answers: IntCounterVec,
    attempts: IntCounterVec,
    claims: IntCounterVec,
    peer_messages: IntCounterVec,
    messages: IntCounterVec,
    request_seconds: Histogram,
    revision: IntGauge,
    leaving: IntGauge,
    open_jobs: IntGauge,
    queued_tasks: IntGauge,
    running_attempts: IntGauge,
    ejected_upstreams: IntGauge,
    siblings: IntGauge,
}

/// Upper bounds of the buckets of request times, in seconds.
const REQUEST_BUCKETS_SECONDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<IntCounterVec, prometheus::Error>(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<IntGauge, prometheus::Error>(gauge)
        };
        let request_seconds = Histogram::with_opts(
            HistogramOpts::new(
                "almondhead_request_seconds",
                "Time from a caller's request to its answer.",
            )
            .buckets(REQUEST_BUCKETS_SECONDS.to_vec()),
        )?;
        registry.register(Box::new(request_seconds.clone()))?;
        Ok(Metrics(Arc::new(Inner {
            answers: counters(
                "almondhead_answers_total",
                "Answers to callers by outcome and reason.",
                "outcome",
            )?,
            attempts: counters(
                "almondhead_attempts_total",
                "Attempts at upstreams by their end.",
                "end",
            )?,
            claims: counters(
                "almondhead_claims_total",
                "Claims of idempotency keys by their end.",
                "end",
            )?,
            messages: counters(
                "almondhead_messages_total",
                "Messages that the decisions of this instance caused.",
                "kind",
            )?,
            peer_messages: counters(
                "almondhead_peer_messages_total",
                "Messages of the transport between entry instances.",
                "end",
            )?,
            request_seconds,
            revision: gauge("almondhead_document_revision", "Revision in force.")?,
            leaving: gauge("almondhead_leaving", "Whether the instance is stopping.")?,
            open_jobs: gauge("almondhead_open_jobs", "Jobs that are open.")?,
            queued_tasks: gauge("almondhead_queued_tasks", "Tasks that wait for a slot.")?,
            running_attempts: gauge("almondhead_running_attempts", "Attempts that run.")?,
            ejected_upstreams: gauge(
                "almondhead_ejected_upstreams",
                "Upstreams out of use for failing.",
            )?,
            siblings: gauge("almondhead_siblings", "Sibling entry instances known.")?,
            registry,
        })))
    }

    pub(crate) fn count_answer(&self, outcome: &str, seconds: f64) {
        self.0.answers.with_label_values(&[outcome]).inc();
        self.0.request_seconds.observe(seconds);
    }

    pub(crate) fn count_attempt(&self, end: &AttemptEnd) {
        let end = end_name(end);
        self.0.attempts.with_label_values(&[end]).inc();
    }

    pub(crate) fn count_claim(&self, end: &str) {
        self.0.claims.with_label_values(&[end]).inc();
    }

    /// Returns the text of a scrape, after updating the metrics from `status` and `peers`.
    pub(crate) fn scrape(
        &self,
        status: &DriverStatus,
        peers: &PeerCounters,
    ) -> Result<Vec<u8>, prometheus::Error> {
        self.set_gauges(status);
        self.copy_counters(status, peers);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.0.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Raises the counters of messages to the counts of the transport and the dispatcher.
    fn copy_counters(&self, status: &DriverStatus, peers: &PeerCounters) {
        for count in PeerCount::ALL {
            let counter = self.0.peer_messages.with_label_values(&[count.label()]);
            counter.inc_by(peers.get(count).saturating_sub(counter.get()));
        }
        for (kind, messages) in status.dispatcher.messages.by_kind() {
            let counter = self.0.messages.with_label_values(&[kind]);
            counter.inc_by(messages.saturating_sub(counter.get()));
        }
    }

    fn set_gauges(&self, status: &DriverStatus) {
        let metrics = &self.0;
        let status = &status.dispatcher;
        let count = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let revision = i64::try_from(status.revision).unwrap_or(i64::MAX);
        metrics.revision.set(revision);
        metrics.leaving.set(i64::from(status.leaving));
        metrics.open_jobs.set(count(status.open_jobs));
        metrics.queued_tasks.set(i64::from(status.queued_tasks));
        metrics.running_attempts.set(count(status.running_attempts));
        metrics
            .ejected_upstreams
            .set(count(status.ejected_upstreams));
        metrics.siblings.set(count(status.siblings));
    }
}
