//! How an owner handles the answers to its orders, and orders that stay unanswered.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::crash_evidence::CrashEvidence;
use super::held_batch::TaskIndex;
use super::leased_run::LeasedRun;
use super::leased_run::RunPhase;
use super::leased_run::StopReason;
use super::leased_upstream::Contact;
use super::leased_upstream::UnclaimedRun;
use super::owner::Owner;
use super::owner::OwnerNotice;
use super::owner::OwnerTimer;
use super::owner::PendingKind;
use super::owner::SupersededStart;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_message::FoundEnd;
use super::run_message::NotStarted;
use super::run_message::RunEnd;
use super::run_order::OrderAnswer;
use super::run_order::OrderRefusal;
use super::run_order::RenewReport;
use super::run_order::RunOrder;
use super::run_order::RunOutcome;
use super::run_order::RunningRow;
use super::whole_ms::whole_ms;
use crate::health::HealthChange;
use crate::time::Timestamp;

/// How long a renew order may wait for an end while something runs.
///
/// Most are answered sooner, by an end. A lost answer delays the reports of ends by this time.
pub(crate) const BUSY_RENEW_WAIT: Duration = Duration::from_millis(120);

/// How long a renew order may wait for an end while nothing runs. A task that starts meanwhile needs
/// no renewal before the answer: the lease that it starts with lasts longer.
pub(crate) const IDLE_RENEW_WAIT: Duration = Duration::from_millis(500);

/// The minimum time between two renew orders when the first one was answered without a new end.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(40);

/// How long after an unanswered renew order the next one is sent to an unreachable upstream with runs.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long after an unanswered renew order the next one is sent to an unreachable upstream without
/// runs.
const IDLE_UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// How long after a refused connection the next one is attempted to an upstream that may have
/// crashed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(5);

/// How long after an unanswered or failed stop it is ordered again, and after an unanswered probe the
/// next one is sent.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(40);

/// How long a run that no home claims may go on under a newer owner: that owner stops it after the
/// claim timeout, and if the stop does not arrive, its lease of a second expires.
const MAX_RUN_UNDER_NEWER_OWNER: Duration = Duration::from_millis(1_400);

/// The minimum expected run time of a run whose progress is probed early: a slow upstream
/// delays long runs most.
const MIN_EARLY_PROBE_RUN_TIME: Duration = Duration::from_millis(400);

/// How long after its start the progress of a long run is probed: by then it predicts the run time to
/// about a tenth.
const EARLY_PROBE_DELAY: Duration = Duration::from_millis(130);

/// How long homes may take to claim announced runs before these are stopped.
///
/// A message and its answer take a few milliseconds, at a busy instance some tens.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// The renew order that a report answers.
#[derive(Clone, Copy, Debug)]
struct AnsweredOrder {
    order: OrderId,
    sent_at: Timestamp,
}

impl Owner {
    /// Handles the answer to an order, or the lack of one.
    pub(crate) fn order_answered(&mut self, now: Timestamp, order: OrderId, answer: OrderAnswer) {
        let Some(pending) = self.orders.swap_remove(&order) else {
            return;
        };
        let upstream_key = pending.upstream;
        if !self.upstreams.contains_key(upstream_key) {
            return self.superseded_start_answered(now, order, &answer);
        }
        self.read_clock(now, upstream_key, &answer);
        self.record_crash_evidence(now, pending, &answer);
        match pending.kind {
            PendingKind::Start(run) => self.start_answered(now, upstream_key, run, answer),
            PendingKind::Stop(run) => self.stop_answered(now, upstream_key, run, &answer),
            PendingKind::Renew => {
                self.upstreams[upstream_key].is_renew_pending = false;
                let answered = AnsweredOrder {
                    order,
                    sent_at: pending.sent_at,
                };
                self.renew_answered(now, upstream_key, answered, answer);
            }
            PendingKind::Probe => {
                let answered = AnsweredOrder {
                    order,
                    sent_at: pending.sent_at,
                };
                self.probe_answered(now, upstream_key, answered, answer);
            }
        }
        self.check_crash(now, upstream_key);
    }

    /// Handles the answer to a start that was in flight when its upstream got a newer owner.
    fn superseded_start_answered(&mut self, now: Timestamp, order: OrderId, answer: &OrderAnswer) {
        let Some(SupersededStart { task, upstream }) = self.superseded_starts.swap_remove(&order)
        else {
            return;
        };
        match answer {
            OrderAnswer::Refused { .. } | OrderAnswer::NotSent | OrderAnswer::NoListener => {
                self.requeue(Some(task), None);
            }
            _ => self.hand_over(now, task, &upstream),
        }
    }

    /// Reports that a run may go on under a newer owner.
    ///
    /// The report may get lost, so its batch counts as held until the run must have ended.
    fn hand_over(&mut self, now: Timestamp, task: (HeldBatchKey, TaskIndex), upstream: &Arc<str>) {
        let (batch_key, index) = task;
        if let Some(batch) = self.batches.get(batch_key) {
            let name = (batch.home, batch.number);
            self.possibly_running
                .insert(name, now + MAX_RUN_UNDER_NEWER_OWNER);
        }
        let upstream = upstream.clone();
        self.report(batch_key, index, RunEnd::TakenOver { upstream });
    }

    fn read_clock(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        answer: &OrderAnswer,
    ) {
        let clock_ms = match answer {
            OrderAnswer::Done { clock_ms } | OrderAnswer::Refused { clock_ms, .. } => *clock_ms,
            _ => None,
        };
        if let Some(clock_ms) = clock_ms {
            self.upstreams[upstream_key].record_clock(clock_ms, now);
        }
    }

    fn start_answered(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        run: RunId,
        answer: OrderAnswer,
    ) {
        let since_order = self.next_order_id();
        let Some(leased) = self.upstreams[upstream_key].runs.get_mut(&run) else {
            return;
        };
        match answer {
            OrderAnswer::Done { .. } | OrderAnswer::Renewed(_) => {
                if let OrderAnswer::Done {
                    clock_ms: Some(clock_ms),
                } = answer
                {
                    leased.record_start(clock_ms);
                }
                if leased.phase == RunPhase::Starting {
                    leased.phase = RunPhase::Active { since_order };
                    if leased.expected_run_time >= MIN_EARLY_PROBE_RUN_TIME {
                        let probe = OwnerTimer::Probe(upstream_key);
                        self.timers.subscribe(now + EARLY_PROBE_DELAY, probe);
                    }
                }
            }
            OrderAnswer::Lost | OrderAnswer::Closed | OrderAnswer::Reset => {
                leased.may_start_late = answer != OrderAnswer::Closed;
                if leased.phase == RunPhase::Starting {
                    tracing::warn!(job = %run.task.job, run = %run, "start not answered");
                    leased.phase = RunPhase::Uncertain { since_order };
                }
                self.probe(now, upstream_key);
            }
            OrderAnswer::NotSent | OrderAnswer::NoListener => {
                self.start_refused(now, upstream_key, run, None);
                self.mark_unreachable(now, upstream_key);
            }
            OrderAnswer::Refused { refusal, .. } => {
                self.start_refused(now, upstream_key, run, Some(refusal));
            }
        }
    }

    /// Removes a run that the upstream did not start; requeues its task, or ends it where another
    /// upstream would refuse it as well. `refusal` is none when the order was not sent.
    fn start_refused(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        run: RunId,
        refusal: Option<OrderRefusal>,
    ) {
        let upstream = &mut self.upstreams[upstream_key];
        let Some(leased) = upstream.runs.swap_remove(&run) else {
            return;
        };
        let id = upstream.listed.id.clone();
        let reason = refusal.map_or("not_sent".to_owned(), |refusal| refusal.to_string());
        let free_millicores = upstream.free().cpu_millicores;
        tracing::warn!(
            job = %run.task.job, run = %run, upstream = %id, reason, free_millicores,
            "start refused"
        );
        match refusal {
            Some(OrderRefusal::OldRun) => self.report_unstarted(leased.task, NotStarted::OldRun),
            Some(OrderRefusal::Invalid) => self.report_unstarted(leased.task, NotStarted::Invalid),
            Some(OrderRefusal::NoCapacity) => {
                upstream.health.on_refusal(now);
                self.requeue(leased.task, None);
                self.wake_on_health_change(now, upstream_key);
            }
            Some(OrderRefusal::LeaseExpired) => {
                self.requeue(leased.task, None);
                self.probe(now, upstream_key);
            }
            Some(OrderRefusal::Unhealthy) => {
                self.count_failure(now, upstream_key);
                self.requeue(leased.task, Some(id));
            }
            Some(OrderRefusal::Fence) => {
                self.requeue(leased.task, None);
                self.relinquish_to_newer_owner(now, upstream_key);
            }
            Some(OrderRefusal::OtherIncarnation) => {
                self.requeue(leased.task, None);
                self.on_upstream_replaced(now, upstream_key);
            }
            None => self.requeue(leased.task, Some(id)),
        }
    }

    fn report_unstarted(&mut self, task: Option<(HeldBatchKey, TaskIndex)>, why: NotStarted) {
        self.mark_dirty();
        if let Some((batch_key, task)) = task {
            self.report(batch_key, task, RunEnd::NotStarted(why));
        }
    }

    fn stop_answered(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        run: RunId,
        answer: &OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Done { .. } => self.stop_acknowledged(now, upstream_key, run),
            OrderAnswer::Refused { refusal, .. } => match refusal {
                OrderRefusal::Fence => self.relinquish_to_newer_owner(now, upstream_key),
                OrderRefusal::OtherIncarnation => self.on_upstream_replaced(now, upstream_key),
                _ => self.schedule_stop_retry(now, upstream_key, run),
            },
            _ => self.schedule_stop_retry(now, upstream_key, run),
        }
    }

    fn stop_acknowledged(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey, run: RunId) {
        let since_order = self.next_order_id();
        let Some(leased) = self.upstreams[upstream_key].runs.get_mut(&run) else {
            return;
        };
        let RunPhase::Stopping {
            acknowledged,
            reason,
        } = &mut leased.phase
        else {
            return;
        };
        *acknowledged = Some(since_order);
        let may_not_have_started = *reason == StopReason::Uncertain;
        if may_not_have_started {
            self.probe(now, upstream_key);
        }
    }

    fn schedule_stop_retry(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey, run: RunId) {
        let again = OwnerTimer::StopRetry(upstream_key, run);
        self.timers.subscribe(now + STOP_RETRY_DELAY, again);
    }

    fn renew_answered(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        answered: AnsweredOrder,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Renewed(report) => {
                let has_new_ends = self.apply_report(now, upstream_key, answered, report);
                let is_early = now.since(answered.sent_at) < MIN_RENEW_INTERVAL;
                if !self.upstreams.contains_key(upstream_key) {
                    return;
                }
                if has_new_ends || !is_early {
                    self.renew(now, upstream_key);
                } else {
                    self.timers
                        .subscribe(now + MIN_RENEW_INTERVAL, OwnerTimer::Renew(upstream_key));
                }
            }
            OrderAnswer::Refused { refusal, .. } => {
                self.renew_refused(now, upstream_key, refusal);
            }
            _ => self.renew_missed(now, upstream_key),
        }
    }

    /// Handles an unanswered renew order: repeats the first one at once, since a single message may be
    /// lost, and counts the upstream as unreachable after the second.
    fn renew_missed(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let upstream = &mut self.upstreams[upstream_key];
        let is_first = upstream.contact == Contact::Reachable && !upstream.has_missed_renew;
        upstream.has_missed_renew = true;
        if is_first {
            return self.renew(now, upstream_key);
        }
        self.mark_unreachable(now, upstream_key);
    }

    fn probe_answered(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        answered: AnsweredOrder,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Renewed(report) => {
                self.apply_report(now, upstream_key, answered, report);
            }
            OrderAnswer::Refused { refusal, .. } => {
                self.renew_refused(now, upstream_key, refusal);
            }
            // The renew order beside it shows whether the upstream is unreachable.
            _ => self.retry_probe(now, upstream_key),
        }
    }

    /// Probes again soon where a start or a stop is still unconfirmed.
    fn retry_probe(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let mut runs = self.upstreams[upstream_key].runs.values();
        let is_unconfirmed = runs.any(|run| !matches!(run.phase, RunPhase::Active { .. }));
        if is_unconfirmed {
            let probe = OwnerTimer::Probe(upstream_key);
            self.timers.subscribe(now + STOP_RETRY_DELAY, probe);
        }
    }

    fn renew_refused(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        refusal: OrderRefusal,
    ) {
        match refusal {
            OrderRefusal::Fence => self.relinquish_to_newer_owner(now, upstream_key),
            OrderRefusal::OtherIncarnation => self.on_upstream_replaced(now, upstream_key),
            _ => {
                let id = &self.upstreams[upstream_key].listed.id;
                tracing::warn!(upstream = %id, %refusal, "renew order refused");
                self.mark_unreachable(now, upstream_key);
            }
        }
    }

    /// Sends an order that renews the leases on an upstream and waits for ends, unless one is pending.
    pub(crate) fn renew(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let lease = self.lease;
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else {
            return;
        };
        if upstream.is_renew_pending {
            return;
        }
        upstream.is_renew_pending = true;
        let wait = match upstream.contact {
            Contact::Reachable if upstream.has_missed_renew => Duration::ZERO,
            Contact::Reachable if upstream.has_only_unclaimed_runs() => BUSY_RENEW_WAIT,
            Contact::Reachable if upstream.runs.is_empty() => IDLE_RENEW_WAIT,
            Contact::Reachable => BUSY_RENEW_WAIT,
            _ => Duration::ZERO,
        };
        upstream.awaits_claim = upstream.has_only_unclaimed_runs();
        // Leases are not renewed on an upstream that does not answer, so that they expire in time.
        let lease_until_ms = match upstream.contact {
            Contact::Reachable if !upstream.has_missed_renew && !upstream.awaits_claim => {
                upstream.extend_lease(now, lease)
            }
            _ => None,
        };
        let order = RunOrder::Renew {
            lease_until_ms,
            fence: upstream.fence,
            acknowledged_end: upstream.acknowledged_end,
            wait,
        };
        self.send_order(now, upstream_key, PendingKind::Renew, order);
    }

    /// Polls an upstream for an immediate report, beside a waiting renew order.
    fn probe(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        self.send_probe(now, upstream_key, None);
    }

    /// Extends the leases on an upstream where a home has claimed the first run, if the renew order
    /// that is waiting did not.
    pub(crate) fn extend_claimed_lease(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let lease = self.lease;
        let upstream = &mut self.upstreams[upstream_key];
        if !std::mem::take(&mut upstream.awaits_claim) {
            return;
        }
        let lease_until_ms = upstream.extend_lease(now, lease);
        self.send_probe(now, upstream_key, lease_until_ms);
    }

    fn send_probe(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        lease_until_ms: Option<u64>,
    ) {
        let Some(upstream) = self.upstreams.get(upstream_key) else {
            return;
        };
        let order = RunOrder::Renew {
            lease_until_ms,
            fence: upstream.fence,
            acknowledged_end: upstream.acknowledged_end,
            wait: Duration::ZERO,
        };
        self.send_order(now, upstream_key, PendingKind::Probe, order);
    }

    /// Applies an upstream's report; returns whether it lists new ends.
    fn apply_report(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        answered: AnsweredOrder,
        report: RenewReport,
    ) -> bool {
        let lease = self.lease;
        let upstream = &mut self.upstreams[upstream_key];
        let is_first_report = upstream.contact == Contact::TakingOver;
        if upstream.born_unix_ms.is_some() && report.born_unix_ms != upstream.born_unix_ms {
            self.begin_incarnation(now, upstream_key, report.born_unix_ms);
        }
        let upstream = &mut self.upstreams[upstream_key];
        upstream.born_unix_ms = report.born_unix_ms.or(upstream.born_unix_ms);
        upstream.record_clock(report.clock_ms, now);
        if upstream.contact == Contact::TakingOver {
            // Earlier leases were granted on another clock or by another owner. None ends later
            // than a full lease from now.
            upstream.lease_until_ms = report.clock_ms.saturating_add(whole_ms(lease));
        }
        upstream.has_missed_renew = false;
        let is_exact = upstream.is_exact_end(now, answered.sent_at, report.clock_ms);
        upstream.last_report_clock_ms = report.clock_ms;
        upstream.last_report_at = now;
        if upstream.contact != Contact::Reachable {
            tracing::info!(upstream = %upstream.listed.id, "upstream reachable");
            upstream.contact = Contact::Reachable;
            self.mark_dirty();
        }
        let (has_new_ends, found) = self.apply_ends(now, upstream_key, is_exact, &report);
        self.apply_running(now, upstream_key, answered, &report);
        self.handle_vanished_runs(now, upstream_key, answered, &report.running);
        self.announce_unclaimed_runs(now, upstream_key, answered, is_first_report, found);
        self.drop_if_released(upstream_key);
        has_new_ends
    }

    /// Applies the listed ends that are new; returns whether there were any, and the ends of runs that
    /// this instance did not order.
    fn apply_ends(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        is_exact: bool,
        report: &RenewReport,
    ) -> (bool, Vec<FoundEnd>) {
        let mut has_new_ends = false;
        let mut found = Vec::new();
        for row in &report.ended {
            let upstream = &mut self.upstreams[upstream_key];
            if row.number <= upstream.acknowledged_end {
                continue;
            }
            upstream.acknowledged_end = row.number;
            has_new_ends = true;
            let Some(run) = row.run else {
                continue;
            };
            upstream.unclaimed_runs.swap_remove(&run);
            if upstream.runs.contains_key(&run) {
                let clock_ms = is_exact.then_some(report.clock_ms);
                self.end_run(now, upstream_key, run, row.how, clock_ms);
            } else {
                upstream.record_unclaimed_end(run, row.how);
                found.push(FoundEnd {
                    run,
                    done: row.how == RunOutcome::Done,
                    failed: row.how == RunOutcome::Failed,
                });
            }
        }
        (has_new_ends, found)
    }

    /// Handles the end of a run; `ended_clock_ms` is the time of it on the upstream's clock, where
    /// that is known.
    fn end_run(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        run: RunId,
        how: RunOutcome,
        ended_clock_ms: Option<u64>,
    ) {
        let upstream = &mut self.upstreams[upstream_key];
        let Some(leased) = upstream.runs.swap_remove(&run) else {
            return;
        };
        let id = upstream.listed.id.clone();
        let run_time = ended_clock_ms.and_then(|clock_ms| leased.whole_run_time_at(clock_ms));
        let took = now.since(leased.ordered_at);
        tracing::info!(
            job = %run.task.job, run = %run, upstream = %id, how = %how,
            took_ms = whole_ms(took), run_ms = run_time.map(whole_ms),
            expected_ms = whole_ms(leased.expected_run_time),
            "run ended"
        );
        let end = match how {
            RunOutcome::Done => {
                // Every end triggers a pass through the queue, whether or not it restored the upstream.
                let _ = upstream.health.on_success(now);
                let slowness = upstream.speed.slowness();
                let work = run_time.map(|run_time| run_time.div_f64(slowness));
                RunEnd::Done {
                    work: work.unwrap_or_default(),
                }
            }
            RunOutcome::Failed => {
                if leased.task.is_some() {
                    self.count_failure(now, upstream_key);
                }
                RunEnd::Failed { upstream: id }
            }
            RunOutcome::Stopped | RunOutcome::LeaseExpired | RunOutcome::Other => {
                match leased.predicted_work {
                    Some(work) => RunEnd::TooSlow { work, upstream: id },
                    None => RunEnd::Lost { upstream: id },
                }
            }
        };
        self.mark_dirty();
        if let Some((batch_key, task)) = leased.task {
            if let Some(run_time) = run_time.filter(|_| how == RunOutcome::Done) {
                self.learn_speeds(upstream_key, batch_key, task, run_time);
            }
            self.report(batch_key, task, end);
        }
    }

    fn apply_running(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        answered: AnsweredOrder,
        report: &RenewReport,
    ) {
        let RenewReport {
            clock_ms, running, ..
        } = report;
        let mut infeasible = Vec::new();
        let next_order = self.next_order_id();
        let upstream = &mut self.upstreams[upstream_key];
        let clock = upstream.furthest_clock;
        for row in running {
            match upstream.runs.get_mut(&row.run) {
                Some(leased) => {
                    leased.record_progress(*clock_ms, next_order, row.percent);
                    let batch = leased.task.and_then(|(batch, _)| self.batches.get(batch));
                    let ends_at = leased.predicted_end_ms().zip(clock);
                    let ends_at = ends_at.map(|(end_ms, clock)| clock.reached_at(end_ms).max(now));
                    let is_too_late = batch
                        .zip(ends_at)
                        .is_some_and(|(batch, ends_at)| ends_at > batch.deadline);
                    if let Some(reason) = reason_to_stop(leased, *clock_ms, is_too_late) {
                        infeasible.push((row.run, reason));
                    }
                }
                None => {
                    upstream
                        .unclaimed_runs
                        .entry(row.run)
                        .or_insert(UnclaimedRun {
                            since_order: next_order,
                            is_announced: false,
                        });
                }
            }
        }
        // A report on an order that was sent before the run was first listed may be older than the
        // run, so its absence there does not mean that the run has ended.
        let is_listed = |run: &RunId| running.iter().any(|row| row.run == *run);
        upstream
            .unclaimed_runs
            .retain(|run, unclaimed| is_listed(run) || answered.order < unclaimed.since_order);
        for (run, reason) in infeasible {
            self.stop_infeasible(now, upstream_key, run, reason);
        }
    }

    fn stop_infeasible(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        run: RunId,
        reason: StopReason,
    ) {
        match reason {
            StopReason::Stalled => self.count_failure(now, upstream_key),
            StopReason::Crawling | StopReason::TooLong => {
                self.predict_work(upstream_key, run, reason);
            }
            _ => {}
        }
        self.stop(now, upstream_key, run, reason);
    }

    /// Records the work that a run that is too slow is predicted to take, and learns its upstream's
    /// speed from it when the run counts as crawling.
    fn predict_work(&mut self, upstream_key: LeasedUpstreamKey, run: RunId, reason: StopReason) {
        let upstream = &mut self.upstreams[upstream_key];
        let Some(leased) = upstream.runs.get_mut(&run) else {
            return;
        };
        let predicted = leased.predicted_run_time();
        leased.predicted_work = Some(predicted.div_f64(upstream.speed.slowness()));
        if reason == StopReason::Crawling {
            let expected = leased.expected_run_time;
            upstream.speed.observe_crawling(expected, predicted);
        }
    }

    /// Handles runs that a report lists neither as running nor as ended, where it answers an order sent
    /// after their state was known.
    fn handle_vanished_runs(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        answered: AnsweredOrder,
        running: &[RunningRow],
    ) {
        let is_listed = |run: &RunId| running.iter().any(|row| row.run == *run);
        let upstream = &self.upstreams[upstream_key];
        let missing = upstream.runs.iter().filter(|(run, _)| !is_listed(run));
        let missing: Vec<(RunId, RunPhase, bool)> = missing
            .map(|(run, leased)| (*run, leased.phase, leased.has_seen_restart))
            .collect();
        for (run, phase, has_seen_restart) in missing {
            match phase {
                RunPhase::Active { since_order } if answered.order >= since_order => {
                    self.on_run_lost(upstream_key, run, "vanished");
                }
                RunPhase::Uncertain { since_order } if answered.order >= since_order => {
                    self.stop(now, upstream_key, run, StopReason::Uncertain);
                }
                RunPhase::Stopping {
                    reason,
                    acknowledged: Some(since_order),
                } if answered.order >= since_order => match reason {
                    StopReason::Uncertain if !has_seen_restart => {
                        self.withdraw_start(upstream_key, run);
                    }
                    _ => self.on_run_lost(upstream_key, run, "stopped"),
                },
                _ => {}
            }
        }
    }

    /// Reports a task as not started whose start never took effect and never will.
    fn withdraw_start(&mut self, upstream_key: LeasedUpstreamKey, run: RunId) {
        let upstream = &mut self.upstreams[upstream_key];
        let id = upstream.listed.id.clone();
        tracing::info!(job = %run.task.job, run = %run, upstream = %id, "start withdrawn");
        if let Some(leased) = upstream.runs.swap_remove(&run) {
            // The upstream refuses a start with this run number from now on.
            self.report_unstarted(leased.task, NotStarted::OldRun);
        }
    }

    /// Handles a run that no longer runs and has no known end: reports it as lost.
    pub(crate) fn on_run_lost(&mut self, upstream_key: LeasedUpstreamKey, run: RunId, why: &str) {
        let upstream = &mut self.upstreams[upstream_key];
        let Some(leased) = upstream.runs.swap_remove(&run) else {
            return;
        };
        let id = upstream.listed.id.clone();
        tracing::warn!(job = %run.task.job, run = %run, upstream = %id, why, "run lost");
        self.mark_dirty();
        if let Some((batch_key, task)) = leased.task {
            self.report(batch_key, task, RunEnd::Lost { upstream: id });
        }
    }

    /// Handles the loss of all runs of an upstream.
    fn on_all_runs_lost(&mut self, upstream_key: LeasedUpstreamKey, why: &str) {
        let runs: Vec<RunId> = self.upstreams[upstream_key].runs.keys().copied().collect();
        for run in runs {
            self.on_run_lost(upstream_key, run, why);
        }
    }

    /// Announces to all homes the runs that this instance did not order, so that they can claim them,
    /// and the ends of such runs.
    fn announce_unclaimed_runs(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        answered: AnsweredOrder,
        is_first_report: bool,
        ended: Vec<FoundEnd>,
    ) {
        let upstream = &mut self.upstreams[upstream_key];
        let mut running = Vec::new();
        for (run, unclaimed) in &mut upstream.unclaimed_runs {
            if !unclaimed.is_announced
                && (is_first_report || answered.order >= unclaimed.since_order)
            {
                unclaimed.is_announced = true;
                running.push(*run);
            }
        }
        if running.is_empty() && ended.is_empty() {
            return;
        }
        let id = upstream.listed.id.clone();
        let fence = upstream.fence;
        for run in &running {
            tracing::info!(job = %run.task.job, run = %run, upstream = %id, fence, "run of another owner found");
        }
        for FoundEnd { run, done, failed } in &ended {
            tracing::info!(job = %run.task.job, run = %run, upstream = %id, fence, done, failed, "end of another owner's run found");
        }
        if !running.is_empty() {
            let claim_timeout = OwnerTimer::ClaimTimeout(upstream_key);
            self.timers.subscribe(now + CLAIM_TIMEOUT, claim_timeout);
        }
        self.notices.push(OwnerNotice::Found {
            upstream: id,
            fence,
            running,
            ended,
        });
    }

    /// Marks an upstream that does not answer as unreachable, and schedules the next renew order and
    /// the expiry of its leases.
    fn mark_unreachable(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else {
            return;
        };
        // A restarted upstream that still has runs from before its restart may be unreachable too.
        let has_runs = !upstream.runs.is_empty();
        if upstream.contact == Contact::Reachable
            || (upstream.contact == Contact::TakingOver && has_runs)
        {
            let runs = upstream.runs.len();
            tracing::warn!(upstream = %upstream.listed.id, runs, "upstream unreachable");
            upstream.contact = Contact::Unreachable { since: now };
        }
        if !upstream.runs.is_empty()
            && let Some(at) = upstream.leases_expire_at()
        {
            self.timers
                .subscribe(at.max(now), OwnerTimer::LeaseExpiry(upstream_key));
        }
        let retry = match upstream.runs.is_empty() {
            _ if upstream.crash_evidence.needs_check(now) => CRASH_CHECK_DELAY,
            true => IDLE_UNREACHABLE_RETRY_DELAY,
            false => UNREACHABLE_RETRY_DELAY,
        };
        self.timers
            .subscribe(now + retry, OwnerTimer::Renew(upstream_key));
    }

    /// Reports all runs of an upstream as lost if it is still unreachable and its leases have expired.
    fn expire_leases(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get(upstream_key) else {
            return;
        };
        let is_unreachable = matches!(upstream.contact, Contact::Unreachable { .. });
        match upstream.leases_expire_at() {
            Some(at) if is_unreachable && at <= now => {
                self.on_all_runs_lost(upstream_key, "lease_over");
                self.drop_if_released(upstream_key);
            }
            Some(at) if is_unreachable && !upstream.runs.is_empty() => {
                self.timers
                    .subscribe(at, OwnerTimer::LeaseExpiry(upstream_key));
            }
            _ => {}
        }
    }

    /// Resets what is known of an upstream that has restarted.
    ///
    /// Runs of the previous incarnation have ended, but a start in flight may have reached the new one:
    /// runs that its next report does not list are lost.
    pub(crate) fn begin_incarnation(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        born_unix_ms: Option<u64>,
    ) {
        self.report_crash(now, upstream_key, "restarted");
        let upstream = &mut self.upstreams[upstream_key];
        upstream.crash_evidence = CrashEvidence::default();
        let id = &upstream.listed.id;
        tracing::warn!(upstream = %id, ?born_unix_ms, "upstream restarted");
        upstream.born_unix_ms = born_unix_ms;
        upstream.raise_fence();
        upstream.acknowledged_end = 0;
        upstream.furthest_clock = None;
        upstream.contact = Contact::TakingOver;
        upstream.unclaimed_runs.clear();
        upstream.unclaimed_ends.clear();
        for leased in upstream.runs.values_mut() {
            leased.has_seen_restart = true;
        }
    }

    /// Handles an upstream at whose address another one answers: all its runs are lost.
    fn on_upstream_replaced(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        self.report_crash(now, upstream_key, "replaced");
        self.on_all_runs_lost(upstream_key, "upstream_replaced");
        self.mark_unreachable(now, upstream_key);
    }

    /// Relinquishes an upstream that another instance owns under this fence, if it is the higher one.
    pub(crate) fn relinquish_upstream(&mut self, now: Timestamp, id: &str, fence: u64) {
        let Some(upstream_key) = self.by_id.get(id).copied() else {
            return;
        };
        if self.upstreams[upstream_key].fence < fence {
            self.relinquish_to_newer_owner(now, upstream_key);
        }
    }

    /// Relinquishes an upstream to the instance that owns it under a higher fence: hands its runs over,
    /// except starts in flight, whose answers tell whether they run.
    fn relinquish_to_newer_owner(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let Some(upstream) = self.remove(upstream_key) else {
            return;
        };
        let id = upstream.listed.id.clone();
        let (fence, version) = (upstream.fence, upstream.roster_version());
        let runs = upstream.runs.len();
        tracing::warn!(upstream = %id, fence, runs, "upstream has a newer owner");
        self.relinquished.insert(id, version);
        self.possibly_running.retain(|_, until| *until > now);
        let starts = self
            .orders
            .iter()
            .filter_map(|(order, pending)| match pending.kind {
                PendingKind::Start(run) if pending.upstream == upstream_key => Some((run, *order)),
                _ => None,
            });
        let starts: IndexMap<RunId, OrderId> = starts.collect();
        for (run, leased) in upstream.runs {
            if let Some(batch) = leased.dropped_batch {
                self.possibly_running
                    .insert(batch, now + MAX_RUN_UNDER_NEWER_OWNER);
            }
            let Some(task) = leased.task else {
                continue;
            };
            let upstream = upstream.listed.id.clone();
            match starts.get(&run) {
                // The answer will tell whether the run started.
                Some(order) if leased.phase == RunPhase::Starting => {
                    let superseded = SupersededStart { task, upstream };
                    self.superseded_starts.insert(*order, superseded);
                }
                _ => self.hand_over(now, task, &upstream),
            }
        }
    }

    fn count_failure(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let upstream = &mut self.upstreams[upstream_key];
        let service = upstream.listed.service.clone();
        if upstream.health.on_failure(now) == HealthChange::Ejected {
            tracing::warn!(upstream = %upstream.listed.id, "upstream ejected");
            self.review_ejections(now, &service);
        }
        self.wake_on_health_change(now, upstream_key);
    }

    fn wake_on_health_change(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        if let Some(at) = self.upstreams[upstream_key].health.next_change(now) {
            self.timers.subscribe(at, OwnerTimer::Dispatch);
        }
    }

    /// Stops the announced runs that no home has claimed, until they are no longer listed.
    fn stop_unclaimed(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else {
            return;
        };
        let due = upstream.unclaimed_runs.iter();
        let due = due.filter(|(_, unclaimed)| unclaimed.is_announced);
        let due: Vec<RunId> = due.map(|(run, _)| *run).collect();
        if due.is_empty() {
            return;
        }
        for run in due {
            self.stop(now, upstream_key, run, StopReason::Unclaimed);
        }
        let again = OwnerTimer::ClaimTimeout(upstream_key);
        self.timers.subscribe(now + CLAIM_TIMEOUT, again);
    }

    /// Handles the timers that are due.
    pub(crate) fn run_timers(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                OwnerTimer::Renew(key) => self.renew(now, key),
                OwnerTimer::LeaseExpiry(key) => self.expire_leases(now, key),
                OwnerTimer::ClaimTimeout(key) => self.stop_unclaimed(now, key),
                OwnerTimer::StopRetry(key, run) => self.retry_stop(now, key, run),
                OwnerTimer::Probe(key) => self.probe(now, key),
                OwnerTimer::EndExpected(key, since) => self.check_missing_end(now, key, since),
                OwnerTimer::Dispatch => self.mark_dirty(),
            }
        }
    }

    /// Polls an upstream that has sent no report since a run started that should have ended by now.
    fn check_missing_end(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        since: Timestamp,
    ) {
        let upstream = self.upstreams.get(upstream_key);
        if upstream
            .is_some_and(|upstream| upstream.last_report_at < since && !upstream.runs.is_empty())
        {
            self.probe(now, upstream_key);
        }
    }

    fn retry_stop(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey, run: RunId) {
        let Some(upstream) = self.upstreams.get(upstream_key) else {
            return;
        };
        let Some(leased) = upstream.runs.get(&run) else {
            return;
        };
        if let RunPhase::Stopping { reason, .. } = leased.phase {
            self.stop(now, upstream_key, run, reason);
        }
    }
}

/// Why a run that a report of this time on the upstream's clock lists as running should be stopped;
/// none when it should go on. `is_too_late` tells whether it is predicted to end after its deadline.
fn reason_to_stop(leased: &LeasedRun, clock_ms: u64, is_too_late: bool) -> Option<StopReason> {
    if leased.is_stalled(clock_ms) {
        return Some(StopReason::Stalled);
    }
    if leased.is_crawling(clock_ms) {
        return Some(StopReason::Crawling);
    }
    let is_active = matches!(leased.phase, RunPhase::Active { .. });
    (is_active && is_too_late).then_some(StopReason::TooLong)
}
