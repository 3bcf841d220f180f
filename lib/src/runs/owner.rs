//! The owner of upstreams: queues tasks, starts them where they fit, and reports their ends.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use slotmap::SlotMap;

use super::held_batch::DoneRun;
use super::held_batch::HeldBatch;
use super::held_batch::HeldState;
use super::held_batch::TaskIndex;
use super::held_queue::HeldOrder;
use super::held_queue::LeastSlack;
use super::held_queue::QueuedView;
use super::learned_speed::log_s;
use super::leased_run::LeasedRun;
use super::leased_run::RunPhase;
use super::leased_run::StopReason;
use super::leased_upstream::Contact;
use super::leased_upstream::LeasedUpstream;
use super::listed_upstream::ListedUpstream;
use super::resources::Resources;
use super::run_action::RunAction;
use super::run_digest::FreeUpstream;
use super::run_digest::RunLoad;
use super::run_digest::short_name;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_message::FoundEnd;
use super::run_message::NotStarted;
use super::run_message::RunBatch;
use super::run_message::RunEnd;
use super::run_message::TaskEnd;
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

/// The tasks that are tried behind one that does not fit, before the queue is left alone.
const MAX_BYPASSES: usize = 24;

/// When a run is overdue, in hundredths of its expected run time: few last that long.
const OVERDUE_PERCENT: u32 = 150;

/// What is added to that for short runs.
const OVERDUE_MARGIN: Duration = Duration::from_millis(40);

/// What an owner's parts subscribe to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OwnerTimer {
    /// Look at the upstream again.
    Renew(LeasedUpstreamKey),
    /// The leases there have run out if it is still silent.
    Lapse(LeasedUpstreamKey),
    /// Runs there that nobody has claimed are stopped.
    Unclaimed(LeasedUpstreamKey),
    /// A stop that was not answered is ordered again.
    StopAgain(LeasedUpstreamKey, RunId),
    /// Look at the progress of a run that has just begun.
    Probe(LeasedUpstreamKey),
    /// A run that began at this time should be over: look whether its end is known.
    Overdue(LeasedUpstreamKey, Timestamp),
    /// An upstream may take tasks again, or a queued task is too late.
    Dispatch,
}

/// What homes have to hear.
#[derive(Debug)]
pub(crate) enum OwnerNotice {
    /// Tasks of a batch ended.
    Ends {
        home: Incarnation,
        batch: u64,
        ends: Vec<TaskEnd>,
    },
    /// Runs were found on an upstream that was taken over.
    Found {
        upstream: Arc<str>,
        fence: u64,
        running: Vec<RunId>,
        ended: Vec<FoundEnd>,
    },
}

/// An order that was given and not answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) upstream: LeasedUpstreamKey,
    pub(crate) sent_at: Timestamp,
    pub(crate) kind: PendingKind,
}

/// A start under way to an upstream that has a newer owner.
#[derive(Debug)]
pub(crate) struct SupersededStart {
    pub(crate) task: (HeldBatchKey, TaskIndex),
    pub(crate) upstream: Arc<str>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum PendingKind {
    Start(RunId),
    Stop(RunId),
    Renew,
    /// A look beside the hold that is under way.
    Probe,
}

/// The upstreams that one instance owns and the tasks that it holds for homes.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) lease: Duration,
    pub(crate) upstreams: SlotMap<LeasedUpstreamKey, LeasedUpstream>,
    pub(crate) by_id: IndexMap<Arc<str>, LeasedUpstreamKey>,
    pub(crate) batches: SlotMap<HeldBatchKey, HeldBatch>,
    by_number: IndexMap<(Incarnation, u64), HeldBatchKey>,
    highest_taken: IndexMap<Incarnation, u64>,
    queue: Vec<(HeldBatchKey, TaskIndex)>,
    /// Batches whose runs a newer owner has to claim or to end, and when they surely have ended.
    pub(crate) lingering: IndexMap<(Incarnation, u64), Timestamp>,
    pub(crate) orders: IndexMap<OrderId, PendingOrder>,
    /// Starts under way to upstreams that have a newer owner.
    pub(crate) superseded_starts: IndexMap<OrderId, SupersededStart>,
    next_order: u64,
    /// Upstreams that were lost to a newer owner, with the version of the roster then in force.
    pub(crate) lost: IndexMap<Arc<str>, u64>,
    order: Box<dyn HeldOrder>,
    choice: Box<dyn UpstreamChoice>,
    pub(crate) timers: TimerService<OwnerTimer>,
    pub(crate) actions: Vec<RunAction>,
    pub(crate) notices: Vec<OwnerNotice>,
    pub(crate) is_leaving: bool,
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
            lingering: IndexMap::new(),
            orders: IndexMap::new(),
            superseded_starts: IndexMap::new(),
            next_order: 1,
            lost: IndexMap::new(),
            order: Box::new(LeastSlack),
            choice: Box::new(SlowestInTime),
            timers: TimerService::default(),
            actions: Vec::new(),
            notices: Vec::new(),
            is_leaving: false,
            is_dirty: false,
        }
    }

    /// Takes over the upstreams that this instance is to own, and lets go of the others.
    ///
    /// `version` is the version of the roster that ownership follows from; it fences former owners.
    pub(crate) fn reassign(
        &mut self,
        now: Timestamp,
        assigned: &[Arc<ListedUpstream>],
        version: u64,
    ) {
        for listed in assigned {
            match self.by_id.get(&listed.id) {
                Some(key) => self.relist(now, *key, listed),
                None => self.take_over(now, listed, version),
            }
        }
        let is_assigned = |id: &str| assigned.iter().any(|listed| &*listed.id == id);
        let others = self.by_id.iter().filter(|(id, _)| !is_assigned(id));
        let others: Vec<LeasedUpstreamKey> = others.map(|(_, key)| *key).collect();
        for key in others {
            self.release(key);
        }
        self.is_dirty = true;
    }

    fn take_over(&mut self, now: Timestamp, listed: &Arc<ListedUpstream>, version: u64) {
        if self
            .lost
            .get(&listed.id)
            .is_some_and(|lost| *lost >= version)
        {
            return;
        }
        self.lost.swap_remove(&listed.id);
        tracing::info!(upstream = %listed.id, roster_version = version, "upstream taken over");
        let upstream = LeasedUpstream::new(listed.clone(), version);
        let key = self.upstreams.insert(upstream);
        self.by_id.insert(listed.id.clone(), key);
        self.renew(now, key);
    }

    fn relist(&mut self, now: Timestamp, key: LeasedUpstreamKey, listed: &Arc<ListedUpstream>) {
        let upstream = &mut self.upstreams[key];
        upstream.is_released = false;
        if upstream.listed == *listed {
            return;
        }
        if upstream.listed.draining != listed.draining {
            tracing::info!(upstream = %listed.id, draining = listed.draining, "upstream state");
        }
        upstream.listed = listed.clone();
        if upstream.born_unix_ms.is_some() && listed.born_unix_ms > upstream.born_unix_ms {
            self.begin_incarnation(key, listed.born_unix_ms);
            self.renew(now, key);
        }
    }

    fn release(&mut self, key: LeasedUpstreamKey) {
        let upstream = &mut self.upstreams[key];
        if !upstream.is_released {
            upstream.is_released = true;
            let runs = upstream.runs.len();
            tracing::info!(upstream = %upstream.listed.id, runs, "upstream released");
        }
        self.drop_if_released(key);
    }

    /// Forgets an upstream that another instance is to own, once nothing of ours runs there.
    pub(crate) fn drop_if_released(&mut self, key: LeasedUpstreamKey) {
        let upstream = &self.upstreams[key];
        if upstream.is_released && upstream.runs.is_empty() {
            self.remove(key);
        }
    }

    pub(crate) fn remove(&mut self, key: LeasedUpstreamKey) -> Option<LeasedUpstream> {
        let upstream = self.upstreams.remove(key)?;
        self.by_id.swap_remove(&upstream.listed.id);
        self.is_dirty = true;
        Some(upstream)
    }

    /// Gives an upstream no more work that is listed no more; what it still runs is followed.
    pub(crate) fn release_unlisted(&mut self, id: &str) {
        if let Some(key) = self.by_id.get(id).copied() {
            self.release(key);
        }
    }

    /// Takes tasks for a home, or reports that they will not start.
    pub(crate) fn place(&mut self, now: Timestamp, home: Incarnation, batch: RunBatch) {
        let Some(key) = self.admit(now, home, batch) else {
            return;
        };
        if self.is_leaving {
            return self.refuse_all(key, NotStarted::Leaving);
        }
        for task in 0..self.batches[key].tasks.len() {
            if self.can_ever_run(key, task) {
                self.queue.push((key, task));
            } else {
                self.report(key, task, RunEnd::NotStarted(NotStarted::NoUpstream));
            }
        }
        self.is_dirty = true;
    }

    /// Keeps a batch, unless it came before.
    fn admit(
        &mut self,
        now: Timestamp,
        home: Incarnation,
        batch: RunBatch,
    ) -> Option<HeldBatchKey> {
        let number = batch.number;
        let highest = self.highest_taken.entry(home).or_default();
        if number <= *highest {
            tracing::warn!(job = %batch.job, batch = number, "batch came again or late: ignored");
            return None;
        }
        *highest = number;
        let held = HeldBatch::new(home, batch, now)?;
        let key = self.batches.insert(held);
        self.by_number.insert((home, number), key);
        Some(key)
    }

    /// Refuses a batch that was too long under way.
    pub(crate) fn refuse_stale(&mut self, now: Timestamp, home: Incarnation, batch: RunBatch) {
        tracing::warn!(job = %batch.job, batch = batch.number, "batch too long under way: refused");
        if let Some(key) = self.admit(now, home, batch) {
            self.refuse_all(key, NotStarted::Stale);
        }
    }

    fn refuse_all(&mut self, key: HeldBatchKey, reason: NotStarted) {
        for task in 0..self.batches[key].tasks.len() {
            self.report(key, task, RunEnd::NotStarted(reason));
        }
    }

    /// Takes charge of runs that run already on an upstream which this instance has taken over.
    pub(crate) fn adopt(
        &mut self,
        now: Timestamp,
        home: Incarnation,
        upstream: &str,
        batch: RunBatch,
    ) {
        let Some(key) = self.admit(now, home, batch) else {
            return;
        };
        for task in 0..self.batches[key].tasks.len() {
            if !self.adopt_task(now, key, task, upstream) {
                let end = self.end_of_missing(self.batches[key].run(task), upstream);
                self.report(key, task, end);
            }
        }
    }

    /// How a run ended that was to be adopted and is not there.
    fn end_of_missing(&self, run: RunId, id: &str) -> RunEnd {
        let upstream = self.by_id.get(id).map(|on| &self.upstreams[*on]);
        let Some(upstream) = upstream.filter(|on| on.contact == Contact::InTouch) else {
            let upstream = Arc::from(id);
            return RunEnd::TakenOver { upstream };
        };
        let upstream_id = upstream.listed.id.clone();
        match upstream.found_ends.get(&run) {
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

    fn adopt_task(&mut self, now: Timestamp, key: HeldBatchKey, task: TaskIndex, id: &str) -> bool {
        let batch = &mut self.batches[key];
        let run = batch.run(task);
        let (demand, expected_run_time) =
            (batch.demand(task).demand, batch.expected_run_time(task));
        let Some(on) = self.by_id.get(id).copied() else {
            return false;
        };
        let upstream = &mut self.upstreams[on];
        if upstream.unclaimed_runs.swap_remove(&run).is_none() {
            return false;
        }
        batch.tasks[task].state = HeldState::Running(on);
        let mut leased = LeasedRun::starting((key, task), demand, expected_run_time, now);
        leased.phase = RunPhase::Active {
            from: OrderId(self.next_order),
        };
        upstream.runs.insert(run, leased);
        tracing::info!(run = %run, upstream = id, "run adopted");
        true
    }

    /// Whether some upstream here could run the task when nothing else ran.
    fn can_ever_run(&self, key: HeldBatchKey, task: TaskIndex) -> bool {
        let batch = &self.batches[key];
        let demand = batch.demand(task);
        self.upstreams.values().any(|upstream| {
            let label = demand.required_label.as_deref();
            upstream.is_usable()
                && upstream.listed.service == batch.service
                && demand.demand.fits(upstream.listed.capacity)
                && label.is_none_or(|label| upstream.listed.has_label(label))
        })
    }

    /// Stops what is left of some batches of a home.
    pub(crate) fn cancel(&mut self, now: Timestamp, home: Incarnation, numbers: &[u64]) {
        for number in numbers {
            if let Some(key) = self.by_number.get(&(home, *number)).copied() {
                self.drop_batch(now, key);
            }
        }
    }

    /// Drops the batches of a home that it does not hold open, among those it has sent.
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
            .map(|(_, key)| *key);
        for key in closed.collect::<Vec<_>>() {
            let batch = &self.batches[key];
            tracing::warn!(job = %batch.job, batch = batch.number, "batch given up by its home");
            self.drop_batch(now, key);
        }
    }

    /// Drops everything of a home that is gone or out of reach.
    pub(crate) fn drop_home(&mut self, now: Timestamp, home: Incarnation) {
        let of_home = self.by_number.iter().filter(|((of, _), _)| *of == home);
        let keys: Vec<HeldBatchKey> = of_home.map(|(_, key)| *key).collect();
        for key in keys {
            let batch = &self.batches[key];
            tracing::warn!(job = %batch.job, %home, "batch dropped: its home is out of reach");
            self.drop_batch(now, key);
        }
    }

    fn drop_batch(&mut self, now: Timestamp, key: HeldBatchKey) {
        let Some(batch) = self.remove_batch(key) else {
            return;
        };
        for task in 0..batch.tasks.len() {
            let HeldState::Running(on) = batch.tasks[task].state else {
                continue;
            };
            let run = batch.run(task);
            let leased = self.upstreams.get_mut(on);
            if let Some(leased) = leased.and_then(|on| on.runs.get_mut(&run)) {
                leased.dropped_from = Some((batch.home, batch.number));
            }
            self.stop(now, on, run, StopReason::Cancelled);
        }
        self.queue.retain(|(queued, _)| *queued != key);
        self.is_dirty = true;
    }

    fn remove_batch(&mut self, key: HeldBatchKey) -> Option<HeldBatch> {
        let batch = self.batches.remove(key)?;
        self.by_number.swap_remove(&(batch.home, batch.number));
        Some(batch)
    }

    /// The batches of a home that are held, and the highest number taken.
    ///
    /// A batch that was dropped counts as held until the last of its runs has surely ended.
    pub(crate) fn held_batches_of(&self, now: Timestamp, home: Incarnation) -> (Vec<u64>, u64) {
        let runs = self.upstreams.values().flat_map(|on| on.runs.values());
        let stopping = runs.filter_map(|run| run.dropped_from);
        let lingering = self.lingering.iter().filter(|(_, until)| **until > now);
        let all = self.by_number.keys().copied().chain(stopping);
        let all = all.chain(lingering.map(|(batch, _)| *batch));
        let mut held: Vec<u64> = all
            .filter(|(of, _)| *of == home)
            .map(|(_, number)| number)
            .collect();
        held.sort_unstable();
        held.dedup();
        let highest = self.highest_taken.get(&home).copied().unwrap_or(0);
        (held, highest)
    }

    /// The homes whose batches are held.
    pub(crate) fn homes(&self) -> Vec<Incarnation> {
        let mut homes: Vec<Incarnation> = self.by_number.keys().map(|(home, _)| *home).collect();
        homes.sort_unstable();
        homes.dedup();
        homes
    }

    /// Refuses new work and gives back what has not started.
    pub(crate) fn leave(&mut self) {
        self.is_leaving = true;
        for (key, task) in std::mem::take(&mut self.queue) {
            self.report(key, task, RunEnd::NotStarted(NotStarted::Leaving));
        }
    }

    /// Takes in how a task ended, and tells its home when that matters to it at once.
    pub(crate) fn report(&mut self, key: HeldBatchKey, task: TaskIndex, end: RunEnd) {
        let Some(batch) = self.batches.get_mut(key) else {
            return;
        };
        if batch.tasks[task].state == HeldState::Ended {
            return;
        }
        batch.tasks[task].state = HeldState::Ended;
        batch.open_tasks -= 1;
        let is_urgent = batch.open_tasks == 0 || !matches!(end, RunEnd::Done { .. });
        let run = batch.run(task);
        batch.unreported.push(TaskEnd { run, end });
        if is_urgent {
            self.notices.push(OwnerNotice::Ends {
                home: batch.home,
                batch: batch.number,
                ends: std::mem::take(&mut batch.unreported),
            });
        }
        if batch.open_tasks == 0 {
            self.remove_batch(key);
        }
    }

    /// Puts a task that did not start back in the queue.
    pub(crate) fn requeue(
        &mut self,
        task: Option<(HeldBatchKey, TaskIndex)>,
        avoid: Option<Arc<str>>,
    ) {
        self.is_dirty = true;
        let Some((key, task)) = task else {
            return;
        };
        let Some(batch) = self.batches.get_mut(key) else {
            return;
        };
        batch.tasks[task].state = HeldState::Queued;
        batch.tasks[task].placed.avoid.extend(avoid);
        if self.is_leaving {
            return self.report(key, task, RunEnd::NotStarted(NotStarted::Leaving));
        }
        self.queue.push((key, task));
    }

    /// The number of the next order: orders from it on are given after what is known now.
    pub(crate) fn next_order(&self) -> OrderId {
        OrderId(self.next_order)
    }

    /// Marks the queue for another look.
    pub(crate) fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Starts what fits, in the order of the queue.
    pub(crate) fn start_queued(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.is_dirty) || self.queue.is_empty() {
            return;
        }
        self.drop_late(now);
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_cached_key(|(key, task)| {
            let batch = &self.batches[*key];
            self.order.rank(now, &queued_view(batch, *task))
        });
        let mut bypasses = 0;
        let mut left = Vec::new();
        for (key, task) in queue {
            let upstream = match bypasses < MAX_BYPASSES {
                true => self.upstream_for(now, key, task),
                false => None,
            };
            match upstream {
                Some(on) => self.start(now, on, key, task),
                None => {
                    bypasses += 1;
                    left.push((key, task));
                }
            }
        }
        self.queue = left;
        self.drop_overdue(now);
        self.wake_for_next_late();
    }

    /// Drops queued tasks that could no longer end before their callers leave.
    fn drop_late(&mut self, now: Timestamp) {
        let start_by = |batch: &HeldBatch, task| batch.start_by(task);
        self.drop_queued(now, start_by, NotStarted::TooLate);
    }

    /// Drops queued tasks for which no room was found until their jobs should have ended, where
    /// these have not begun.
    fn drop_overdue(&mut self, now: Timestamp) {
        let waits_until = |batch: &HeldBatch, task| batch.waits_until(task);
        self.drop_queued(now, waits_until, NotStarted::Overdue);
    }

    /// Drops queued tasks whose time has passed.
    fn drop_queued(
        &mut self,
        now: Timestamp,
        until: impl Fn(&HeldBatch, TaskIndex) -> Timestamp,
        reason: NotStarted,
    ) {
        let batches = &self.batches;
        let is_over = |(key, task): &mut (HeldBatchKey, TaskIndex)| {
            let batch = batches.get(*key);
            batch.is_none_or(|batch| until(batch, *task) < now)
        };
        let over: Vec<(HeldBatchKey, TaskIndex)> = self.queue.extract_if(.., is_over).collect();
        for (key, task) in over {
            self.report(key, task, RunEnd::NotStarted(reason));
        }
    }

    fn wake_for_next_late(&mut self) {
        let batches = &self.batches;
        let start_bys = self
            .queue
            .iter()
            .map(|(key, task)| batches[*key].waits_until(*task));
        if let Some(at) = start_bys.min() {
            let after = at + Duration::from_millis(1);
            self.timers.subscribe(after, OwnerTimer::Dispatch);
        }
    }

    fn upstream_for(
        &self,
        now: Timestamp,
        key: HeldBatchKey,
        task: TaskIndex,
    ) -> Option<LeasedUpstreamKey> {
        let batch = &self.batches[key];
        let demand = batch.demand(task);
        let avoid = &batch.tasks[task].placed.avoid;
        let mut keys = Vec::new();
        let mut candidates = Vec::new();
        for (on, upstream) in &self.upstreams {
            let free = upstream.free();
            let label = demand.required_label.as_deref();
            let takes = upstream.listed.service == batch.service
                && demand.demand.fits(free)
                && label.is_none_or(|label| upstream.listed.has_label(label))
                && upstream.takes_work(now)
                && self.is_within_limit(on, key, task);
            if !takes {
                continue;
            }
            let rack = demand.data_rack.as_deref();
            keys.push(on);
            candidates.push(CandidateUpstream {
                avoided: avoid.contains(&upstream.listed.id),
                far_from_data: rack.is_some_and(|rack| !upstream.listed.has_label(rack)),
                slowness_percent: upstream.speed.slowness_percent(),
                left_millicores: free.minus(demand.demand).cpu_millicores,
                distance: 0,
            });
        }
        let placement_request = batch.placement_request(now, task);
        let chosen = self.choice.choose(&placement_request, &candidates);
        chosen.map(|index| keys[index])
    }

    /// Whether one more task of the step may run on the upstream.
    fn is_within_limit(&self, on: LeasedUpstreamKey, key: HeldBatchKey, task: TaskIndex) -> bool {
        let batch = &self.batches[key];
        let Some(most) = batch.demand(task).most_per_upstream else {
            return true;
        };
        let name = batch.run(task).task;
        let runs = self.upstreams[on].runs.keys();
        let same_step = runs.filter(|run| run.task.job == name.job && run.task.step == name.step);
        same_step.count() < most as usize
    }

    fn start(&mut self, now: Timestamp, on: LeasedUpstreamKey, key: HeldBatchKey, task: TaskIndex) {
        let batch = &mut self.batches[key];
        let run = batch.run(task);
        let demand = batch.demand(task);
        let (demand, expected) = (demand.demand, batch.expected_run_time(task));
        let spec = batch.spec.clone();
        let waited_ms = whole_ms(now.since(batch.taken_at));
        batch.tasks[task].state = HeldState::Running(on);
        batch.has_begun = true;
        let lease = self.lease;
        let upstream = &mut self.upstreams[on];
        let expected = expected.mul_f64(upstream.speed.slowness());
        let Some(lease_until_ms) = upstream.extend_lease(now, lease) else {
            return self.requeue(Some((key, task)), None);
        };
        let leased = LeasedRun::starting((key, task), demand, expected, now);
        upstream.runs.insert(run, leased);
        if upstream.runs.len() == 1 {
            // The hold under way may wait long, and its answer may be lost.
            let overdue = OwnerTimer::Overdue(on, now);
            let at = now + expected * OVERDUE_PERCENT / 100 + OVERDUE_MARGIN;
            self.timers.subscribe(at, overdue);
        }
        let fence = upstream.fence;
        let slowness_percent = upstream.speed.slowness_percent();
        tracing::info!(
            job = %run.task.job, run = %run, upstream = %upstream.listed.id, fence, waited_ms,
            expected_ms = whole_ms(expected), slowness_percent, free_millicores = upstream.free().cpu_millicores,
            "run ordered"
        );
        let order = RunOrder::Start {
            run,
            spec,
            lease_until_ms,
            fence,
        };
        self.give(now, on, PendingKind::Start(run), order);
    }

    /// Orders a run to stop, whatever is known of it.
    pub(crate) fn stop(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        run: RunId,
        reason: StopReason,
    ) {
        let Some(upstream) = self.upstreams.get_mut(on) else {
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
        self.give(
            now,
            on,
            PendingKind::Stop(run),
            RunOrder::Stop { run, fence },
        );
    }

    /// Gives an order.
    pub(crate) fn give(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        kind: PendingKind,
        order: RunOrder,
    ) {
        let number = OrderId(self.next_order);
        self.next_order += 1;
        let pending = PendingOrder {
            upstream: on,
            sent_at: now,
            kind,
        };
        self.orders.insert(number, pending);
        let listed = &self.upstreams[on].listed;
        self.actions.push(RunAction::Order {
            order: number,
            order_to: AddressedOrder {
                upstream: listed.id.clone(),
                address: listed.address,
                order,
            },
        });
    }

    /// Learns the speeds of the upstreams that ran a batch once its last task is done: tasks of
    /// one step take nearly the same.
    pub(crate) fn learn_speeds(
        &mut self,
        on: LeasedUpstreamKey,
        key: HeldBatchKey,
        task: TaskIndex,
        took: Duration,
    ) {
        let Some(batch) = self.batches.get_mut(key) else {
            return;
        };
        let step = batch.tasks[task].placed.step;
        batch.done_runs.push(DoneRun { step, on, took });
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
        let at_usual_speed = |run: &DoneRun| {
            let upstream = self.upstreams.get(run.on);
            let log_slowness = upstream.map_or(0.0, |on| on.speed.log_slowness());
            log_s(run.took) - log_slowness
        };
        let logs: Vec<f64> = runs.iter().map(|run| at_usual_speed(run)).collect();
        let sum: f64 = logs.iter().sum();
        let siblings = runs.len().saturating_sub(1);
        for (run, log) in runs.iter().zip(logs) {
            let Some(upstream) = self.upstreams.get_mut(run.on) else {
                continue;
            };
            let mean = (sum - log) / siblings.max(1) as f64;
            upstream.speed.observe_beside(run.took, mean, siblings);
            let speed = &mut upstream.speed;
            speed.observe_declared(declared, run.took, runs.len());
        }
    }

    /// Takes back ejections that the limits do not allow.
    pub(crate) fn review_ejections(&mut self, now: Timestamp, service: &str) {
        let of_service = self.upstreams.values_mut();
        let of_service = of_service.filter(|upstream| &*upstream.listed.service == service);
        EjectionGate.review(now, of_service.map(|upstream| &mut upstream.health));
    }

    /// The load by service.
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
            if upstream.takes_work(now) {
                load.free.push(FreeUpstream {
                    name: short_name(&upstream.listed.id),
                    free: upstream.free(),
                    slowness_percent: upstream.speed.slowness_percent(),
                });
            }
        }
        for (key, task) in &self.queue {
            let batch = &self.batches[*key];
            if let Some(load) = loads.get_mut(&batch.service) {
                load.queued_tasks += 1;
                load.queued_core_ms += batch.core_ms(*task);
            }
        }
        loads.into_values().collect()
    }

    /// Whether nothing of any home is held.
    pub(crate) fn is_idle(&self) -> bool {
        self.batches.is_empty()
    }

    /// The tasks that wait for room.
    pub(crate) fn queued_tasks(&self) -> usize {
        self.queue.len()
    }
}

fn queued_view(batch: &HeldBatch, task: TaskIndex) -> QueuedView {
    let expected_us = batch.expected_run_time(task).as_micros();
    QueuedView {
        objective_at_us: batch.objective_at_us,
        expected_run_us: i64::try_from(expected_us).unwrap_or(i64::MAX),
        taken_at: batch.taken_at,
        priority: batch.priority,
        has_begun: batch.has_begun,
    }
}
