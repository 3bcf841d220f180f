//! How an owner applies the reports of upstreams: ends, progress, and runs that are no longer listed.

use super::leased_run::LeasedRun;
use super::leased_run::RunPhase;
use super::leased_run::StopReason;
use super::leased_upstream::Contact;
use super::leased_upstream::UnclaimedRun;
use super::owner::Owner;
use super::owner::OwnerNotice;
use super::owner::OwnerTimer;
use super::owner_answers::AnsweredOrder;
use super::owner_answers::CLAIM_TIMEOUT;
use super::run_id::LeasedUpstreamKey;
use super::run_id::RunId;
use super::run_message::FoundEnd;
use super::run_message::NotStarted;
use super::run_message::RunEnd;
use super::run_order::RenewReport;
use super::run_order::RunOutcome;
use super::run_order::RunningRow;
use super::whole_ms::whole_ms;
use crate::scaling::scaled;
use crate::time::Timestamp;

impl Owner {
    /// Applies an upstream's report; returns whether it lists new ends.
    pub(crate) fn apply_report(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        answered: AnsweredOrder,
        report: RenewReport,
    ) -> bool {
        let lease = self.lease_bound.lease();
        let upstream = &mut self.upstreams[upstream_key];
        if upstream.is_outdated(answered.order, report.born_unix_ms) {
            let (upstream, born_unix_ms) = (&upstream.listed.id, report.born_unix_ms);
            tracing::info!(%upstream, ?born_unix_ms, "report of an earlier incarnation ignored");
            return false;
        }
        let is_first_report = upstream.contact == Contact::TakingOver;
        let is_known = upstream.born_unix_ms.is_some() && report.born_unix_ms.is_some();
        if is_known && report.born_unix_ms != upstream.born_unix_ms {
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
            let has_current_entry = upstream.has_current_entry();
            tracing::info!(upstream = %upstream.listed.id, has_current_entry, "upstream reachable");
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
                let work = run_time.map(|run_time| scaled(run_time, 1.0 / slowness));
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
                            is_stopping: false,
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
        leased.predicted_work = Some(scaled(predicted, 1.0 / upstream.speed.slowness()));
        if reason == StopReason::Crawling {
            let usual = leased.usual_run_time;
            upstream.speed.observe_crawling(usual, predicted);
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
    pub(crate) fn on_all_runs_lost(&mut self, upstream_key: LeasedUpstreamKey, why: &str) {
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
