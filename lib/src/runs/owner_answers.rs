//! What an owner makes of the answers to its orders, and of answers that stay out.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

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
use super::run_order::EndedRow;
use super::run_order::OrderAnswer;
use super::run_order::OrderRefusal;
use super::run_order::RenewReport;
use super::run_order::RunOrder;
use super::run_order::RunOutcome;
use super::run_order::RunningRow;
use super::upstream_clock::UpstreamClock;
use super::whole_ms::whole_ms;
use crate::health::HealthChange;
use crate::time::Timestamp;

/// How long a hold waits for an end while something runs.
///
/// Most are answered sooner, by an end. One whose answer is lost delays the ends by this time.
pub(crate) const BUSY_RENEW_WAIT: Duration = Duration::from_millis(120);

/// How long a hold waits for an end while nothing runs; a start lasts longer by itself.
pub(crate) const IDLE_RENEW_WAIT: Duration = Duration::from_millis(500);

/// The shortest time between two holds that bring nothing new.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(40);

/// How long after a hold without an answer the next look follows.
const SILENT_RETRY: Duration = Duration::from_millis(100);

/// How long after a hold without an answer the next look follows where nothing runs.
const IDLE_SILENT_RETRY: Duration = Duration::from_millis(400);

/// How long after a stop without an answer it is ordered again.
const STOP_RETRY: Duration = Duration::from_millis(40);

/// How long a run may last under a newer owner: it stops what no home claims, and where its order
/// does not arrive a lease of a second runs out.
const LINGERING: Duration = Duration::from_millis(1_400);

/// The expected run time from which a run is looked at early: a wrong upstream costs most there.
const LONG_RUN: Duration = Duration::from_millis(400);

/// How long after its start the progress of a long run tells its end to about a tenth.
const FIRST_PROGRESS: Duration = Duration::from_millis(130);

/// How long homes may take to claim runs that were found on an upstream.
///
/// A message and its answer take a few milliseconds; a busy instance some tens.
const CLAIM_TIME: Duration = Duration::from_millis(250);

/// How long nobody may have listened for an end whose time still counts as known.
const LISTENING_GAP: Duration = Duration::from_millis(20);

/// The order that an upstream answered with a list.
#[derive(Clone, Copy, Debug)]
struct Look {
    order: OrderId,
    sent_at: Timestamp,
}

impl Owner {
    /// Takes in what came back of an order.
    pub(crate) fn order_answered(&mut self, now: Timestamp, order: OrderId, answer: OrderAnswer) {
        let Some(pending) = self.orders.swap_remove(&order) else {
            return;
        };
        let on = pending.upstream;
        if !self.upstreams.contains_key(on) {
            return self.superseded_start_answered(now, order, &answer);
        }
        self.read_clock(now, on, &answer);
        match pending.kind {
            PendingKind::Start(run) => self.start_answered(now, on, run, answer),
            PendingKind::Stop(run) => self.stop_answered(now, on, run, &answer),
            PendingKind::Renew => {
                self.upstreams[on].is_renew_pending = false;
                let look = Look {
                    order,
                    sent_at: pending.sent_at,
                };
                self.renew_answered(now, on, look, answer);
            }
            PendingKind::Probe => {
                let look = Look {
                    order,
                    sent_at: pending.sent_at,
                };
                self.probe_answered(now, on, look, answer);
            }
        }
    }

    /// Takes in what came of a start that was under way when its upstream got a newer owner.
    fn superseded_start_answered(&mut self, now: Timestamp, order: OrderId, answer: &OrderAnswer) {
        let Some(SupersededStart { task, upstream }) = self.superseded_starts.swap_remove(&order)
        else {
            return;
        };
        match answer {
            OrderAnswer::Refused { .. } | OrderAnswer::NotSent => self.requeue(Some(task), None),
            _ => self.hand_over(now, task, &upstream),
        }
    }

    /// Reports that a run may go on under a newer owner.
    ///
    /// The report may get lost, so that its batch counts as held until the run has surely ended.
    fn hand_over(&mut self, now: Timestamp, task: (HeldBatchKey, TaskIndex), upstream: &Arc<str>) {
        let (key, index) = task;
        if let Some(batch) = self.batches.get(key) {
            let name = (batch.home, batch.number);
            self.lingering.insert(name, now + LINGERING);
        }
        let upstream = upstream.clone();
        self.report(key, index, RunEnd::TakenOver { upstream });
    }

    fn read_clock(&mut self, now: Timestamp, on: LeasedUpstreamKey, answer: &OrderAnswer) {
        let clock_ms = match answer {
            OrderAnswer::Done { clock_ms } | OrderAnswer::Refused { clock_ms, .. } => *clock_ms,
            _ => None,
        };
        if let Some(clock_ms) = clock_ms {
            self.upstreams[on].clock = Some(UpstreamClock::new(clock_ms, now));
        }
    }

    fn start_answered(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        run: RunId,
        answer: OrderAnswer,
    ) {
        let from = self.next_order();
        let Some(leased) = self.upstreams[on].runs.get_mut(&run) else {
            return;
        };
        match answer {
            OrderAnswer::Done { .. } | OrderAnswer::Renewed(_) => {
                if leased.phase == RunPhase::Starting {
                    leased.phase = RunPhase::Active { from };
                    if leased.expected_run_time >= LONG_RUN {
                        let probe = OwnerTimer::Probe(on);
                        self.timers.subscribe(now + FIRST_PROGRESS, probe);
                    }
                }
            }
            OrderAnswer::Lost => {
                if leased.phase == RunPhase::Starting {
                    tracing::warn!(job = %run.task.job, run = %run, "start not answered");
                    leased.phase = RunPhase::Uncertain { from };
                }
                self.probe(now, on);
            }
            OrderAnswer::NotSent => {
                self.start_refused(now, on, run, None);
                self.fall_silent(now, on);
            }
            OrderAnswer::Refused { refusal, .. } => {
                self.start_refused(now, on, run, Some(refusal));
            }
        }
    }

    /// Takes back a run that the upstream did not start, and looks for another place.
    fn start_refused(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        run: RunId,
        refusal: Option<OrderRefusal>,
    ) {
        let upstream = &mut self.upstreams[on];
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
            Some(OrderRefusal::OldRun) => self.end_task(leased.task, NotStarted::OldRun),
            Some(OrderRefusal::Invalid) => self.end_task(leased.task, NotStarted::Invalid),
            Some(OrderRefusal::NoCapacity) => {
                upstream.health.on_refusal(now);
                self.requeue(leased.task, None);
                self.wake_after_health(now, on);
            }
            Some(OrderRefusal::LeaseExpired) => {
                self.requeue(leased.task, None);
                self.probe(now, on);
            }
            Some(OrderRefusal::Unhealthy) => {
                self.count_failure(now, on);
                self.requeue(leased.task, Some(id));
            }
            Some(OrderRefusal::Fence) => {
                self.requeue(leased.task, None);
                self.lose_to_newer_owner(now, on);
            }
            Some(OrderRefusal::OtherIncarnation) => {
                self.requeue(leased.task, None);
                self.lose_upstream(now, on);
            }
            None => self.requeue(leased.task, Some(id)),
        }
    }

    fn end_task(&mut self, task: Option<(HeldBatchKey, TaskIndex)>, why: NotStarted) {
        self.mark_dirty();
        if let Some((key, task)) = task {
            self.report(key, task, RunEnd::NotStarted(why));
        }
    }

    fn stop_answered(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        run: RunId,
        answer: &OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Done { .. } => self.stop_acknowledged(now, on, run),
            OrderAnswer::Refused { refusal, .. } => match refusal {
                OrderRefusal::Fence => self.lose_to_newer_owner(now, on),
                OrderRefusal::OtherIncarnation => self.lose_upstream(now, on),
                _ => self.stop_later(now, on, run),
            },
            _ => self.stop_later(now, on, run),
        }
    }

    fn stop_acknowledged(&mut self, now: Timestamp, on: LeasedUpstreamKey, run: RunId) {
        let from = self.next_order();
        let Some(leased) = self.upstreams[on].runs.get_mut(&run) else {
            return;
        };
        let RunPhase::Stopping {
            acknowledged,
            reason,
        } = &mut leased.phase
        else {
            return;
        };
        *acknowledged = Some(from);
        let may_not_have_started = *reason == StopReason::Uncertain;
        if may_not_have_started {
            self.probe(now, on);
        }
    }

    fn stop_later(&mut self, now: Timestamp, on: LeasedUpstreamKey, run: RunId) {
        let again = OwnerTimer::StopAgain(on, run);
        self.timers.subscribe(now + STOP_RETRY, again);
    }

    fn renew_answered(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        look: Look,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Renewed(report) => {
                let brought_news = self.take_report(now, on, look, report);
                let came_early = now.since(look.sent_at) < MIN_RENEW_INTERVAL;
                if !self.upstreams.contains_key(on) {
                    return;
                }
                if brought_news || !came_early {
                    self.renew(now, on);
                } else {
                    self.timers
                        .subscribe(now + MIN_RENEW_INTERVAL, OwnerTimer::Renew(on));
                }
            }
            OrderAnswer::Refused { refusal, .. } => {
                self.renew_refused(now, on, refusal);
            }
            _ => self.renew_missed(now, on),
        }
    }

    /// Looks again at once after a hold without an answer: one may be lost on its way.
    fn renew_missed(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let upstream = &mut self.upstreams[on];
        let is_first = upstream.contact == Contact::InTouch && !upstream.has_missed_renew;
        upstream.has_missed_renew = true;
        if is_first {
            return self.renew(now, on);
        }
        self.fall_silent(now, on);
    }

    fn probe_answered(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        look: Look,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Renewed(report) => {
                self.take_report(now, on, look, report);
            }
            OrderAnswer::Refused { refusal, .. } => {
                self.renew_refused(now, on, refusal);
            }
            // The hold beside it tells whether the upstream is silent.
            _ => self.retry_probe(now, on),
        }
    }

    /// Looks once more soon where a start or a stop still waits to be confirmed.
    fn retry_probe(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let mut runs = self.upstreams[on].runs.values();
        let is_unclear = runs.any(|run| !matches!(run.phase, RunPhase::Active { .. }));
        if is_unclear {
            let probe = OwnerTimer::Probe(on);
            self.timers.subscribe(now + STOP_RETRY, probe);
        }
    }

    fn renew_refused(&mut self, now: Timestamp, on: LeasedUpstreamKey, refusal: OrderRefusal) {
        match refusal {
            OrderRefusal::Fence => self.lose_to_newer_owner(now, on),
            OrderRefusal::OtherIncarnation => self.lose_upstream(now, on),
            _ => {
                let id = &self.upstreams[on].listed.id;
                tracing::warn!(upstream = %id, %refusal, "hold refused");
                self.fall_silent(now, on);
            }
        }
    }

    /// Renews the leases on an upstream and waits for ends, unless that is under way.
    pub(crate) fn renew(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let lease = self.lease;
        let Some(upstream) = self.upstreams.get_mut(on) else {
            return;
        };
        if upstream.is_renew_pending {
            return;
        }
        upstream.is_renew_pending = true;
        let wait = match upstream.contact {
            Contact::InTouch if upstream.has_missed_renew => Duration::ZERO,
            Contact::InTouch if upstream.runs.is_empty() => IDLE_RENEW_WAIT,
            Contact::InTouch => BUSY_RENEW_WAIT,
            _ => Duration::ZERO,
        };
        // An upstream that does not answer is looked at without renewing: its leases are to run out.
        let lease_until_ms = match upstream.contact {
            Contact::InTouch if !upstream.has_missed_renew => upstream.extend_lease(now, lease),
            _ => None,
        };
        let order = RunOrder::Renew {
            lease_until_ms,
            fence: upstream.fence,
            acknowledged_end: upstream.acknowledged_end,
            wait,
        };
        self.give(now, on, PendingKind::Renew, order);
    }

    /// Looks at an upstream at once, beside a hold that waits.
    fn probe(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get(on) else {
            return;
        };
        let order = RunOrder::Renew {
            lease_until_ms: None,
            fence: upstream.fence,
            acknowledged_end: upstream.acknowledged_end,
            wait: Duration::ZERO,
        };
        self.give(now, on, PendingKind::Probe, order);
    }

    /// Takes in what an upstream lists; true when it brought ends.
    fn take_report(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        look: Look,
        report: RenewReport,
    ) -> bool {
        let lease = self.lease;
        let upstream = &mut self.upstreams[on];
        let first = upstream.contact == Contact::Taking;
        if upstream.born_unix_ms.is_some() && report.born_unix_ms != upstream.born_unix_ms {
            self.begin_incarnation(on, report.born_unix_ms);
        }
        let upstream = &mut self.upstreams[on];
        upstream.born_unix_ms = report.born_unix_ms.or(upstream.born_unix_ms);
        upstream.clock = Some(UpstreamClock::new(report.clock_ms, now));
        if upstream.contact == Contact::Taking {
            // Leases of before were given on another clock, or by another owner.
            upstream.lease_until_ms = report.clock_ms.saturating_add(whole_ms(lease));
        }
        upstream.has_missed_renew = false;
        // A hold that waits is answered by the end itself.
        let is_exact = look.sent_at.since(upstream.reported_at) <= LISTENING_GAP;
        upstream.reported_at = now;
        if upstream.contact != Contact::InTouch {
            tracing::info!(upstream = %upstream.listed.id, "upstream in touch");
            upstream.contact = Contact::InTouch;
            self.mark_dirty();
        }
        let (brought_news, found) = self.take_ends(now, on, is_exact, &report.ended);
        self.take_running(now, on, look, &report.running);
        self.find_vanished(now, on, look, &report.running);
        self.announce_unclaimed_runs(now, on, look, first, found);
        self.drop_if_released(on);
        brought_news
    }

    /// Takes note of ends; gives those of runs that this instance did not order.
    fn take_ends(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        is_exact: bool,
        ended: &[EndedRow],
    ) -> (bool, Vec<FoundEnd>) {
        let mut brought_news = false;
        let mut found = Vec::new();
        for row in ended {
            let upstream = &mut self.upstreams[on];
            if row.number <= upstream.acknowledged_end {
                continue;
            }
            upstream.acknowledged_end = row.number;
            brought_news = true;
            let Some(run) = row.run else {
                continue;
            };
            upstream.unclaimed_runs.swap_remove(&run);
            if upstream.runs.contains_key(&run) {
                self.end_run(now, on, run, row.how, is_exact);
            } else {
                upstream.note_found_end(run, row.how);
                found.push(FoundEnd {
                    run,
                    done: row.how == RunOutcome::Done,
                    failed: row.how == RunOutcome::Failed,
                });
            }
        }
        (brought_news, found)
    }

    fn end_run(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        run: RunId,
        how: RunOutcome,
        is_exact: bool,
    ) {
        let upstream = &mut self.upstreams[on];
        let Some(leased) = upstream.runs.swap_remove(&run) else {
            return;
        };
        let id = upstream.listed.id.clone();
        let took = now.since(leased.ordered_at);
        tracing::info!(
            job = %run.task.job, run = %run, upstream = %id, how = %how,
            took_ms = whole_ms(took), expected_ms = whole_ms(leased.expected_run_time),
            "run ended"
        );
        let end = match how {
            RunOutcome::Done => {
                // Its queue is looked at again after every end, restored or not.
                let _ = upstream.health.on_success(now);
                let work = match is_exact {
                    true => took.div_f64(upstream.speed.slowness()),
                    false => Duration::ZERO,
                };
                RunEnd::Done { work }
            }
            RunOutcome::Failed => {
                if leased.task.is_some() {
                    self.count_failure(now, on);
                }
                RunEnd::Failed { upstream: id }
            }
            RunOutcome::Stopped | RunOutcome::LeaseExpired | RunOutcome::Other => {
                match leased.foreseen_work {
                    Some(work) => RunEnd::TooSlow { work, upstream: id },
                    None => RunEnd::Lost { upstream: id },
                }
            }
        };
        self.mark_dirty();
        if let Some((key, task)) = leased.task {
            if how == RunOutcome::Done && is_exact {
                self.learn_speeds(on, key, task, took);
            }
            self.report(key, task, end);
        }
    }

    fn take_running(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        look: Look,
        running: &[RunningRow],
    ) {
        let mut infeasible = Vec::new();
        let from = self.next_order();
        let upstream = &mut self.upstreams[on];
        for row in running {
            match upstream.runs.get_mut(&row.run) {
                Some(leased) => {
                    leased.note_running(now, from, row.percent);
                    let deadline = leased.task.and_then(|(batch, _)| self.batches.get(batch));
                    let deadline = deadline.map(|batch| batch.deadline);
                    if let Some(reason) = reason_to_stop(leased, now, deadline) {
                        infeasible.push((row.run, reason));
                    }
                }
                None => {
                    upstream
                        .unclaimed_runs
                        .entry(row.run)
                        .or_insert(UnclaimedRun {
                            seen_before: from,
                            asked: false,
                        });
                }
            }
        }
        // A report asked for before a stray was seen may be older than its end.
        let is_listed = |run: &RunId| running.iter().any(|row| row.run == *run);
        upstream
            .unclaimed_runs
            .retain(|run, unclaimed| is_listed(run) || look.order < unclaimed.seen_before);
        for (run, reason) in infeasible {
            self.stop_infeasible(now, on, run, reason);
        }
    }

    fn stop_infeasible(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        run: RunId,
        reason: StopReason,
    ) {
        match reason {
            StopReason::Stalled => self.count_failure(now, on),
            StopReason::Crawling | StopReason::TooLong => self.foresee(on, run, reason),
            _ => {}
        }
        self.stop(now, on, run, reason);
    }

    /// Notes what a run that goes too slowly would take, and what that says of its upstream.
    fn foresee(&mut self, on: LeasedUpstreamKey, run: RunId, reason: StopReason) {
        let upstream = &mut self.upstreams[on];
        let Some(leased) = upstream.runs.get_mut(&run) else {
            return;
        };
        let predicted = leased.predicted_run_time();
        leased.foreseen_work = Some(predicted.div_f64(upstream.speed.slowness()));
        if reason == StopReason::Crawling {
            let expected = leased.expected_run_time;
            upstream.speed.observe_crawling(expected, predicted);
        }
    }

    /// Takes in that runs are listed no more without an end.
    fn find_vanished(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        look: Look,
        running: &[RunningRow],
    ) {
        let is_listed = |run: &RunId| running.iter().any(|row| row.run == *run);
        let upstream = &self.upstreams[on];
        let missing = upstream.runs.iter().filter(|(run, _)| !is_listed(run));
        let missing: Vec<(RunId, RunPhase)> =
            missing.map(|(run, leased)| (*run, leased.phase)).collect();
        for (run, phase) in missing {
            match phase {
                RunPhase::Active { from } if look.order >= from => {
                    self.lose_run(on, run, "vanished");
                }
                RunPhase::Uncertain { from } if look.order >= from => {
                    self.stop(now, on, run, StopReason::Uncertain);
                }
                RunPhase::Stopping {
                    reason,
                    acknowledged: Some(from),
                } if look.order >= from => match reason {
                    StopReason::Uncertain => self.take_back(on, run),
                    _ => self.lose_run(on, run, "stopped"),
                },
                _ => {}
            }
        }
    }

    /// Puts a task back whose start never took effect and never will.
    fn take_back(&mut self, on: LeasedUpstreamKey, run: RunId) {
        let upstream = &mut self.upstreams[on];
        let id = upstream.listed.id.clone();
        tracing::info!(job = %run.task.job, run = %run, upstream = %id, "start withdrawn");
        if let Some(leased) = upstream.runs.swap_remove(&run) {
            // The upstream refuses this number from now on.
            self.end_task(leased.task, NotStarted::OldRun);
        }
    }

    /// Reports a run that runs no more without having ended.
    fn lose_run(&mut self, on: LeasedUpstreamKey, run: RunId, why: &str) {
        let upstream = &mut self.upstreams[on];
        let Some(leased) = upstream.runs.swap_remove(&run) else {
            return;
        };
        let id = upstream.listed.id.clone();
        tracing::warn!(job = %run.task.job, run = %run, upstream = %id, why, "run lost");
        self.mark_dirty();
        if let Some((key, task)) = leased.task {
            self.report(key, task, RunEnd::Lost { upstream: id });
        }
    }

    /// Reports all runs of an upstream as lost.
    fn lose_runs(&mut self, on: LeasedUpstreamKey, why: &str) {
        let runs: Vec<RunId> = self.upstreams[on].runs.keys().copied().collect();
        for run in runs {
            self.lose_run(on, run, why);
        }
    }

    /// Asks homes for runs that this instance did not order, and passes on ends of such runs.
    fn announce_unclaimed_runs(
        &mut self,
        now: Timestamp,
        on: LeasedUpstreamKey,
        look: Look,
        first: bool,
        ended: Vec<FoundEnd>,
    ) {
        let upstream = &mut self.upstreams[on];
        let mut running = Vec::new();
        for (run, unclaimed) in &mut upstream.unclaimed_runs {
            if !unclaimed.asked && (first || look.order >= unclaimed.seen_before) {
                unclaimed.asked = true;
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
            let unclaimed = OwnerTimer::Unclaimed(on);
            self.timers.subscribe(now + CLAIM_TIME, unclaimed);
        }
        self.notices.push(OwnerNotice::Found {
            upstream: id,
            fence,
            running,
            ended,
        });
    }

    /// Notes that an upstream does not answer, and looks again soon.
    fn fall_silent(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(on) else {
            return;
        };
        // One that is listed as started again, with runs of before, may be out of reach too.
        let has_runs = !upstream.runs.is_empty();
        if upstream.contact == Contact::InTouch || (upstream.contact == Contact::Taking && has_runs)
        {
            let runs = upstream.runs.len();
            tracing::warn!(upstream = %upstream.listed.id, runs, "upstream silent");
            upstream.contact = Contact::Silent { since: now };
        }
        if !upstream.runs.is_empty()
            && let Some(at) = upstream.lapses_at()
        {
            self.timers.subscribe(at.max(now), OwnerTimer::Lapse(on));
        }
        let retry = match upstream.runs.is_empty() {
            true => IDLE_SILENT_RETRY,
            false => SILENT_RETRY,
        };
        self.timers.subscribe(now + retry, OwnerTimer::Renew(on));
    }

    /// Loses all runs of an upstream that is still silent when its leases have run out.
    fn lapse(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get(on) else {
            return;
        };
        let is_silent = matches!(upstream.contact, Contact::Silent { .. });
        match upstream.lapses_at() {
            Some(at) if is_silent && at <= now => {
                self.lose_runs(on, "lease_over");
                self.drop_if_released(on);
            }
            Some(at) if is_silent && !upstream.runs.is_empty() => {
                self.timers.subscribe(at, OwnerTimer::Lapse(on));
            }
            _ => {}
        }
    }

    /// Begins anew with an upstream that has started again.
    ///
    /// Nothing of before runs there, but a start may have reached the new life: what its next
    /// list does not name is lost.
    pub(crate) fn begin_incarnation(&mut self, on: LeasedUpstreamKey, born_unix_ms: Option<u64>) {
        let upstream = &mut self.upstreams[on];
        let id = &upstream.listed.id;
        tracing::warn!(upstream = %id, ?born_unix_ms, "upstream lives another life");
        upstream.born_unix_ms = born_unix_ms;
        upstream.raise_fence();
        upstream.acknowledged_end = 0;
        upstream.contact = Contact::Taking;
        upstream.unclaimed_runs.clear();
        upstream.found_ends.clear();
    }

    /// Gives up an upstream at whose address another one lives: it runs nothing any more.
    fn lose_upstream(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        self.lose_runs(on, "upstream_replaced");
        self.fall_silent(now, on);
    }

    /// Takes in that another instance holds an upstream under this fence.
    pub(crate) fn relinquish_upstream(&mut self, now: Timestamp, id: &str, fence: u64) {
        let Some(on) = self.by_id.get(id).copied() else {
            return;
        };
        if self.upstreams[on].fence < fence {
            self.lose_to_newer_owner(now, on);
        }
    }

    /// Gives an upstream up to the instance that holds it under a higher fence.
    fn lose_to_newer_owner(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let Some(upstream) = self.remove(on) else {
            return;
        };
        let id = upstream.listed.id.clone();
        let (fence, version) = (upstream.fence, upstream.roster_version());
        let runs = upstream.runs.len();
        tracing::warn!(upstream = %id, fence, runs, "upstream has a newer owner");
        self.lost.insert(id, version);
        self.lingering.retain(|_, until| *until > now);
        let starts = self
            .orders
            .iter()
            .filter_map(|(order, pending)| match pending.kind {
                PendingKind::Start(run) if pending.upstream == on => Some((run, *order)),
                _ => None,
            });
        let starts: IndexMap<RunId, OrderId> = starts.collect();
        for (run, leased) in upstream.runs {
            if let Some(batch) = leased.dropped_from {
                self.lingering.insert(batch, now + LINGERING);
            }
            let Some(task) = leased.task else {
                continue;
            };
            let upstream = upstream.listed.id.clone();
            match starts.get(&run) {
                // Its answer tells whether it started.
                Some(order) if leased.phase == RunPhase::Starting => {
                    let superseded = SupersededStart { task, upstream };
                    self.superseded_starts.insert(*order, superseded);
                }
                _ => self.hand_over(now, task, &upstream),
            }
        }
    }

    fn count_failure(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let upstream = &mut self.upstreams[on];
        let service = upstream.listed.service.clone();
        if upstream.health.on_failure(now) == HealthChange::Ejected {
            tracing::warn!(upstream = %upstream.listed.id, "upstream ejected");
            self.review_ejections(now, &service);
        }
        self.wake_after_health(now, on);
    }

    fn wake_after_health(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        if let Some(at) = self.upstreams[on].health.next_change(now) {
            self.timers.subscribe(at, OwnerTimer::Dispatch);
        }
    }

    /// Stops runs that no home has claimed.
    fn stop_unclaimed(&mut self, now: Timestamp, on: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(on) else {
            return;
        };
        let due = upstream.unclaimed_runs.iter();
        let due = due.filter(|(_, unclaimed)| unclaimed.asked);
        let due: Vec<RunId> = due.map(|(run, _)| *run).collect();
        if due.is_empty() {
            return;
        }
        for run in due {
            self.stop(now, on, run, StopReason::Unclaimed);
        }
        let again = OwnerTimer::Unclaimed(on);
        self.timers.subscribe(now + CLAIM_TIME, again);
    }

    /// Does what is due.
    pub(crate) fn run_timers(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                OwnerTimer::Renew(on) => self.renew(now, on),
                OwnerTimer::Lapse(on) => self.lapse(now, on),
                OwnerTimer::Unclaimed(on) => self.stop_unclaimed(now, on),
                OwnerTimer::StopAgain(on, run) => self.stop_again(now, on, run),
                OwnerTimer::Probe(on) => self.probe(now, on),
                OwnerTimer::Overdue(on, since) => self.check_overdue(now, on, since),
                OwnerTimer::Dispatch => self.mark_dirty(),
            }
        }
    }

    /// Looks at an upstream that has listed nothing since a run began that should be over.
    fn check_overdue(&mut self, now: Timestamp, on: LeasedUpstreamKey, since: Timestamp) {
        let upstream = self.upstreams.get(on);
        if upstream.is_some_and(|on| on.reported_at < since && !on.runs.is_empty()) {
            self.probe(now, on);
        }
    }

    fn stop_again(&mut self, now: Timestamp, on: LeasedUpstreamKey, run: RunId) {
        let Some(upstream) = self.upstreams.get(on) else {
            return;
        };
        let Some(leased) = upstream.runs.get(&run) else {
            return;
        };
        if let RunPhase::Stopping { reason, .. } = leased.phase {
            self.stop(now, on, run, reason);
        }
    }
}

/// Why a run that is listed should be stopped.
fn reason_to_stop(
    leased: &LeasedRun,
    now: Timestamp,
    deadline: Option<Timestamp>,
) -> Option<StopReason> {
    if leased.is_stalled(now) {
        return Some(StopReason::Stalled);
    }
    if leased.is_crawling(now) {
        return Some(StopReason::Crawling);
    }
    let RunPhase::Active { .. } = leased.phase else {
        return None;
    };
    let end = leased.predicted_end(now)?;
    (end > deadline?).then_some(StopReason::TooLong)
}
