//! A simulated upstream that runs tasks under leases.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::runs::listed_upstream::ListedUpstream;
use almondhead_lib::runs::resources::Resources;
use almondhead_lib::runs::run_id::OrderId;
use almondhead_lib::runs::run_id::RunId;
use almondhead_lib::runs::run_id::TaskName;
use almondhead_lib::runs::run_order::EndedRow;
use almondhead_lib::runs::run_order::OrderRefusal;
use almondhead_lib::runs::run_order::RenewReport;
use almondhead_lib::runs::run_order::RunOutcome;
use almondhead_lib::runs::run_order::RunningRow;
use almondhead_lib::time::Timestamp;
use indexmap::IndexMap;

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamFault {
    /// Every task that it starts fails at once.
    FailsAll,
    /// Tasks that it starts never end by themselves.
    Hangs,
    /// Tasks that it starts take this many times as long.
    Slow(f64),
    /// It has lost all its runs and answers nothing.
    Down,
    /// Its process has ended: it has lost all its runs, and its address refuses connections.
    Crashed,
}

impl UpstreamFault {
    /// Whether no process runs its tasks and takes its orders.
    pub(super) fn is_down(self) -> bool {
        matches!(self, UpstreamFault::Down | UpstreamFault::Crashed)
    }
}

/// A run on an upstream.
#[derive(Clone, Debug)]
pub(super) struct SimRun {
    pub(super) resources: Resources,
    pub(super) started_at: Timestamp,
    pub(super) ends_at: Timestamp,
    /// When its pace last changed, and the share of its work that was done then.
    paced_at: Timestamp,
    paced_share: f64,
    pub(super) fails: bool,
    pub(super) hangs: bool,
}

/// A run that was stopped in progress.
#[derive(Clone, Copy, Debug)]
pub struct StoppedRun {
    /// The run.
    pub run: RunId,
    /// When it had started, in the site's time.
    pub started_ms: u64,
    /// When it was stopped.
    pub stopped_ms: u64,
}

/// A renew order whose answer waits until a run ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRenew {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) order: OrderId,
    /// When it is answered even though no run has ended.
    pub(super) until: Timestamp,
    /// Whether its answer is lost.
    pub(super) is_answer_lost: bool,
}

/// A simulated upstream with its runs.
#[derive(Debug)]
pub(super) struct SimUpstream {
    pub(super) listed: Arc<ListedUpstream>,
    /// The divisor of the tasks' run times.
    pub(super) speed: f64,
    pub(super) fault: Option<UpstreamFault>,
    /// Whether it refuses what exceeds its capacity.
    pub(super) guards_capacity: bool,
    /// When its capacity last changed.
    pub(super) capacity_changed_at: Timestamp,
    /// The highest fencing token seen; orders with a lower one are refused.
    pub(super) fence: u64,
    /// The end of the lease of all runs, in the site's time.
    pub(super) lease_until: Timestamp,
    pub(super) runs: IndexMap<RunId, SimRun>,
    /// The ends that the owner has not yet acknowledged.
    pub(super) ended: Vec<EndedRow>,
    pub(super) next_end_number: u64,
    /// The highest run number of each task that has ended or was ordered to stop; runs up to it
    /// are not started any more.
    pub(super) newest_ended: IndexMap<TaskName, u32>,
    pub(super) renews: Vec<WaitingRenew>,
    /// The number of runs started so far.
    pub(super) starts: u64,
    /// The runs that were stopped in progress.
    pub(super) stopped: Vec<StoppedRun>,
    /// The version of the store at which its entry last changed.
    pub(super) listing_version: u64,
    /// The number of restarts so far.
    pub(super) incarnation: u64,
    /// When the current incarnation started, in the site's time.
    started_at: Timestamp,
    /// What the upstream's own clock showed at `started_at`.
    clock_offset_ms: u64,
}

/// The parameters of a start order, with the task's run time.
pub(super) struct StartRequest {
    pub(super) run: RunId,
    pub(super) resources: Resources,
    /// The run time at speed 1.
    pub(super) work: Duration,
    /// The end of the lease on the upstream's clock.
    pub(super) lease_until_ms: u64,
    pub(super) fence: u64,
}

/// The longest lease that an upstream grants, measured on its own clock.
const MAX_LEASE_MS: u64 = 1_000;

impl SimUpstream {
    pub(super) fn new(listed: Arc<ListedUpstream>, speed: f64) -> Self {
        SimUpstream {
            listed,
            speed,
            fault: None,
            guards_capacity: true,
            capacity_changed_at: Timestamp::ZERO,
            fence: 0,
            lease_until: Timestamp::ZERO,
            runs: IndexMap::new(),
            ended: Vec::new(),
            next_end_number: 1,
            newest_ended: IndexMap::new(),
            renews: Vec::new(),
            starts: 0,
            stopped: Vec::new(),
            listing_version: 1,
            incarnation: 0,
            started_at: Timestamp::ZERO,
            clock_offset_ms: CLOCK_OFFSET_MS,
        }
    }

    /// Returns the time on the upstream's own clock, which has an offset to the site's and runs
    /// slower.
    pub(super) fn clock_ms(&self, now: Timestamp) -> u64 {
        let since_start_us = now.since(self.started_at).as_micros();
        let since_start_us = u64::try_from(since_start_us).unwrap_or(u64::MAX);
        since_start_us * CLOCK_SPEED_PERCENT / 100_000 + self.clock_offset_ms
    }

    /// Extends the lease to `until_ms` on the upstream's clock, but to no more than
    /// [`MAX_LEASE_MS`] from now; never shortens it.
    fn extend_lease(&mut self, now: Timestamp, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms(now) + MAX_LEASE_MS);
        let since_start_ms = until_ms.saturating_sub(self.clock_offset_ms);
        let since_start = Duration::from_micros(since_start_ms * 100_000 / CLOCK_SPEED_PERCENT);
        self.lease_until = self.lease_until.max(self.started_at + since_start);
    }

    /// Records the fencing token, or refuses one that is lower than a token seen before.
    pub(super) fn check_fence(&mut self, fence: u64) -> Result<(), OrderRefusal> {
        if fence < self.fence {
            return Err(OrderRefusal::Fence);
        }
        self.fence = fence;
        Ok(())
    }

    /// Starts a run; a repeated start of a run that is in progress changes nothing.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        request: &StartRequest,
    ) -> Result<(), OrderRefusal> {
        self.check_fence(request.fence)?;
        if self.runs.contains_key(&request.run) {
            return Ok(());
        }
        if request.lease_until_ms <= self.clock_ms(now) {
            return Err(OrderRefusal::LeaseExpired);
        }
        self.extend_lease(now, request.lease_until_ms);
        let newest = self.newest_ended.get(&request.run.task);
        if newest.is_some_and(|newest| *newest >= request.run.run_number) {
            return Err(OrderRefusal::OldRun);
        }
        if self.guards_capacity && !request.resources.fits(self.free()) {
            return Err(OrderRefusal::NoCapacity);
        }
        self.starts += 1;
        let factor = match self.fault {
            Some(UpstreamFault::Slow(times)) => times,
            _ => 1.0,
        };
        let fails = self.fault == Some(UpstreamFault::FailsAll);
        let run_time = match fails {
            true => Duration::from_millis(5),
            false => request.work.mul_f64(factor / self.speed),
        };
        let run = SimRun {
            resources: request.resources,
            started_at: now,
            ends_at: now + run_time,
            paced_at: now,
            paced_share: 0.0,
            fails,
            hangs: self.fault == Some(UpstreamFault::Hangs),
        };
        self.runs.insert(request.run, run);
        Ok(())
    }

    /// Whether its runs exceed its capacity.
    pub(super) fn is_over_capacity(&self) -> bool {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used += run.resources;
        }
        !used.fits(self.listed.capacity)
    }

    fn free(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used += run.resources;
        }
        self.listed.capacity.minus(used)
    }

    /// Stops a run, and refuses later starts of it and of the task's earlier runs.
    pub(super) fn stop(
        &mut self,
        now: Timestamp,
        run: RunId,
        fence: u64,
    ) -> Result<(), OrderRefusal> {
        self.check_fence(fence)?;
        let newest = self.newest_ended.entry(run.task).or_default();
        *newest = (*newest).max(run.run_number);
        if let Some(stopped) = self.runs.get(&run) {
            self.stopped.push(StoppedRun {
                run,
                started_ms: stopped.started_at.as_us() / 1_000,
                stopped_ms: now.as_us() / 1_000,
            });
            self.end(run, RunOutcome::Stopped);
        }
        Ok(())
    }

    /// Makes all its runs take this many times as long: the rest of those in progress, and later ones.
    pub(super) fn slow_down(&mut self, now: Timestamp, times: f64) {
        self.fault = Some(UpstreamFault::Slow(times));
        for run in self.runs.values_mut() {
            run.slow_down(now, times);
        }
    }

    /// Ends a run and keeps its outcome until the owner acknowledges it.
    pub(super) fn end(&mut self, run: RunId, how: RunOutcome) {
        self.runs.swap_remove(&run);
        let newest = self.newest_ended.entry(run.task).or_default();
        *newest = (*newest).max(run.run_number);
        self.ended.push(EndedRow {
            number: self.next_end_number,
            run: Some(run),
            how,
        });
        self.next_end_number += 1;
    }

    /// Handles a renew order: extends the lease where the order asks for it, and forgets the ends
    /// up to number `acknowledged_end`.
    pub(super) fn renew(
        &mut self,
        now: Timestamp,
        lease_until_ms: Option<u64>,
        fence: u64,
        acknowledged_end: u64,
    ) -> Result<(), OrderRefusal> {
        self.check_fence(fence)?;
        if let Some(until_ms) = lease_until_ms {
            self.extend_lease(now, until_ms);
        }
        self.ended.retain(|row| row.number > acknowledged_end);
        Ok(())
    }

    /// Returns the answer to a renew order: the runs in progress and the ends not yet acknowledged.
    pub(super) fn report(&self, now: Timestamp) -> RenewReport {
        let running = self.runs.iter().map(|(run, sim)| RunningRow {
            run: *run,
            percent: sim.percent(now),
        });
        RenewReport {
            clock_ms: self.clock_ms(now),
            born_unix_ms: self.listed.born_unix_ms,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    /// Ends the runs that are finished or whose lease has expired; true when at least one ended.
    pub(super) fn advance(&mut self, now: Timestamp) -> bool {
        let is_lease_expired = self.lease_until <= now;
        let ended = self.runs.iter().filter_map(|(run, sim)| {
            if !sim.hangs && sim.ends_at <= now {
                let how = match sim.fails {
                    true => RunOutcome::Failed,
                    false => RunOutcome::Done,
                };
                return Some((*run, how));
            }
            is_lease_expired.then_some((*run, RunOutcome::LeaseExpired))
        });
        let ended: Vec<(RunId, RunOutcome)> = ended.collect();
        for (run, how) in &ended {
            self.end(*run, *how);
        }
        !ended.is_empty()
    }

    /// Returns when the next run finishes or the lease expires; none without runs.
    pub(super) fn next_end_at(&self) -> Option<Timestamp> {
        if self.runs.is_empty() {
            return None;
        }
        let running = self.runs.values().filter(|run| !run.hangs);
        let ends = running.map(|run| run.ends_at);
        ends.chain([self.lease_until]).min()
    }

    /// Starts a new incarnation without any state, whose clock begins at zero.
    pub(super) fn reset(&mut self, now: Timestamp) {
        self.incarnation += 1;
        self.started_at = now;
        self.clock_offset_ms = 0;
        self.runs.clear();
        self.ended.clear();
        self.newest_ended.clear();
        self.renews.clear();
        self.next_end_number = 1;
        self.fence = 0;
        self.lease_until = Timestamp::ZERO;
    }
}

/// How far the upstreams' clocks are ahead of the site's at the start.
const CLOCK_OFFSET_MS: u64 = 480_000;

/// The speed of the upstreams' clocks in percent of the site's: the slowest that upstreams
/// guarantee.
const CLOCK_SPEED_PERCENT: u64 = 98;

impl SimRun {
    /// Returns the progress in percent, at most 99 while the run is in progress.
    fn percent(&self, now: Timestamp) -> u8 {
        if self.hangs {
            return 0;
        }
        (self.share(now) * 100.0).clamp(0.0, 99.0) as u8
    }

    /// Returns the share of its work that is done.
    fn share(&self, now: Timestamp) -> f64 {
        let whole = self.ends_at.since(self.paced_at).as_secs_f64();
        let done = now.since(self.paced_at).as_secs_f64();
        self.paced_share + (1.0 - self.paced_share) * done / whole.max(f64::MIN_POSITIVE)
    }

    /// Makes the rest of it take this many times as long.
    fn slow_down(&mut self, now: Timestamp, times: f64) {
        self.paced_share = self.share(now);
        self.paced_at = now;
        self.ends_at = now + self.ends_at.since(now).mul_f64(times);
    }
}
