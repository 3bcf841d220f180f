//! How an owner handles the answers to its orders, and orders that stay unanswered.

use std::time::Duration;

use super::held_batch::TaskIndex;
use super::leased_run::RunPhase;
use super::leased_run::StopReason;
use super::leased_upstream::Contact;
use super::owner::Owner;
use super::owner::OwnerTimer;
use super::owner::PendingKind;
use super::owner::SupersededStart;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_message::NotStarted;
use super::run_message::RunEnd;
use super::run_order::OrderAnswer;
use super::run_order::OrderRefusal;
use crate::health::HealthChange;
use crate::time::Timestamp;

/// The minimum time between two renew orders when the first one was answered without a new end.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(40);

/// How long after an unanswered or failed stop it is ordered again, and after an unanswered probe the
/// next one is sent.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The minimum expected run time of a run whose progress is probed early: a slow upstream
/// delays long runs most.
const MIN_EARLY_PROBE_RUN_TIME: Duration = Duration::from_millis(400);

/// How long after its start the progress of a long run is probed: by then it predicts the run time to
/// about a tenth.
const EARLY_PROBE_DELAY: Duration = Duration::from_millis(130);

/// How long homes may take to claim announced runs before these are stopped.
///
/// A message and its answer take a few milliseconds, at a busy instance some tens.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// The renew order that a report answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredOrder {
    pub(crate) order: OrderId,
    pub(crate) sent_at: Timestamp,
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

    pub(crate) fn report_unstarted(
        &mut self,
        task: Option<(HeldBatchKey, TaskIndex)>,
        why: NotStarted,
    ) {
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
        let upstream = &mut self.upstreams[upstream_key];
        if let Some(unclaimed) = upstream.unclaimed_runs.get_mut(&run) {
            unclaimed.is_stopping = false;
        }
        let Some(leased) = upstream.runs.get_mut(&run) else {
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
                self.extend_withheld_lease(now, upstream_key);
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

    pub(crate) fn count_failure(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
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
        let announced = upstream.unclaimed_runs.iter();
        let announced = announced.filter(|(_, unclaimed)| unclaimed.is_announced);
        if announced.clone().next().is_none() {
            return;
        }
        let due = announced.filter(|(_, unclaimed)| !unclaimed.is_stopping);
        for run in due.map(|(run, _)| *run).collect::<Vec<RunId>>() {
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
        let reason = match upstream.runs.get(&run).map(|leased| leased.phase) {
            Some(RunPhase::Stopping { reason, .. }) => Some(reason),
            Some(_) => None,
            None if upstream.unclaimed_runs.contains_key(&run) => Some(StopReason::Unclaimed),
            None => None,
        };
        if let Some(reason) = reason {
            self.stop(now, upstream_key, run, reason);
        }
    }
}
