//! The metrics of a process that dispatches leased runs.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::runs::run_answer::NotRun;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_lib::runs::run_order::OrderAnswer;
use almondhead_lib::runs::run_order::RunOrder;
use almondhead_lib::runs::run_status::RunStatus;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::decision_metrics::DecisionMetrics;

/// The metrics of one process; clones share them.
#[derive(Clone)]
pub(crate) struct RunMetrics(Arc<Inner>);

/// The registry and the metrics registered in it.
struct Inner {
    registry: Registry,
    answers: IntCounterVec,
    answer_seconds: HistogramVec,
    orders: IntCounterVec,
    order_seconds: HistogramVec,
    state: IntGaugeVec,
    refusals: IntCounterVec,
    decisions: DecisionMetrics,
}

/// Upper bounds of the buckets of answer and order times, in seconds.
const BUCKETS_SECONDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 1.6, 3.0, 6.0, 12.0,
];

impl RunMetrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let answers = IntCounterVec::new(
            Opts::new(
                "almondhead_run_answers_total",
                "Answers to callers by outcome.",
            ),
            &["outcome"],
        )?;
        let answer_seconds = histogram(
            "almondhead_run_answer_seconds",
            "Time from a caller's request to its answer.",
            "outcome",
        )?;
        let orders = IntCounterVec::new(
            Opts::new(
                "almondhead_orders_total",
                "Orders to upstreams by kind and answer.",
            ),
            &["kind", "answer"],
        )?;
        let order_seconds = histogram(
            "almondhead_order_seconds",
            "Time from an order to its answer.",
            "kind",
        )?;
        let state = IntGaugeVec::new(
            Opts::new(
                "almondhead_run_state",
                "What the dispatcher of leased runs has.",
            ),
            &["what"],
        )?;
        let refusals = IntCounterVec::new(
            Opts::new(
                "almondhead_run_refusals_total",
                "Requests refused with nothing run, by reason.",
            ),
            &["reason"],
        )?;
        let decisions = DecisionMetrics::new(&registry)?;
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(answer_seconds.clone()))?;
        registry.register(Box::new(orders.clone()))?;
        registry.register(Box::new(order_seconds.clone()))?;
        registry.register(Box::new(state.clone()))?;
        Ok(RunMetrics(Arc::new(Inner {
            registry,
            answers,
            answer_seconds,
            orders,
            order_seconds,
            state,
            refusals,
            decisions,
        })))
    }

    /// Counts an answer and the time that it took.
    pub(crate) fn count_answer(&self, answer: &RunAnswer, took: Duration) {
        self.count_outcome(answer_name(answer), took);
        if let RunAnswer::NotRun { reason, .. } = answer {
            let reason = refusal_name(reason);
            self.0.refusals.with_label_values(&[reason]).inc();
        }
    }

    /// Counts a request whose caller left before the answer, and the time until then.
    pub(crate) fn count_caller_left(&self, took: Duration) {
        self.count_outcome("caller_left", took);
    }

    fn count_outcome(&self, outcome: &str, took: Duration) {
        let metrics = &self.0;
        metrics.answers.with_label_values(&[outcome]).inc();
        let seconds = metrics.answer_seconds.with_label_values(&[outcome]);
        seconds.observe(took.as_secs_f64());
    }

    /// Counts an order by its answer, and the time that the answer took.
    pub(crate) fn count_order(&self, order: &RunOrder, answer: &OrderAnswer, took: Duration) {
        let metrics = &self.0;
        let kind = order_name(order);
        let counted = metrics
            .orders
            .with_label_values(&[kind, order_answer_name(answer)]);
        counted.inc();
        let seconds = metrics.order_seconds.with_label_values(&[kind]);
        seconds.observe(took.as_secs_f64());
    }

    /// Returns the text of a scrape, after updating the metrics from `status`.
    pub(crate) fn scrape(&self, status: &RunStatus) -> Result<Vec<u8>, prometheus::Error> {
        self.set_gauges(status);
        self.0.decisions.copy(&status.counts, &status.delegation);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.0.registry.gather(), &mut text)?;
        Ok(text)
    }

    fn set_gauges(&self, status: &RunStatus) {
        let count = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let version = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let readings = [
            ("intended_version", version(status.intended_version)),
            ("roster_version", version(status.roster_version)),
            ("leaving", i64::from(status.leaving)),
            ("ready", i64::from(status.ready)),
            ("open_jobs", count(status.open_jobs)),
            ("delegated_jobs", count(status.delegated_jobs)),
            ("held_batches", count(status.held_batches)),
            ("queued_tasks", count(status.queued_tasks)),
            ("running_tasks", count(status.running_tasks)),
            ("owned_upstreams", count(status.owned_upstreams)),
            ("usable_upstreams", count(status.usable_upstreams)),
            (
                "evacuated_data_centres",
                count(status.evacuated_data_centres),
            ),
            ("evacuated_upstreams", count(status.evacuated_upstreams)),
            ("listed_upstreams", count(status.listed_upstreams)),
            ("prioritised_services", count(status.prioritised_services)),
            ("recent_priorities", count(status.recent_priorities)),
            ("peers", count(status.peers)),
            ("peers_heard", count(status.reachable_peers)),
        ];
        for (what, value) in readings {
            self.0.state.with_label_values(&[what]).set(value);
        }
    }
}

fn histogram(name: &str, help: &str, label: &str) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec());
    HistogramVec::new(options, &[label])
}

fn answer_name(answer: &RunAnswer) -> &'static str {
    match answer {
        RunAnswer::NoSuchQueue => "no_such_queue",
        RunAnswer::NoSuchJob => "no_such_job",
        RunAnswer::NotRun { .. } => "not_run",
        RunAnswer::Ended(_) => "ended",
        RunAnswer::GivenUp(_) => "given_up",
        RunAnswer::State(_) => "state",
        RunAnswer::Cancelled => "cancelled",
        RunAnswer::Waiting(_) => "waiting",
    }
}

fn refusal_name(reason: &NotRun) -> &'static str {
    match reason {
        NotRun::NoIntendedState => "no_intended_state",
        NotRun::OutdatedState => "outdated_state",
        NotRun::Spec(_) => "unsupported",
        NotRun::NeedsNoUpstreamHas => "needs_no_upstream_has",
        NotRun::NoUpstreamInReach => "no_upstream_in_reach",
        NotRun::Overloaded => "overloaded",
        NotRun::WaitedTooLong => "waited_too_long",
        NotRun::QueueSuspended => "queue_suspended",
        NotRun::TooManyJobs => "too_many_jobs",
        NotRun::Stopping => "stopping",
    }
}

fn order_name(order: &RunOrder) -> &'static str {
    match order {
        RunOrder::Start { .. } => "start",
        RunOrder::Stop { .. } => "stop",
        RunOrder::Renew { .. } => "hold",
    }
}

fn order_answer_name(answer: &OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Done { .. } | OrderAnswer::Renewed(_) => "done",
        OrderAnswer::Refused { .. } => "refused",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::NoListener => "no_listener",
        OrderAnswer::Lost => "lost",
        OrderAnswer::Closed => "closed",
        OrderAnswer::Reset => "reset",
    }
}
