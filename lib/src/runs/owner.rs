//! The owner's side of runs: queues the tasks that homes place, starts them on the upstreams that
//! this instance owns, and reports how they end.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use slotmap::SlotMap;

use super::crash_report::CrashReport;
use super::held_batch::DoneRun;
use super::held_batch::HeldBatch;
use super::held_batch::HeldState;
use super::held_batch::TaskIndex;
use super::held_queue::LeastSlack;
use super::held_queue::QueueRanking;
use super::held_queue::QueuedTask;
use super::learned_speed::ln_seconds;
use super::leased_run::LeasedRun;
use super::leased_run::RunPhase;
use super::leased_run::StopReason;
use super::leased_upstream::Contact;
use super::leased_upstream::LeasedUpstream;
use super::listed_upstream::ListedUpstream;
use super::resources::Resources;
use super::run_action::RunAction;
use super::run_digest::FreeUpstream;
use super::run_digest::LoadSummary;
use super::run_digest::RunLoad;
use super::run_digest::name_hash;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_message::EndedRun;
use super::run_message::FoundEnd;
use super::run_message::NotStarted;
use super::run_message::RunBatch;
use super::run_message::RunEnd;
use super::run_order::AddressedOrder;
use super::run_order::RunOrder;
use super::run_order::RunOutcome;
use super::upstream_choice::CandidateUpstream;
use super::upstream_choice::SlowestInTime;
use super::upstream_choice::UpstreamChoice;
use super::whole_ms::whole_ms;
use crate::ejection_gate::EjectionGate;
use crate::id::Incarnation;
use crate::time::Timestamp;
use crate::timer::TimerService;

/// The maximum number of queued tasks that are skipped in one pass because no upstream can take
/// them; the tasks behind them wait for the next pass.
const MAX_BYPASSES: usize = 24;

/// When the end of a run is checked for, in percent of its expected run time: few runs last longer.
const END_CHECK_PERCENT: u32 = 150;

/// Added to the time of that check, so that short runs are not checked too early.
const END_CHECK_MARGIN: Duration = Duration::from_millis(40);

/// The timers of an owner.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OwnerTimer {
    /// Send the next renew order to the upstream.
    Renew(LeasedUpstreamKey),
    /// Report the runs there as lost if the upstream is still unreachable and its leases have expired.
    LeaseExpiry(LeasedUpstreamKey),
    /// Stop the announced runs there that no home has claimed.
    ClaimTimeout(LeasedUpstreamKey),
    /// Order the run to stop again: the last stop was not carried out.
    StopRetry(LeasedUpstreamKey, RunId),
    /// Poll the upstream for the progress of a run that has just begun.
    Probe(LeasedUpstreamKey),
    /// A run that started at this time should have ended: poll the upstream if it has sent no report
    /// since.
    EndExpected(LeasedUpstreamKey, Timestamp),
    /// Make another pass through the queue: an upstream may take tasks again, or a queued task has
    /// waited too long.
    Dispatch,
}

/// What an owner reports to homes.
#[derive(Debug)]
pub(crate) enum OwnerNotice {
    /// Tasks of a batch ended, for the home that placed them.
    Ends {
        home: Incarnation,
        batch: u64,
        ends: Vec<EndedRun>,
    },
    /// Runs that this instance did not start were found on an upstream, for all homes.
    Found {
        upstream: Arc<str>,
        fence: u64,
        running: Vec<RunId>,
        ended: Vec<FoundEnd>,
    },
    /// An upstream crashed, for all instances.
    Crash(CrashReport),
}

/// An order that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) upstream: LeasedUpstreamKey,
    pub(crate) sent_at: Timestamp,
    pub(crate) kind: PendingKind,
}

/// A start in flight to an upstream that has a newer owner by now.
#[derive(Debug)]
pub(crate) struct SupersededStart {
    pub(crate) task: (HeldBatchKey, TaskIndex),
    pub(crate) upstream: Arc<str>,
}

/// What an unanswered order asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PendingKind {
    Start(RunId),
    Stop(RunId),
    Renew,
    /// A renew order that extends no lease and is answered at once, sent beside the waiting one.
    Probe,
}

/// The upstreams that this instance owns and the batches that it holds for homes.
#[derive(Debug)]
pub(crate) struct Owner {
    /// How long each lease lasts.
    pub(crate) lease: Duration,
    pub(crate) upstreams: SlotMap<LeasedUpstreamKey, LeasedUpstream>,
    pub(crate) by_id: IndexMap<Arc<str>, LeasedUpstreamKey>,
    pub(crate) batches: SlotMap<HeldBatchKey, HeldBatch>,
    /// The held batches by home and number.
    by_number: IndexMap<(Incarnation, u64), HeldBatchKey>,
    /// The highest number of an accepted batch, by home.
    highest_taken: IndexMap<Incarnation, u64>,
    /// The tasks that wait for free capacity.
    pub(crate) queue: Vec<(HeldBatchKey, TaskIndex)>,
    /// Batches with runs that may go on under a newer owner, and when these must have ended.
    pub(crate) possibly_running: IndexMap<(Incarnation, u64), Timestamp>,
    /// The orders that are not answered yet.
    pub(crate) orders: IndexMap<OrderId, PendingOrder>,
    /// Starts in flight to upstreams that have a newer owner.
    pub(crate) superseded_starts: IndexMap<OrderId, SupersededStart>,
    next_order_id: u64,
    /// Upstreams relinquished to a newer owner, with the roster version of the lost ownership; only a
    /// newer roster makes this instance their owner again.
    pub(crate) relinquished: IndexMap<Arc<str>, u64>,
    ranking: Box<dyn QueueRanking>,
    choice: Box<dyn UpstreamChoice>,
    pub(crate) timers: TimerService<OwnerTimer>,
    pub(crate) actions: Vec<RunAction>,
    pub(crate) notices: Vec<OwnerNotice>,
    pub(crate) is_leaving: bool,
    /// Whether the queue needs another pass: something changed that may let a task start.
    is_dirty: bool,
}

impl Owner {
    pub(crate) fn new(lease: Duration) -> Self {
        Owner {
            lease,
            upstreams: SlotMap::with_key(),
            by_id: IndexMap::new(),
            batches: SlotMap::with_key(),
            by_number: IndexMap::new(),
            highest_taken: IndexMap::new(),
            queue: Vec::new(),
            possibly_running: IndexMap::new(),
            orders: IndexMap::new(),
            superseded_starts: IndexMap::new(),
            next_order_id: 1,
            relinquished: IndexMap::new(),
            ranking: Box::new(LeastSlack),
            choice: Box::new(SlowestInTime),
            timers: TimerService::default(),
            actions: Vec::new(),
            notices: Vec::new(),
            is_leaving: false,
            is_dirty: false,
        }
    }

    /// Takes over the assigned upstreams that are not owned yet, and releases the others.
    ///
    /// `version` is the version of the roster that the assignment is derived from. Fences are derived
    /// from it, so that upstreams refuse the orders of former owners.
    pub(crate) fn reassign(
        &mut self,
        now: Timestamp,
        assigned: &[Arc<ListedUpstream>],
        version: u64,
    ) {
        for listed in assigned {
            match self.by_id.get(&listed.id) {
                Some(upstream_key) => self.update_listed(now, *upstream_key, listed),
                None => self.take_over(now, listed, version),
            }
        }
        let is_assigned = |id: &str| assigned.iter().any(|listed| &*listed.id == id);
        let others = self.by_id.iter().filter(|(id, _)| !is_assigned(id));
        let others: Vec<LeasedUpstreamKey> =
            others.map(|(_, upstream_key)| *upstream_key).collect();
        for upstream_key in others {
            self.release(upstream_key);
        }
        self.is_dirty = true;
    }

    fn take_over(&mut self, now: Timestamp, listed: &Arc<ListedUpstream>, version: u64) {
        if self
            .relinquished
            .get(&listed.id)
            .is_some_and(|relinquished| *relinquished >= version)
        {
            return;
        }
        self.relinquished.swap_remove(&listed.id);
        tracing::info!(upstream = %listed.id, roster_version = version, "upstream taken over");
        let upstream = LeasedUpstream::new(listed.clone(), version);
        let upstream_key = self.upstreams.insert(upstream);
        self.by_id.insert(listed.id.clone(), upstream_key);
        self.renew(now, upstream_key);
    }

    fn update_listed(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        listed: &Arc<ListedUpstream>,
    ) {
        let upstream = &mut self.upstreams[upstream_key];
        upstream.is_released = false;
        if upstream.listed == *listed {
            return;
        }
        if upstream.listed.draining != listed.draining {
            tracing::info!(upstream = %listed.id, draining = listed.draining, "upstream draining changed");
        }
        upstream.listed = listed.clone();
        if upstream.born_unix_ms.is_some() && listed.born_unix_ms > upstream.born_unix_ms {
            self.begin_incarnation(now, upstream_key, listed.born_unix_ms);
            self.renew(now, upstream_key);
        }
    }

    fn release(&mut self, upstream_key: LeasedUpstreamKey) {
        let upstream = &mut self.upstreams[upstream_key];
        if !upstream.is_released {
            upstream.is_released = true;
            let runs = upstream.runs.len();
            tracing::info!(upstream = %upstream.listed.id, runs, "upstream released");
        }
        self.drop_if_released(upstream_key);
    }

    /// Removes a released upstream once none of this owner's runs is left there.
    pub(crate) fn drop_if_released(&mut self, upstream_key: LeasedUpstreamKey) {
        let upstream = &self.upstreams[upstream_key];
        if upstream.is_released && upstream.runs.is_empty() {
            self.remove(upstream_key);
        }
    }

    pub(crate) fn remove(&mut self, upstream_key: LeasedUpstreamKey) -> Option<LeasedUpstream> {
        let upstream = self.upstreams.remove(upstream_key)?;
        self.by_id.swap_remove(&upstream.listed.id);
        self.is_dirty = true;
        Some(upstream)
    }

    /// Releases an upstream that is no longer listed: nothing new starts there, and its runs are
    /// followed to their ends.
    pub(crate) fn release_unlisted(&mut self, id: &str) {
        if let Some(upstream_key) = self.by_id.get(id).copied() {
            self.release(upstream_key);
        }
    }

    /// Queues the tasks of a home's batch; reports those that no upstream here can run as not started.
    pub(crate) fn place(&mut self, now: Timestamp, home: Incarnation, batch: RunBatch) {
        let Some(batch_key) = self.admit(now, home, batch) else {
            return;
        };
        if self.is_leaving {
            return self.refuse_all(batch_key, NotStarted::Leaving);
        }
        for task in 0..self.batches[batch_key].tasks.len() {
            if self.can_ever_run(batch_key, task) {
                self.queue.push((batch_key, task));
            } else {
                self.report(batch_key, task, RunEnd::NotStarted(NotStarted::NoUpstream));
            }
        }
        self.is_dirty = true;
    }

    /// Stores a batch; none when it is a duplicate, arrives after a later one of the same home, or has
    /// a task without a demand.
    fn admit(
        &mut self,
        now: Timestamp,
        home: Incarnation,
        batch: RunBatch,
    ) -> Option<HeldBatchKey> {
        let number = batch.number;
        let highest = self.highest_taken.entry(home).or_default();
        if number <= *highest {
            tracing::warn!(job = %batch.job, batch = number, "duplicate or reordered batch ignored");
            return None;
        }
        *highest = number;
        let held = HeldBatch::new(home, batch, now)?;
        let batch_key = self.batches.insert(held);
        self.by_number.insert((home, number), batch_key);
        Some(batch_key)
    }

    /// Refuses a batch whose message was in flight for too long.
    pub(crate) fn refuse_stale(&mut self, now: Timestamp, home: Incarnation, batch: RunBatch) {
        tracing::warn!(job = %batch.job, batch = batch.number, "batch refused: too long in flight");
        if let Some(batch_key) = self.admit(now, home, batch) {
            self.refuse_all(batch_key, NotStarted::Stale);
        }
    }

    fn refuse_all(&mut self, batch_key: HeldBatchKey, reason: NotStarted) {
        for task in 0..self.batches[batch_key].tasks.len() {
            self.report(batch_key, task, RunEnd::NotStarted(reason));
        }
    }

    /// Adopts a home's runs on an upstream that this instance has taken over: follows those that are
    /// listed there, and reports what became of the others.
    pub(crate) fn adopt(
        &mut self,
        now: Timestamp,
        home: Incarnation,
        upstream: &str,
        batch: RunBatch,
    ) {
        let Some(batch_key) = self.admit(now, home, batch) else {
            return;
        };
        for task in 0..self.batches[batch_key].tasks.len() {
            if !self.adopt_task(now, batch_key, task, upstream) {
                let end = self.end_of_missing(self.batches[batch_key].run(task), upstream);
                self.report(batch_key, task, end);
            }
        }
    }

    /// How a run ended that cannot be adopted because its upstream does not list it as running.
    fn end_of_missing(&self, run: RunId, id: &str) -> RunEnd {
        let upstream = self
            .by_id
            .get(id)
            .map(|upstream_key| &self.upstreams[*upstream_key]);
        let Some(upstream) = upstream.filter(|upstream| upstream.contact == Contact::Reachable)
        else {
            let upstream = Arc::from(id);
            return RunEnd::TakenOver { upstream };
        };
        let upstream_id = upstream.listed.id.clone();
        match upstream.unclaimed_ends.get(&run) {
            Some(RunOutcome::Done) => RunEnd::Done {
                work: Duration::ZERO,
            },
            Some(RunOutcome::Failed) => RunEnd::Failed {
                upstream: upstream_id,
            },
            _ => RunEnd::Lost {
                upstream: upstream_id,
            },
        }
    }

    fn adopt_task(
        &mut self,
        now: Timestamp,
        batch_key: HeldBatchKey,
        task: TaskIndex,
        id: &str,
    ) -> bool {
        let batch = &mut self.batches[batch_key];
        let run = batch.run(task);
        let (demand, expected_run_time) = (
            batch.step_demand(task).resources,
            batch.expected_run_time(task),
        );
        let Some(upstream_key) = self.by_id.get(id).copied() else {
            return false;
        };
        let upstream = &mut self.upstreams[upstream_key];
        if upstream.unclaimed_runs.swap_remove(&run).is_none() {
            return false;
        }
        batch.tasks[task].state = HeldState::Running(upstream_key);
        let queue = batch.queue.clone();
        let is_alone = batch.tasks[task].placed.is_alone;
        let mut leased =
            LeasedRun::starting((batch_key, task), queue, demand, expected_run_time, now);
        leased.is_alone = is_alone;
        leased.phase = RunPhase::Active {
            since_order: OrderId(self.next_order_id),
        };
        upstream.runs.insert(run, leased);
        tracing::info!(job = %run.task.job, run = %run, upstream = id, "run adopted");
        self.extend_claimed_lease(now, upstream_key);
        true
    }

    /// Whether some upstream here could run the task if nothing else ran there.
    fn can_ever_run(&self, batch_key: HeldBatchKey, task: TaskIndex) -> bool {
        let batch = &self.batches[batch_key];
        let step_demand = batch.step_demand(task);
        self.upstreams.values().any(|upstream| {
            let label = step_demand.required_label.as_deref();
            upstream.is_usable()
                && upstream.listed.service == batch.service
                && step_demand.resources.fits(upstream.listed.capacity)
                && label.is_none_or(|label| upstream.listed.has_label(label))
        })
    }

    /// Drops batches that their home has cancelled, and stops their runs.
    pub(crate) fn cancel(&mut self, now: Timestamp, home: Incarnation, numbers: &[u64]) {
        for number in numbers {
            if let Some(batch_key) = self.by_number.get(&(home, *number)).copied() {
                self.drop_batch(now, batch_key);
            }
        }
    }

    /// Drops the batches of a home up to `highest_sent` that the home does not list as open.
    pub(crate) fn drop_closed_batches(
        &mut self,
        now: Timestamp,
        home: Incarnation,
        open: &[u64],
        highest_sent: u64,
    ) {
        let of_home = self.by_number.iter().filter(|((of, _), _)| *of == home);
        let closed = of_home
            .filter(|((_, number), _)| *number <= highest_sent && !open.contains(number))
            .map(|(_, batch_key)| *batch_key);
        for batch_key in closed.collect::<Vec<_>>() {
            let batch = &self.batches[batch_key];
            tracing::warn!(job = %batch.job, batch = batch.number, "batch dropped: its home has closed it");
            self.drop_batch(now, batch_key);
        }
    }

    /// Drops all batches of a home that has ended or is unreachable.
    pub(crate) fn drop_home(&mut self, now: Timestamp, home: Incarnation) {
        let of_home = self.by_number.iter().filter(|((of, _), _)| *of == home);
        let keys: Vec<HeldBatchKey> = of_home.map(|(_, batch_key)| *batch_key).collect();
        for batch_key in keys {
            let batch = &self.batches[batch_key];
            tracing::warn!(job = %batch.job, %home, "batch dropped: its home is unreachable");
            self.drop_batch(now, batch_key);
        }
    }

    fn drop_batch(&mut self, now: Timestamp, batch_key: HeldBatchKey) {
        let Some(batch) = self.remove_batch(batch_key) else {
            return;
        };
        for task in 0..batch.tasks.len() {
            let HeldState::Running(upstream_key) = batch.tasks[task].state else {
                continue;
            };
            let run = batch.run(task);
            let upstream = self.upstreams.get_mut(upstream_key);
            if let Some(leased) = upstream.and_then(|upstream| upstream.runs.get_mut(&run)) {
                leased.dropped_batch = Some((batch.home, batch.number));
            }
            self.stop(now, upstream_key, run, StopReason::Cancelled);
        }
        self.queue.retain(|(queued, _)| *queued != batch_key);
        self.is_dirty = true;
    }

    fn remove_batch(&mut self, batch_key: HeldBatchKey) -> Option<HeldBatch> {
        let batch = self.batches.remove(batch_key)?;
        self.by_number.swap_remove(&(batch.home, batch.number));
        Some(batch)
    }

    /// The numbers of the batches that are held, by home.
    ///
    /// A dropped batch counts as held until the last of its runs must have ended.
    pub(crate) fn held_batches(&self, now: Timestamp) -> IndexMap<Incarnation, Vec<u64>> {
        let runs = self
            .upstreams
            .values()
            .flat_map(|upstream| upstream.runs.values());
        let stopping = runs.filter_map(|run| run.dropped_batch);
        let possibly_running = self
            .possibly_running
            .iter()
            .filter(|(_, until)| **until > now);
        let all = self.by_number.keys().copied().chain(stopping);
        let all = all.chain(possibly_running.map(|(batch, _)| *batch));
        let mut held: IndexMap<Incarnation, Vec<u64>> = IndexMap::new();
        for (home, number) in all {
            held.entry(home).or_default().push(number);
        }
        for numbers in held.values_mut() {
            numbers.sort_unstable();
            numbers.dedup();
        }
        held
    }

    /// The highest number of a batch accepted from a home; 0 if there is none.
    pub(crate) fn highest_taken_of(&self, home: Incarnation) -> u64 {
        self.highest_taken.get(&home).copied().unwrap_or(0)
    }

    /// The homes of all held batches.
    pub(crate) fn homes(&self) -> Vec<Incarnation> {
        let mut homes: Vec<Incarnation> = self.by_number.keys().map(|(home, _)| *home).collect();
        homes.sort_unstable();
        homes.dedup();
        homes
    }

    /// Refuses new batches from now on, and reports the queued tasks as not started.
    pub(crate) fn leave(&mut self) {
        self.is_leaving = true;
        for (batch_key, task) in std::mem::take(&mut self.queue) {
            self.report(batch_key, task, RunEnd::NotStarted(NotStarted::Leaving));
        }
    }

    /// Records how a task ended. Notifies its home at once of the batch's last end and of any end but
    /// done; other ends go with the next notice.
    pub(crate) fn report(&mut self, batch_key: HeldBatchKey, task: TaskIndex, end: RunEnd) {
        let Some(batch) = self.batches.get_mut(batch_key) else {
            return;
        };
        if batch.tasks[task].state == HeldState::Ended {
            return;
        }
        batch.tasks[task].state = HeldState::Ended;
        batch.open_tasks -= 1;
        let is_urgent = batch.open_tasks == 0 || !matches!(end, RunEnd::Done { .. });
        let run = batch.run(task);
        batch.unreported.push(EndedRun { run, end });
        if is_urgent {
            self.notices.push(OwnerNotice::Ends {
                home: batch.home,
                batch: batch.number,
                ends: std::mem::take(&mut batch.unreported),
            });
        }
        if batch.open_tasks == 0 {
            self.remove_batch(batch_key);
        }
    }

    /// Puts a task that did not start back into the queue; it prefers upstreams other than `avoid`.
    pub(crate) fn requeue(
        &mut self,
        task: Option<(HeldBatchKey, TaskIndex)>,
        avoid: Option<Arc<str>>,
    ) {
        self.is_dirty = true;
        let Some((batch_key, task)) = task else {
            return;
        };
        let Some(batch) = self.batches.get_mut(batch_key) else {
            return;
        };
        batch.tasks[task].state = HeldState::Queued;
        batch.tasks[task].placed.avoid.extend(avoid);
        if self.is_leaving {
            return self.report(batch_key, task, RunEnd::NotStarted(NotStarted::Leaving));
        }
        self.queue.push((batch_key, task));
    }

    /// The id of the next order. Reports that answer this order or a later one include everything that
    /// upstreams have confirmed so far.
    pub(crate) fn next_order_id(&self) -> OrderId {
        OrderId(self.next_order_id)
    }

    /// Makes the next [`Self::start_queued`] pass through the queue.
    pub(crate) fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Starts the queued tasks that fit somewhere, in the order of the ranking, and drops those that
    /// have waited too long.
    pub(crate) fn start_queued(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.is_dirty) || self.queue.is_empty() {
            return;
        }
        self.drop_too_late(now);
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_cached_key(|(batch_key, task)| {
            let batch = &self.batches[*batch_key];
            self.ranking.rank(now, &queued_task(batch, *task))
        });
        let mut bypasses = 0;
        let mut left = Vec::new();
        for (batch_key, task) in queue {
            let upstream = match bypasses < MAX_BYPASSES {
                true => self.choose_upstream(now, batch_key, task),
                false => None,
            };
            match upstream {
                Some(upstream_key) => self.start(now, upstream_key, batch_key, task),
                None => {
                    bypasses += 1;
                    left.push((batch_key, task));
                }
            }
        }
        self.queue = left;
        self.drop_overdue(now);
        self.reserve_upstream(now);
        self.wake_for_next_drop();
    }

    /// Drops queued tasks that could no longer end before their callers leave.
    fn drop_too_late(&mut self, now: Timestamp) {
        let latest_start = |batch: &HeldBatch, task| batch.latest_start(task);
        self.drop_queued(now, latest_start, NotStarted::TooLate);
    }

    /// Drops queued tasks that have found no free capacity before their job's objective passed, where
    /// the job has not begun.
    fn drop_overdue(&mut self, now: Timestamp) {
        let waits_until = |batch: &HeldBatch, task| batch.waits_until(task);
        self.drop_queued(now, waits_until, NotStarted::Overdue);
    }

    /// Drops queued tasks whose time limit has passed, as not started for this reason.
    fn drop_queued(
        &mut self,
        now: Timestamp,
        until: impl Fn(&HeldBatch, TaskIndex) -> Timestamp,
        reason: NotStarted,
    ) {
        let batches = &self.batches;
        let is_expired = |(batch_key, task): &mut (HeldBatchKey, TaskIndex)| {
            let batch = batches.get(*batch_key);
            batch.is_none_or(|batch| until(batch, *task) < now)
        };
        let expired: Vec<(HeldBatchKey, TaskIndex)> =
            self.queue.extract_if(.., is_expired).collect();
        for (batch_key, task) in expired {
            self.report(batch_key, task, RunEnd::NotStarted(reason));
        }
    }

    fn wake_for_next_drop(&mut self) {
        let batches = &self.batches;
        let limits = self
            .queue
            .iter()
            .map(|(batch_key, task)| batches[*batch_key].waits_until(*task));
        if let Some(at) = limits.min() {
            let after = at + Duration::from_millis(1);
            self.timers.subscribe(after, OwnerTimer::Dispatch);
        }
    }

    fn choose_upstream(
        &self,
        now: Timestamp,
        batch_key: HeldBatchKey,
        task: TaskIndex,
    ) -> Option<LeasedUpstreamKey> {
        let batch = &self.batches[batch_key];
        let step_demand = batch.step_demand(task);
        let avoid = &batch.tasks[task].placed.avoid;
        let is_alone = batch.tasks[task].placed.is_alone;
        if is_alone && !self.may_start_lone_run(&batch.service) {
            return None;
        }
        let mut candidate_keys = Vec::new();
        let mut candidates = Vec::new();
        for (upstream_key, upstream) in &self.upstreams {
            let free = upstream.free();
            let label = step_demand.required_label.as_deref();
            let is_candidate = upstream.listed.service == batch.service
                && step_demand.resources.fits(free)
                && label.is_none_or(|label| upstream.listed.has_label(label))
                && match is_alone {
                    true => upstream.can_take_lone_run(now),
                    false => upstream.can_take_work(now),
                }
                && self.is_within_limit(upstream_key, batch_key, task);
            if !is_candidate {
                continue;
            }
            let rack = step_demand.data_rack.as_deref();
            candidate_keys.push(upstream_key);
            candidates.push(CandidateUpstream {
                avoided: avoid.contains(&upstream.listed.id),
                far_from_data: rack.is_some_and(|rack| !upstream.listed.has_label(rack)),
                slowness_percent: upstream.speed.slowness_percent(),
                left_millicores: free.minus(step_demand.resources).cpu_millicores,
                distance: 0,
            });
        }
        let placement_request = batch.placement_request(now, task);
        let chosen = self.choice.choose(&placement_request, &candidates);
        chosen.map(|index| candidate_keys[index])
    }

    /// Whether one more task of the step may run on the upstream.
    fn is_within_limit(
        &self,
        upstream_key: LeasedUpstreamKey,
        batch_key: HeldBatchKey,
        task: TaskIndex,
    ) -> bool {
        let batch = &self.batches[batch_key];
        let Some(max) = batch.step_demand(task).max_tasks_per_upstream else {
            return true;
        };
        let name = batch.run(task).task;
        let runs = self.upstreams[upstream_key].runs.keys();
        let same_step = runs.filter(|run| run.task.job == name.job && run.task.step == name.step);
        same_step.count() < max as usize
    }

    fn start(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        batch_key: HeldBatchKey,
        task: TaskIndex,
    ) {
        let batch = &mut self.batches[batch_key];
        let run = batch.run(task);
        let step_demand = batch.step_demand(task);
        let (demand, expected) = (step_demand.resources, batch.expected_run_time(task));
        let (queue, payload) = (batch.queue.clone(), batch.payload.clone());
        let is_alone = batch.tasks[task].placed.is_alone;
        let waited_ms = whole_ms(now.since(batch.accepted_at));
        batch.tasks[task].state = HeldState::Running(upstream_key);
        batch.has_begun = true;
        let lease = self.lease;
        let upstream = &mut self.upstreams[upstream_key];
        let expected = expected.mul_f64(upstream.speed.slowness());
        let Some(lease_until_ms) = upstream.extend_lease(now, lease) else {
            return self.requeue(Some((batch_key, task)), None);
        };
        let mut leased = LeasedRun::starting((batch_key, task), queue, demand, expected, now);
        leased.is_alone = is_alone;
        upstream.runs.insert(run, leased);
        if upstream.runs.len() == 1 {
            // The pending renew order may wait long, and its answer may be lost.
            let end_expected = OwnerTimer::EndExpected(upstream_key, now);
            let at = now + expected * END_CHECK_PERCENT / 100 + END_CHECK_MARGIN;
            self.timers.subscribe(at, end_expected);
        }
        let fence = upstream.fence;
        let slowness_percent = upstream.speed.slowness_percent();
        tracing::info!(
            job = %run.task.job, run = %run, upstream = %upstream.listed.id, fence, waited_ms, is_alone,
            expected_ms = whole_ms(expected), slowness_percent, free_millicores = upstream.free().cpu_millicores,
            "run ordered"
        );
        let order = RunOrder::Start {
            run,
            payload,
            lease_until_ms,
            fence,
        };
        self.send_order(now, upstream_key, PendingKind::Start(run), order);
    }

    /// Orders a run to stop, also one whose start is unconfirmed or that another owner ordered.
    pub(crate) fn stop(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        run: RunId,
        reason: StopReason,
    ) {
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else {
            return;
        };
        let fence = upstream.fence;
        if let Some(leased) = upstream.runs.get_mut(&run) {
            if reason == StopReason::Cancelled {
                leased.task = None;
            }
            leased.phase = RunPhase::Stopping {
                reason,
                acknowledged: None,
            };
        }
        tracing::info!(
            job = %run.task.job, run = %run, upstream = %upstream.listed.id, fence, %reason,
            "stop ordered"
        );
        self.send_order(
            now,
            upstream_key,
            PendingKind::Stop(run),
            RunOrder::Stop { run, fence },
        );
    }

    /// Sends an order and records it as pending.
    pub(crate) fn send_order(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        kind: PendingKind,
        order: RunOrder,
    ) {
        let order_id = OrderId(self.next_order_id);
        self.next_order_id += 1;
        let pending = PendingOrder {
            upstream: upstream_key,
            sent_at: now,
            kind,
        };
        self.orders.insert(order_id, pending);
        let listed = &self.upstreams[upstream_key].listed;
        self.actions.push(RunAction::Order {
            order: order_id,
            addressed_order: AddressedOrder {
                upstream: listed.id.clone(),
                address: listed.address,
                order,
            },
        });
    }

    /// Records a done run; once the batch's last task is done, learns the speeds of the upstreams that
    /// ran it, since tasks of one step have nearly the same run time.
    pub(crate) fn learn_speeds(
        &mut self,
        upstream_key: LeasedUpstreamKey,
        batch_key: HeldBatchKey,
        task: TaskIndex,
        took: Duration,
    ) {
        let Some(batch) = self.batches.get_mut(batch_key) else {
            return;
        };
        let step = batch.tasks[task].placed.step;
        batch.done_runs.push(DoneRun {
            step,
            upstream_key,
            took,
        });
        if batch.open_tasks > 1 {
            return;
        }
        let done_runs = std::mem::take(&mut batch.done_runs);
        let demands = std::mem::take(&mut batch.demands);
        for demand in &demands {
            let of_step = done_runs.iter().filter(|run| run.step == demand.step);
            let of_step: Vec<&DoneRun> = of_step.collect();
            self.learn_from_step(demand.declared_run_time, &of_step);
        }
    }

    fn learn_from_step(&mut self, declared: Duration, runs: &[&DoneRun]) {
        let ln_at_usual_speed = |run: &DoneRun| {
            let upstream = self.upstreams.get(run.upstream_key);
            let log_slowness = upstream.map_or(0.0, |upstream| upstream.speed.log_slowness());
            ln_seconds(run.took) - log_slowness
        };
        let logs: Vec<f64> = runs.iter().map(|run| ln_at_usual_speed(run)).collect();
        let sum: f64 = logs.iter().sum();
        let others = runs.len().saturating_sub(1);
        for (run, log) in runs.iter().zip(logs) {
            let Some(upstream) = self.upstreams.get_mut(run.upstream_key) else {
                continue;
            };
            let mean = (sum - log) / others.max(1) as f64;
            upstream.speed.observe_within_step(run.took, mean, others);
            let speed = &mut upstream.speed;
            speed.observe_declared(declared, run.took, runs.len());
        }
    }

    /// Reverts the ejections of a service's upstreams that the ejection gate does not allow.
    pub(crate) fn review_ejections(&mut self, now: Timestamp, service: &str) {
        let of_service = self.upstreams.values_mut();
        let of_service = of_service.filter(|upstream| &*upstream.listed.service == service);
        EjectionGate.review(now, of_service.map(|upstream| &mut upstream.health));
    }

    /// The load of each service with usable upstreams here; none while leaving.
    pub(crate) fn loads(&self, now: Timestamp) -> Vec<RunLoad> {
        let mut loads: IndexMap<Arc<str>, RunLoad> = IndexMap::new();
        for upstream in self.upstreams.values() {
            if !upstream.is_usable() || self.is_leaving {
                continue;
            }
            let service = upstream.listed.service.clone();
            let load = loads.entry(service.clone()).or_insert_with(|| RunLoad {
                service,
                free: Vec::new(),
                total: Resources::default(),
                queued_core_ms: 0,
                queued_tasks: 0,
            });
            load.total += upstream.listed.capacity;
            if upstream.can_take_work(now) {
                load.free.push(FreeUpstream {
                    name_hash: name_hash(&upstream.listed.id),
                    free_resources: upstream.free(),
                    slowness_percent: upstream.speed.slowness_percent(),
                });
            }
        }
        for (batch_key, task) in &self.queue {
            let batch = &self.batches[*batch_key];
            if let Some(load) = loads.get_mut(&batch.service) {
                load.queued_tasks += 1;
                load.queued_core_ms += batch.core_ms(*task);
            }
        }
        loads.into_values().collect()
    }

    /// The figures that decide whether a changed load is reported, without the digest itself.
    pub(crate) fn load_summary(&self, now: Timestamp) -> LoadSummary {
        let mut summary = LoadSummary::default();
        if self.is_leaving {
            return summary;
        }
        let usable = || self.upstreams.values().filter(|up| up.is_usable());
        for upstream in usable() {
            let total = &mut summary.total_millicores;
            *total = total.saturating_add(upstream.listed.capacity.cpu_millicores);
            if upstream.can_take_work(now) {
                let free = &mut summary.free_millicores;
                *free = free.saturating_add(upstream.free().cpu_millicores);
            }
        }
        summary.has_queue = self.queue.iter().any(|(batch_key, _)| {
            let service = &self.batches[*batch_key].service;
            usable().any(|upstream| upstream.listed.service == *service)
        });
        summary
    }

    /// Whether no batch is held.
    pub(crate) fn is_idle(&self) -> bool {
        self.batches.is_empty()
    }

    /// The number of tasks that wait for free capacity.
    pub(crate) fn queued_tasks(&self) -> usize {
        self.queue.len()
    }
}

fn queued_task(batch: &HeldBatch, task: TaskIndex) -> QueuedTask {
    let expected_us = batch.expected_run_time(task).as_micros();
    QueuedTask {
        objective_at_us: batch.objective_at_us,
        expected_run_us: i64::try_from(expected_us).unwrap_or(i64::MAX),
        accepted_at: batch.accepted_at,
        priority: batch.priority,
        has_begun: batch.has_begun,
    }
}
