//! How an owner starts the queued tasks, and sends orders.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;

use super::held_batch::HeldBatch;
use super::held_batch::HeldState;
use super::held_batch::TaskIndex;
use super::held_queue::QueuedTask;
use super::leased_run::LeasedRun;
use super::leased_run::RunPhase;
use super::leased_run::StopReason;
use super::overload::free_for_tasks::FreeForTasks;
use super::owner::Owner;
use super::owner::OwnerTimer;
use super::owner::PendingKind;
use super::owner::PendingOrder;
use super::run_action::RunAction;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_message::NotStarted;
use super::run_message::RunEnd;
use super::run_order::AddressedOrder;
use super::run_order::RunOrder;
use super::upstream_choice::CandidateUpstream;
use super::whole_ms::whole_ms;
use crate::scaling::percent_of;
use crate::scaling::scaled;
use crate::time::Timestamp;

/// The maximum number of passes through the queue at a time: the end of a reservation lets other tasks
/// start.
const MAX_PASSES: usize = 2;

/// The maximum number of queued tasks that are skipped in one pass because no upstream can take
/// them; the tasks behind them wait for the next pass.
const MAX_BYPASSES: usize = 24;

/// When the end of a run is checked for, in percent of its expected run time: few runs last longer.
const END_CHECK_PERCENT: u32 = 150;

/// Added to the time of that check, so that short runs are not checked too early.
const END_CHECK_MARGIN: Duration = Duration::from_millis(40);

impl Owner {
    /// Starts the queued tasks that fit somewhere, in the order of the ranking, and drops those that
    /// have waited too long.
    pub(crate) fn start_queued(&mut self, now: Timestamp) {
        for _ in 0..MAX_PASSES {
            if !std::mem::take(&mut self.is_dirty) {
                return;
            }
            self.start_in_order(now);
            self.reserve_upstream(now);
        }
    }

    fn start_in_order(&mut self, now: Timestamp) {
        if self.queue.is_empty() {
            return;
        }
        self.drop_too_late(now);
        self.return_evacuated();
        self.return_unservable();
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_cached_key(|(batch_key, task)| {
            let batch = &self.batches[*batch_key];
            let ranking = match self.by_priority.contains(&batch.service) {
                true => &self.cost_ranking,
                false => &self.ranking,
            };
            ranking.rank(now, &queued_task(batch, *task))
        });
        let reserves = self.reserves(now);
        let starved = self.advance_starved(now, &mut queue);
        let mut bypasses = 0;
        let mut left = Vec::new();
        for (position, (batch_key, task)) in queue.into_iter().enumerate() {
            if !self
                .requesters
                .is_current(now, self.batches[batch_key].home)
            {
                left.push((batch_key, task));
                continue;
            }
            let service = &self.batches[batch_key].service;
            let reserve = match reserves.get(service) {
                Some(reserves) if position >= starved && bypasses < MAX_BYPASSES => {
                    self.reserve_before(now, batch_key, task, reserves)
                }
                _ => None,
            };
            let upstream = match bypasses < MAX_BYPASSES {
                true => self.choose_upstream(now, batch_key, task, reserve),
                false => None,
            };
            let is_started =
                upstream.is_some_and(|upstream_key| self.start(now, upstream_key, batch_key, task));
            if !is_started {
                bypasses += 1;
                left.push((batch_key, task));
            }
        }
        self.queue = left;
        self.drop_overdue(now);
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
        let by_priority = self.by_priority.clone();
        let waits_until = |batch: &HeldBatch, task| waits_until(&by_priority, batch, task);
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
            .map(|(batch_key, task)| waits_until(&self.by_priority, &batches[*batch_key], *task));
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
        reserve: Option<FreeForTasks>,
    ) -> Option<LeasedUpstreamKey> {
        let batch = &self.batches[batch_key];
        let step_demand = batch.step_demand(task);
        let avoid = &batch.tasks[task].placed.avoid;
        let is_alone = batch.tasks[task].placed.is_alone;
        if is_alone && !self.may_start_lone_run(now, &batch.service) {
            return None;
        }
        let mut candidate_keys = Vec::new();
        let mut candidates = Vec::new();
        for (upstream_key, upstream) in &self.upstreams {
            let free = upstream.free();
            let label = step_demand.required_label.as_deref();
            let is_candidate = upstream.listed.service == batch.service
                && step_demand.resources.fits(free)
                && reserve.is_none_or(|reserve| reserve.allows(free, step_demand.resources))
                && label.is_none_or(|label| upstream.listed.has_label(label))
                && match is_alone {
                    true => upstream.can_take_lone_run(now),
                    false => upstream.can_take_work(now),
                }
                && self.is_within_limit(upstream_key, batch_key, task)
                && self.has_short_lease(now, upstream_key, batch_key);
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

    /// Orders a task to start; returns false if no lease can be ordered for it.
    fn start(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        batch_key: HeldBatchKey,
        task: TaskIndex,
    ) -> bool {
        let home = self.batches[batch_key].home;
        let Some(lease_until_ms) = self.extend_lease(now, upstream_key, Some(batch_key)) else {
            return false;
        };
        let batch = &mut self.batches[batch_key];
        let run = batch.run(task);
        let step_demand = batch.step_demand(task);
        let (demand, usual) = (step_demand.resources, batch.expected_run_time(task));
        let (queue, payload) = (batch.queue.clone(), batch.payload.clone());
        let is_alone = batch.tasks[task].placed.is_alone;
        let waited_ms = whole_ms(now.since(batch.accepted_at));
        let batch_number = batch.number;
        let home_age_ms = self.requesters.age(now, home).map(whole_ms);
        batch.tasks[task].state = HeldState::Running(upstream_key);
        batch.has_begun = true;
        let (service, priority, work) = (&batch.service, batch.priority, batch.core_ms(task));
        if self.by_priority.contains(service) {
            self.recent_starts
                .record(now, service, priority, demand.cpu_millicores, work);
        }
        let upstream = &mut self.upstreams[upstream_key];
        let expected = scaled(usual, upstream.speed.slowness());
        let mut leased = LeasedRun::starting((batch_key, task), queue, demand, usual, now);
        leased.expected_run_time = expected;
        leased.is_alone = is_alone;
        upstream.runs.insert(run, leased);
        if upstream.runs.len() == 1 {
            // The pending renew order may wait long, and its answer may be lost.
            let end_expected = OwnerTimer::EndExpected(upstream_key, now);
            let at = now + percent_of(expected, END_CHECK_PERCENT) + END_CHECK_MARGIN;
            self.timers.subscribe(at, end_expected);
        }
        let fence = upstream.fence;
        let slowness_percent = upstream.speed.slowness_percent();
        tracing::info!(
            job = %run.task.job, run = %run, upstream = %upstream.listed.id, fence, waited_ms, is_alone, priority,
            %home, batch = batch_number, home_age_ms,
            expected_ms = whole_ms(expected), slowness_percent, free_millicores = upstream.free().cpu_millicores,
            listing_version = self.known_listing.version, listing_origin = %self.known_listing.origin,
            listing_age_ms = self.known_listing.as_of.map(|at| whole_ms(now.since(at))), "run ordered"
        );
        let order = RunOrder::Start {
            run,
            payload,
            lease_until_ms,
            fence,
        };
        self.send_order(now, upstream_key, PendingKind::Start(run), order);
        true
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
        if let Some(unclaimed) = upstream.unclaimed_runs.get_mut(&run) {
            unclaimed.is_stopping = true;
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
        self.check_ordered_lease(now, upstream_key, &order);
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
}

/// Until when a task waits for free capacity; where overload is handled by priority, a task of a job
/// that has not begun waits only as long as it can meet its job's objective.
fn waits_until(by_priority: &IndexSet<Arc<str>>, batch: &HeldBatch, task: TaskIndex) -> Timestamp {
    match by_priority.contains(&batch.service) {
        true => batch.waits_in_time_until(task),
        false => batch.waits_until(task),
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
        core_ms: batch.core_ms(task),
    }
}
