//! Counters of decisions that a home of leased runs made.

use almondhead_lib::runs::delegation::counts::DelegationCounts;
use almondhead_lib::runs::run_counts::RunCounts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// The metrics that are copied from a dispatcher's counts.
pub(crate) struct DecisionMetrics {
    given_up: IntCounterVec,
    retried: IntCounterVec,
    found_ends: IntCounterVec,
    orphaned: IntCounter,
    upstream_crashes: IntCounter,
    delegations: IntCounterVec,
    refused_by_priority: IntCounter,
    unbounded_leases: IntCounter,
}

impl DecisionMetrics {
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<IntCounterVec, prometheus::Error>(counters)
        };
        let given_up = counters(
            "almondhead_jobs_given_up_total",
            "Jobs given up after something of them may have run, by reason.",
            "reason",
        )?;
        let retried = counters(
            "almondhead_tasks_started_over_total",
            "Tasks that start over after a run of them, by reason.",
            "reason",
        )?;
        let found_ends = counters(
            "almondhead_found_ends_total",
            "Ends of open tasks that another owner of the upstream found.",
            "end",
        )?;
        let orphaned = IntCounter::new(
            "almondhead_runs_adrift_total",
            "Runs that may go on while no owner in reach answers for them.",
        )?;
        registry.register(Box::new(orphaned.clone()))?;
        let upstream_crashes = IntCounter::new(
            "almondhead_upstream_crashes_total",
            "Crashes of upstreams that this instance owns.",
        )?;
        registry.register(Box::new(upstream_crashes.clone()))?;
        let delegations = counters(
            "almondhead_delegated_jobs_total",
            "Jobs delegated to and by other instances, by event.",
            "event",
        )?;
        let refused_by_priority = IntCounter::new(
            "almondhead_jobs_refused_by_priority_total",
            "Jobs refused because of the queued work of their own and earlier priorities.",
        )?;
        registry.register(Box::new(refused_by_priority.clone()))?;
        let unbounded_leases = IntCounter::new(
            "almondhead_unbounded_leases_total",
            "Orders whose lease could outlast the pause after which a run's caller comes back.",
        )?;
        registry.register(Box::new(unbounded_leases.clone()))?;
        Ok(DecisionMetrics {
            given_up,
            retried,
            found_ends,
            orphaned,
            upstream_crashes,
            delegations,
            refused_by_priority,
            unbounded_leases,
        })
    }

    /// Raises the counters to the counts of the dispatcher.
    pub(crate) fn copy(&self, counts: &RunCounts, delegation: &DelegationCounts) {
        let copy = |counter: &IntCounter, count: u64| {
            counter.inc_by(count.saturating_sub(counter.get()));
        };
        for (event, count) in delegation.by_event() {
            copy(&self.delegations.with_label_values(&[event]), count);
        }
        for (reason, count) in counts.given_up() {
            copy(&self.given_up.with_label_values(&[reason]), count);
        }
        for (reason, count) in counts.retried() {
            copy(&self.retried.with_label_values(&[reason]), count);
        }
        for (end, count) in counts.found_ends() {
            copy(&self.found_ends.with_label_values(&[end]), count);
        }
        copy(&self.orphaned, counts.orphaned());
        copy(&self.upstream_crashes, counts.upstream_crashes());
        copy(&self.refused_by_priority, counts.refused_by_priority());
        copy(&self.unbounded_leases, counts.unbounded_leases());
    }
}
