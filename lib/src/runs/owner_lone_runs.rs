//! How an owner runs tasks that may crash their upstreams: alone on an upstream, and on few upstreams
//! at a time.

use super::leased_upstream::LeasedUpstream;
use super::owner::Owner;
use super::run_id::LeasedUpstreamKey;
use crate::time::Timestamp;

/// The part of a service's upstreams, as a divisor, that may have lone runs as long as none of these
/// crashes its upstream.
const LONE_RUNS_DIVISOR: usize = 4;

/// The part of a service's upstreams, as a divisor, that may have lone runs or may have crashed under
/// one and be away, once one has.
const CRASHED_DIVISOR: usize = 8;

impl Owner {
    /// Whether another task of the service may run alone.
    ///
    /// Where such tasks crash their upstreams, each takes one away for seconds; the others are left
    /// to other tasks.
    pub(crate) fn may_start_lone_run(&self, now: Timestamp, service: &str) -> bool {
        let of_service = || {
            let upstreams = self.upstreams.values();
            upstreams
                .filter(|upstream| &*upstream.listed.service == service && !upstream.is_evacuated)
        };
        let with_lone_run = of_service().filter(|upstream| upstream.has_lone_run());
        let is_crashed = |upstream: &&LeasedUpstream| {
            let evidence = &upstream.crash_evidence;
            evidence.away_by_lone_run_until(now).is_some()
        };
        let (lone_runs, crashed) = (
            with_lone_run.count(),
            of_service().filter(is_crashed).count(),
        );
        let divisor = match crashed {
            0 => LONE_RUNS_DIVISOR,
            _ => CRASHED_DIVISOR,
        };
        lone_runs + crashed < (of_service().count() / divisor).max(1)
    }

    /// Reserves an upstream for the first queued task that has to run alone and found no idle one; ends
    /// the reservation where there is no such task.
    pub(crate) fn reserve_upstream(&mut self, now: Timestamp) {
        let reserved = self
            .upstreams
            .iter()
            .find(|(_, upstream)| upstream.is_reserved);
        let reserved = reserved.map(|(upstream_key, _)| upstream_key);
        let wanted = self.upstream_to_reserve(now, reserved);
        if wanted == reserved {
            return;
        }
        if let Some(upstream_key) = reserved {
            self.upstreams[upstream_key].is_reserved = false;
            self.mark_dirty();
        }
        if let Some(upstream_key) = wanted {
            let upstream = &mut self.upstreams[upstream_key];
            upstream.is_reserved = true;
            let runs = upstream.runs.len();
            tracing::info!(upstream = %upstream.listed.id, runs, "upstream reserved for a lone run");
        }
    }

    /// The upstream that is expected to be idle first, of those that the first task in question fits
    /// on; the reserved one where it will do.
    fn upstream_to_reserve(
        &self,
        now: Timestamp,
        reserved: Option<LeasedUpstreamKey>,
    ) -> Option<LeasedUpstreamKey> {
        let mut queued = self.queue.iter();
        let (batch_key, task) = queued.find(|(batch_key, task)| {
            let batch = &self.batches[*batch_key];
            batch.tasks[*task].placed.is_alone && self.may_start_lone_run(now, &batch.service)
        })?;
        let batch = &self.batches[*batch_key];
        let demand = batch.step_demand(*task);
        let label = demand.required_label.as_deref();
        let suitable = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.is_usable()
                && upstream.listed.service == batch.service
                && demand.resources.fits(upstream.listed.capacity)
                && label.is_none_or(|label| upstream.listed.has_label(label))
                && upstream.health.can_start(now, 0)
                && !upstream.has_lone_run()
        });
        let best = suitable.min_by_key(|(upstream_key, upstream)| {
            (Some(*upstream_key) != reserved, upstream.expected_idle_at())
        });
        best.map(|(upstream_key, _)| upstream_key)
    }
}
