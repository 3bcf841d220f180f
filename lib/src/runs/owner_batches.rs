//! How an owner holds the batches that homes place: accepts, adopts, cancels and reports them.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::held_batch::HeldBatch;
use super::held_batch::HeldState;
use super::held_batch::TaskIndex;
use super::leased_run::DroppedTask;
use super::leased_run::LeasedRun;
use super::leased_run::RunPhase;
use super::leased_run::StopReason;
use super::leased_upstream::Contact;
use super::owner::Owner;
use super::owner::OwnerNotice;
use super::past_time::PastTime;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_message::Cancellation;
use super::run_message::CancelledTask;
use super::run_message::EndedRun;
use super::run_message::NotStarted;
use super::run_message::PlacedTask;
use super::run_message::RunBatch;
use super::run_message::RunEnd;
use super::run_order::RunOutcome;
use crate::id::Incarnation;
use crate::time::Timestamp;

impl Owner {
    /// Queues the tasks of a home's batch; reports those that no upstream here can run as not started.
    ///
    /// `as_of` is the time of which the message shows that the callers of the job waited.
    pub(crate) fn place(
        &mut self,
        now: Timestamp,
        home: Incarnation,
        as_of: Option<PastTime>,
        batch: RunBatch,
    ) {
        let Some(batch_key) = self.admit(now, home, as_of, batch) else {
            return;
        };
        if self.is_leaving {
            return self.refuse_all(batch_key, NotStarted::Leaving);
        }
        for task in 0..self.batches[batch_key].tasks.len() {
            if self.can_ever_run(batch_key, task) {
                self.record_demand(now, batch_key, task);
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
        as_of: Option<PastTime>,
        batch: RunBatch,
    ) -> Option<HeldBatchKey> {
        let number = batch.number;
        let highest = self.highest_taken.entry(home).or_default();
        if number <= *highest {
            tracing::warn!(job = %batch.job, batch = number, "duplicate or reordered batch ignored");
            return None;
        }
        *highest = number;
        let held = HeldBatch::new(home, batch, as_of, now)?;
        let batch_key = self.batches.insert(held);
        self.by_number.insert((home, number), batch_key);
        Some(batch_key)
    }

    /// Refuses a batch whose message was in flight for too long.
    pub(crate) fn refuse_stale(
        &mut self,
        now: Timestamp,
        home: Incarnation,
        as_of: Option<PastTime>,
        batch: RunBatch,
    ) {
        tracing::warn!(job = %batch.job, batch = batch.number, "batch refused: too long in flight");
        if let Some(batch_key) = self.admit(now, home, as_of, batch) {
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
        as_of: Option<PastTime>,
        upstream: &str,
        batch: RunBatch,
    ) {
        let Some(batch_key) = self.admit(now, home, as_of, batch) else {
            return;
        };
        for task in 0..self.batches[batch_key].tasks.len() {
            if !self.adopt_task(now, batch_key, task, upstream) {
                let end = self.end_of_missing(self.batches[batch_key].run(task), upstream);
                self.report(batch_key, task, end);
            }
        }
    }

    /// How a run ended that cannot be adopted because its upstream does not list it as unclaimed.
    ///
    /// It may still go on if its upstream is not reachable here, or if it was claimed before.
    fn end_of_missing(&self, run: RunId, id: &str) -> RunEnd {
        let upstream = self
            .by_id
            .get(id)
            .map(|upstream_key| &self.upstreams[*upstream_key]);
        let certain = upstream.filter(|upstream| {
            upstream.contact == Contact::Reachable
                && !upstream.runs.contains_key(&run)
                && !upstream.unclaimed_runs.contains_key(&run)
        });
        let Some(upstream) = certain else {
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
        let home = self.batches[batch_key].home;
        let is_wanted = self.requesters.is_current(now, home)
            && self.has_short_lease(now, upstream_key, batch_key);
        let batch = &mut self.batches[batch_key];
        let upstream = &mut self.upstreams[upstream_key];
        if !is_wanted || upstream.unclaimed_runs.swap_remove(&run).is_none() {
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
        self.extend_withheld_lease(now, upstream_key);
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

    /// Drops batches and single tasks that their home has cancelled, and stops their runs.
    pub(crate) fn cancel(
        &mut self,
        now: Timestamp,
        home: Incarnation,
        cancellation: &Cancellation,
    ) {
        for number in &cancellation.batches {
            if let Some(batch_key) = self.by_number.get(&(home, *number)).copied() {
                self.drop_batch(now, batch_key);
            }
        }
        for task in &cancellation.tasks {
            if let Some(batch_key) = self.by_number.get(&(home, task.batch)).copied() {
                self.drop_task(now, batch_key, task);
            }
        }
    }

    /// Drops one task of a batch; its home is not notified of its end.
    fn drop_task(&mut self, now: Timestamp, batch_key: HeldBatchKey, cancelled: &CancelledTask) {
        let batch = &self.batches[batch_key];
        let task = batch.tasks.iter().position(|task| {
            let PlacedTask { step, index, .. } = task.placed;
            (step, index) == (cancelled.step, cancelled.index)
        });
        let Some(task) = task else {
            return;
        };
        let dropped = DroppedTask {
            batch: (batch.home, batch.number),
            wanted_as_of: self.wanted_as_of(batch_key),
        };
        let (state, run) = (batch.tasks[task].state, batch.run(task));
        if let HeldState::Running(upstream_key) = state {
            self.stop_dropped(now, upstream_key, run, dropped);
        }
        self.queue.retain(|queued| *queued != (batch_key, task));
        self.close_task(batch_key, task, None);
        self.is_dirty = true;
    }

    /// Stops a run of a dropped batch or task; the batch counts as held until the run has ended.
    fn stop_dropped(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        run: RunId,
        dropped: DroppedTask,
    ) {
        let upstream = self.upstreams.get_mut(upstream_key);
        if let Some(leased) = upstream.and_then(|upstream| upstream.runs.get_mut(&run)) {
            leased.dropped = Some(dropped);
        }
        self.stop(now, upstream_key, run, StopReason::Cancelled);
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
            self.report_known_ends(batch_key);
            self.drop_batch(now, batch_key);
        }
    }

    /// Reports the ends that its home was not notified of yet: the upstreams do not keep them.
    fn report_known_ends(&mut self, batch_key: HeldBatchKey) {
        let batch = &mut self.batches[batch_key];
        if batch.unreported.is_empty() {
            return;
        }
        self.notices.push(OwnerNotice::Ends {
            home: batch.home,
            batch: batch.number,
            ends: std::mem::take(&mut batch.unreported),
        });
    }

    /// Stops the runs of a home, which learns that they are lost; its queued tasks wait on.
    pub(crate) fn stop_runs_of(&mut self, now: Timestamp, home: Incarnation) {
        let batches = &self.batches;
        let is_of_home = |run: &LeasedRun| {
            let batch = run.task.and_then(|(batch_key, _)| batches.get(batch_key));
            batch.is_some_and(|batch| batch.home == home)
                && !matches!(run.phase, RunPhase::Stopping { .. })
        };
        let upstreams = self.upstreams.iter();
        let runs = upstreams.flat_map(|(upstream_key, upstream)| {
            let of_home = upstream.runs.iter().filter(|(_, run)| is_of_home(run));
            of_home.map(move |(run, _)| (upstream_key, *run))
        });
        let runs: Vec<(LeasedUpstreamKey, RunId)> = runs.collect();
        for (upstream_key, run) in runs {
            self.stop(now, upstream_key, run, StopReason::Outdated);
        }
    }

    fn drop_batch(&mut self, now: Timestamp, batch_key: HeldBatchKey) {
        // What its home wants later says nothing of these runs any more.
        let wanted_as_of = self.wanted_as_of(batch_key);
        let Some(batch) = self.remove_batch(batch_key) else {
            return;
        };
        for task in 0..batch.tasks.len() {
            let HeldState::Running(upstream_key) = batch.tasks[task].state else {
                continue;
            };
            let dropped = DroppedTask {
                batch: (batch.home, batch.number),
                wanted_as_of,
            };
            self.stop_dropped(now, upstream_key, batch.run(task), dropped);
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
        let stopping = runs.filter_map(|run| run.dropped.map(|dropped| dropped.batch));
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
        self.close_task(batch_key, task, Some(end));
    }

    /// Ends a task of a batch, and the batch with its last one; `end` is none if the home is not to be notified
    /// of the task.
    fn close_task(&mut self, batch_key: HeldBatchKey, task: TaskIndex, end: Option<RunEnd>) {
        let Some(batch) = self.batches.get_mut(batch_key) else {
            return;
        };
        if batch.tasks[task].state == HeldState::Ended {
            return;
        }
        batch.tasks[task].state = HeldState::Ended;
        batch.open_tasks -= 1;
        let is_urgent = batch.open_tasks == 0 || !matches!(end, None | Some(RunEnd::Done { .. }));
        let run = batch.run(task);
        let ended = end.map(|end| EndedRun { run, end });
        batch.unreported.extend(ended);
        if is_urgent && !batch.unreported.is_empty() {
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
        // Its home may have cancelled it while its start was in flight.
        if batch.tasks[task].state == HeldState::Ended {
            return;
        }
        batch.tasks[task].state = HeldState::Queued;
        batch.tasks[task].placed.avoid.extend(avoid);
        if self.is_leaving {
            return self.report(batch_key, task, RunEnd::NotStarted(NotStarted::Leaving));
        }
        self.queue.push((batch_key, task));
    }
}
