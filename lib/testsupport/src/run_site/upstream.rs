//! An upstream that runs tasks under leases.

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

/// What is wrong with an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamFault {
    /// Every task that it starts fails at once.
    FailsAll,
    /// Tasks stand still.
    Hangs,
    /// Tasks take this many times as long.
    Slow(f64),
    /// It is gone, with all that ran there, and answers nothing.
    Dark,
}

/// A run on an upstream.
#[derive(Clone, Debug)]
pub(super) struct SimRun {
    pub(super) demand: Resources,
    pub(super) started_at: Timestamp,
    pub(super) ends_at: Timestamp,
    pub(super) fails: bool,
    pub(super) hangs: bool,
}

/// A hold that waits for an end.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRenew {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) order: OrderId,
    pub(super) until: Timestamp,
    pub(super) is_lost: bool,
}

#[derive(Debug)]
pub(super) struct SimUpstream {
    pub(super) listed: Arc<ListedUpstream>,
    pub(super) speed: f64,
    pub(super) fault: Option<UpstreamFault>,
    pub(super) fence: u64,
    pub(super) lease_until: Timestamp,
    pub(super) runs: IndexMap<RunId, SimRun>,
    pub(super) ended: Vec<EndedRow>,
    pub(super) next_end: u64,
    pub(super) newest_ended: IndexMap<TaskName, u32>,
    pub(super) renews: Vec<WaitingRenew>,
    pub(super) starts: u64,
    /// When this life of it began, and what its clock showed then.
    started_at: Timestamp,
    clock_offset_ms: u64,
}

/// What a start asks.
pub(super) struct StartAsked {
    pub(super) run: RunId,
    pub(super) demand: Resources,
    pub(super) work: Duration,
    pub(super) lease_until_ms: u64,
    pub(super) fence: u64,
}

/// The longest lease that an upstream grants, on its own clock.
const LONGEST_LEASE_MS: u64 = 1_000;

impl SimUpstream {
    pub(super) fn new(listed: Arc<ListedUpstream>, speed: f64) -> Self {
        SimUpstream {
            listed,
            speed,
            fault: None,
            fence: 0,
            lease_until: Timestamp::ZERO,
            runs: IndexMap::new(),
            ended: Vec::new(),
            next_end: 1,
            newest_ended: IndexMap::new(),
            renews: Vec::new(),
            starts: 0,
            started_at: Timestamp::ZERO,
            clock_offset_ms: CLOCK_OFFSET_MS,
        }
    }

    /// Its own clock, which is off from the site's and slower.
    pub(super) fn clock_ms(&self, now: Timestamp) -> u64 {
        let since_start_us = now.since(self.started_at).as_micros();
        let since_start_us = u64::try_from(since_start_us).unwrap_or(u64::MAX);
        since_start_us * CLOCK_SPEED_PERCENT / 100_000 + self.clock_offset_ms
    }

    fn extend_lease(&mut self, now: Timestamp, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms(now) + LONGEST_LEASE_MS);
        let since_start_ms = until_ms.saturating_sub(self.clock_offset_ms);
        let since_start = Duration::from_micros(since_start_ms * 100_000 / CLOCK_SPEED_PERCENT);
        self.lease_until = self.lease_until.max(self.started_at + since_start);
    }

    pub(super) fn check_fence(&mut self, fence: u64) -> Result<(), OrderRefusal> {
        if fence < self.fence {
            return Err(OrderRefusal::Fence);
        }
        self.fence = fence;
        Ok(())
    }

    pub(super) fn start(&mut self, now: Timestamp, asked: &StartAsked) -> Result<(), OrderRefusal> {
        self.check_fence(asked.fence)?;
        if self.runs.contains_key(&asked.run) {
            return Ok(());
        }
        if asked.lease_until_ms <= self.clock_ms(now) {
            return Err(OrderRefusal::LeaseExpired);
        }
        self.extend_lease(now, asked.lease_until_ms);
        let newest = self.newest_ended.get(&asked.run.task);
        if newest.is_some_and(|newest| *newest >= asked.run.run) {
            return Err(OrderRefusal::OldRun);
        }
        if !asked.demand.fits(self.free()) {
            return Err(OrderRefusal::NoCapacity);
        }
        self.starts += 1;
        let factor = match self.fault {
            Some(UpstreamFault::Slow(times)) => times,
            _ => 1.0,
        };
        let fails = self.fault == Some(UpstreamFault::FailsAll);
        let takes = match fails {
            true => Duration::from_millis(5),
            false => asked.work.mul_f64(factor / self.speed),
        };
        let run = SimRun {
            demand: asked.demand,
            started_at: now,
            ends_at: now + takes,
            fails,
            hangs: self.fault == Some(UpstreamFault::Hangs),
        };
        self.runs.insert(asked.run, run);
        Ok(())
    }

    fn free(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used += run.demand;
        }
        self.listed.capacity.minus(used)
    }

    pub(super) fn stop(&mut self, run: RunId, fence: u64) -> Result<(), OrderRefusal> {
        self.check_fence(fence)?;
        let newest = self.newest_ended.entry(run.task).or_default();
        *newest = (*newest).max(run.run);
        if self.runs.contains_key(&run) {
            self.end(run, RunOutcome::Stopped);
        }
        Ok(())
    }

    pub(super) fn end(&mut self, run: RunId, how: RunOutcome) {
        self.runs.swap_remove(&run);
        let newest = self.newest_ended.entry(run.task).or_default();
        *newest = (*newest).max(run.run);
        self.ended.push(EndedRow {
            number: self.next_end,
            run: Some(run),
            how,
        });
        self.next_end += 1;
    }

    /// Takes a hold; the ends up to `acknowledged_end` are forgotten.
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

    /// Ends what has come to its end; true when something did.
    pub(super) fn advance(&mut self, now: Timestamp) -> bool {
        let lapsed = self.lease_until <= now;
        let over = self.runs.iter().filter_map(|(run, sim)| {
            if !sim.hangs && sim.ends_at <= now {
                let how = match sim.fails {
                    true => RunOutcome::Failed,
                    false => RunOutcome::Done,
                };
                return Some((*run, how));
            }
            lapsed.then_some((*run, RunOutcome::LeaseExpired))
        });
        let over: Vec<(RunId, RunOutcome)> = over.collect();
        for (run, how) in &over {
            self.end(*run, *how);
        }
        !over.is_empty()
    }

    /// When something there ends next.
    pub(super) fn next_end_at(&self) -> Option<Timestamp> {
        if self.runs.is_empty() {
            return None;
        }
        let running = self.runs.values().filter(|run| !run.hangs);
        let ends = running.map(|run| run.ends_at);
        ends.chain([self.lease_until]).min()
    }

    /// Starts anew, knowing nothing; its clock begins at zero.
    pub(super) fn forget_all(&mut self, now: Timestamp) {
        self.started_at = now;
        self.clock_offset_ms = 0;
        self.runs.clear();
        self.ended.clear();
        self.newest_ended.clear();
        self.renews.clear();
        self.next_end = 1;
        self.fence = 0;
        self.lease_until = Timestamp::ZERO;
    }
}

/// How far upstreams' clocks are ahead of the site's at first.
const CLOCK_OFFSET_MS: u64 = 480_000;

/// How fast upstreams' clocks run, in hundredths of the site's: the slowest that they promise.
const CLOCK_SPEED_PERCENT: u64 = 98;

impl SimRun {
    fn percent(&self, now: Timestamp) -> u8 {
        if self.hangs {
            return 0;
        }
        let whole = self.ends_at.since(self.started_at).as_secs_f64();
        let done = now.since(self.started_at).as_secs_f64();
        (done / whole.max(f64::MIN_POSITIVE) * 100.0).clamp(0.0, 99.0) as u8
    }
}
