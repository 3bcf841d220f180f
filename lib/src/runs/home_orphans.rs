//! How a home follows runs whose owner is unreachable or has lost their upstream.

use std::sync::Arc;

use super::found_run::FoundRun;
use super::home::CLAIMABLE_TIME;
use super::home::Home;
use super::home::HomeOutput;
use super::home::HomeTimer;
use super::home::ORPHAN_CLAIM_TIMEOUT;
use super::home_job::Unfinished;
use super::home_task::HomeState;
use super::owner_choice::OwnerRef;
use super::peer_table::MAX_MESSAGE_AGE;
use super::run_answer::GivenUp;
use super::run_id::HomeJobKey;
use super::run_id::RunId;
use super::run_message::FoundEnd;
use super::run_message::RunEnd;
use super::unreachable_owners::MAX_RUN_AFTER_CONTACT;
use super::whole_ms::whole_ms;
use crate::time::Timestamp;

impl Home {
    /// Marks a run as orphaned.
    ///
    /// `contact_at` and `from` are as in [`super::home_task::HomeTask::orphan`].
    pub(crate) fn set_orphaned(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        task: usize,
        contact_at: Timestamp,
        from: Option<(OwnerRef, u64)>,
    ) {
        let job = &mut self.jobs[key];
        let since = job.tasks[task].orphan(now, contact_at, from);
        let age_ms = whole_ms(now.since(since));
        tracing::info!(job = %job.id, run = %job.run(task), age_ms, ?from, "run orphaned");
        self.counts.orphaned += 1;
        let claimable_until = (since + CLAIMABLE_TIME).max(now);
        let due = claimable_until.min(now + ORPHAN_CLAIM_TIMEOUT);
        self.timers.subscribe(due, HomeTimer::OrphanTimeout(key));
    }

    /// Resolves orphaned runs that no owner has reported.
    ///
    /// A run that must have ended by now is retried. A job whose task could not end in time after
    /// that is given up; otherwise the timer is set to the time when the run must have ended.
    pub(crate) fn on_orphan_timeout(&mut self, now: Timestamp, key: HomeJobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let tasks = (0..).zip(&job.tasks);
        let orphaned: Vec<(usize, Timestamp)> = tasks
            .filter_map(|(task, state)| match state.state {
                HomeState::Orphaned { since, .. } => Some((task, since)),
                _ => None,
            })
            .collect();
        for (task, since) in orphaned {
            let Some(job) = self.jobs.get(key) else {
                return;
            };
            let ended_at = since + MAX_RUN_AFTER_CONTACT;
            if ended_at <= now {
                let age_ms = whole_ms(now.since(since));
                tracing::info!(
                    job = %job.id, run = %job.run(task), age_ms,
                    "orphaned run must have ended: retrying the task"
                );
                self.counts.retried_orphaned += 1;
                self.retry_task(now, key, task);
            } else if ended_at + job.min_run_time(task) > job.deadline {
                self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::OwnerLost));
            } else {
                self.timers
                    .subscribe(ended_at, HomeTimer::OrphanTimeout(key));
            }
        }
    }

    /// Handles that an owner is unreachable or its process was replaced by another incarnation.
    ///
    /// The runs that it holds are orphaned.
    pub(crate) fn on_owner_unreachable(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        last_contact_at: Timestamp,
    ) {
        let keys: Vec<HomeJobKey> = self.jobs.keys().collect();
        for key in keys {
            let job = &self.jobs[key];
            let tasks = (0..).zip(&job.tasks);
            let tasks = tasks.filter_map(|(task, state)| match state.state {
                HomeState::Placed { owner: at, batch } if at == owner => Some((task, batch)),
                _ => None,
            });
            let tasks: Vec<(usize, u64)> = tasks.collect();
            if tasks.is_empty() {
                continue;
            }
            tracing::warn!(job = %job.id, owner = self.owner_name(owner), tasks = tasks.len(), "owner unreachable");
            self.jobs[key].may_have_run = true;
            for (task, batch) in tasks {
                self.jobs[key].tasks[task].on_owner_unreachable(now, owner, last_contact_at);
                self.set_orphaned(now, key, task, last_contact_at, Some((owner, batch)));
            }
        }
        let suspended = self.batches.extract_if(.., |(at, _), _| *at == owner);
        self.suspended.extend(suspended);
    }

    /// Detaches orphaned runs from an owner whose process has ended.
    ///
    /// The next incarnation counts its accepted batches from the start, so its reports say nothing
    /// about the batches of the one before.
    pub(crate) fn forget_owner_incarnation(&mut self, owner: OwnerRef) {
        let tasks = self.jobs.values_mut().flat_map(|job| &mut job.tasks);
        for task in tasks {
            task.forget_owner_incarnation(owner);
        }
        self.suspended.retain(|(at, _), _| *at != owner);
    }

    /// Handles runs that the new owner of an upstream found there.
    ///
    /// They may belong to an earlier attempt, which numbered its runs in the same way. A run whose
    /// task is still placed at another owner is kept until that owner reports the takeover.
    pub(crate) fn handle_found_runs(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        upstream: &Arc<str>,
        running: &[RunId],
        ended: &[FoundEnd],
    ) {
        self.found.retain(|_, found| found.is_recent(now));
        let ended = ended
            .iter()
            .map(|found| (found.run, Some(found.end_on(upstream))));
        let running = running.iter().map(|run| (*run, None));
        for (run, end) in ended.chain(running) {
            let found = FoundRun {
                owner,
                upstream: upstream.clone(),
                found_at: now,
                end,
            };
            self.handle_found_run(now, run, found);
        }
    }

    /// Ends or moves a task by what another owner found of its run, or keeps the finding.
    fn handle_found_run(&mut self, now: Timestamp, run: RunId, found: FoundRun) {
        let Some((key, task)) = self.claimable(run) else {
            return;
        };
        let state = &self.jobs[key].tasks[task];
        let certain_upstream = state.certain_upstream(now);
        let is_certainly_there = certain_upstream.is_some_and(|at| *at == found.upstream);
        let may_be_there = certain_upstream.is_none() || is_certainly_there;
        let placed_at = match state.state {
            HomeState::Placed { owner, .. } => Some(owner),
            _ => None,
        };
        tracing::info!(
            job = %run.task.job, run = %run, upstream = %found.upstream, end = ?found.end,
            owner = self.owner_name(found.owner), state = ?state.state,
            is_surely_there = is_certainly_there, "run found by another owner"
        );
        match found.end {
            // A task that is done stays done, whichever attempt ran it.
            Some(end) if is_certainly_there || matches!(end, RunEnd::Done { .. }) => {
                self.counts.count_found(&end);
                self.end_task(now, key, task, end);
            }
            None if placed_at.is_none() && may_be_there => {
                self.move_task(now, key, task, found.owner, &found.upstream);
            }
            _ if placed_at.is_some_and(|owner| owner != found.owner) => {
                self.found.insert((run, found.upstream.clone()), found);
            }
            _ => {}
        }
    }

    /// Handles the report of a run's owner that another owner has taken over the upstream.
    pub(crate) fn handle_taken_over(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        task: usize,
        upstream: Arc<str>,
    ) {
        let run = self.jobs[key].run(task);
        self.set_orphaned(now, key, task, now, None);
        let found = self.found.swap_remove(&(run, upstream.clone()));
        let found = found.filter(|found| found.is_recent(now));
        self.jobs[key].tasks[task].upstream = Some(upstream);
        if let Some(found) = found {
            self.handle_found_run(now, run, found);
        }
    }

    /// The task of a run that another owner may claim; none unless it is placed or orphaned.
    fn claimable(&self, run: RunId) -> Option<(HomeJobKey, usize)> {
        let key = *self.by_id.get(&run.task.job)?;
        let task = self.jobs[key].task_of(run)?;
        match self.jobs[key].tasks[task].state {
            HomeState::Placed { .. } | HomeState::Orphaned { .. } => Some((key, task)),
            _ => None,
        }
    }

    /// Moves a running task to the owner that found it, which is asked to adopt the run.
    fn move_task(
        &mut self,
        now: Timestamp,
        key: HomeJobKey,
        task: usize,
        owner: OwnerRef,
        upstream: &Arc<str>,
    ) {
        let run = self.jobs[key].run(task);
        tracing::info!(job = %run.task.job, run = %run, upstream = %upstream, owner = self.owner_name(owner), "run claimed");
        let batch = self.create_batch(now, key, owner, &[task]);
        self.jobs[key].tasks[task].claim(upstream.clone());
        self.release_batches(key);
        self.outputs.push(HomeOutput::Adopt {
            owner,
            upstream: upstream.clone(),
            batch,
        });
    }

    /// Compares the open batches at an owner with those that it reports as held in a heartbeat, sent at
    /// `sent_at` on its clock.
    ///
    /// A batch that is not held, although the owner has accepted it or will start nothing of it, has ended
    /// without a report: its tasks are retried, or orphaned where their runs may go on elsewhere. The
    /// owner starts nothing of a batch more than [`MAX_MESSAGE_AGE`] after the time that its message names.
    pub(crate) fn reconcile_batches(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        sent_at: Timestamp,
        held: &[u64],
        highest_taken: u64,
    ) {
        self.resolve_orphans(now, owner, sent_at, held, highest_taken);
        let missing = self.batches.iter().filter(|((at, number), batch)| {
            let was_taken = *number <= highest_taken;
            let was_lost = batch
                .echo
                .is_none_or(|echo| sent_at.since(echo) > MAX_MESSAGE_AGE);
            *at == owner && !held.contains(number) && (was_taken || was_lost)
        });
        let missing: Vec<(u64, HomeJobKey)> = missing
            .map(|((_, number), batch)| (*number, batch.job))
            .collect();
        for (number, key) in missing {
            self.batches.swap_remove(&(owner, number));
            let placed = HomeState::Placed {
                owner,
                batch: number,
            };
            for task in self.tasks_in(key, |state| state == placed) {
                // The job may have ended with a task before this one.
                let Some(job) = self.jobs.get(key) else {
                    break;
                };
                tracing::warn!(
                    job = %job.id, run = %job.run(task), batch = number, highest_taken,
                    owner = self.owner_name(owner), is_adoption = job.tasks[task].is_claimed,
                    "owner does not hold the batch"
                );
                self.resolve_missing(now, key, task);
            }
        }
    }

    /// Resolves orphaned runs of an owner that is reachable again.
    ///
    /// Runs of batches that it still holds are placed there again; runs of batches that it has
    /// accepted and no longer holds are retried, or stay orphaned where they may go on elsewhere.
    fn resolve_orphans(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        sent_at: Timestamp,
        held: &[u64],
        highest_taken: u64,
    ) {
        let reopened = self.reopen_batches(owner, sent_at, held, highest_taken);
        let keys: Vec<HomeJobKey> = self.jobs.keys().collect();
        for key in keys {
            let from_owner = |state: HomeState| match state {
                HomeState::Orphaned {
                    from: Some((at, batch)),
                    ..
                } if at == owner => Some(batch),
                _ => None,
            };
            for task in self.tasks_in(key, |state| from_owner(state).is_some()) {
                let Some(job) = self.jobs.get_mut(key) else {
                    break;
                };
                let Some(batch) = from_owner(job.tasks[task].state) else {
                    continue;
                };
                let is_held = held.contains(&batch);
                tracing::info!(
                    job = %job.id, run = %job.run(task), batch, highest_taken, is_held,
                    "owner of an orphaned run reachable again"
                );
                if !is_held && batch > highest_taken {
                    continue;
                }
                job.tasks[task].unreachable_owners.remove(owner);
                match is_held {
                    true => job.tasks[task].state = HomeState::Placed { owner, batch },
                    false => self.resolve_missing(now, key, task),
                }
            }
            if reopened.contains(&key) {
                self.release_batches(key);
            }
        }
    }

    /// The tasks of a job whose state satisfies `is_wanted`; none when the job has ended.
    fn tasks_in(&self, key: HomeJobKey, is_wanted: impl Fn(HomeState) -> bool) -> Vec<usize> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let tasks = (0..).zip(&job.tasks);
        let wanted = tasks.filter(|(_, task)| is_wanted(task.state));
        wanted.map(|(task, _)| task).collect()
    }

    /// Retries a task that its owner does not hold and has not reported, or orphans it where its run may go
    /// on: the owner may never have adopted it, or an unreachable one may run it.
    fn resolve_missing(&mut self, now: Timestamp, key: HomeJobKey, task: usize) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if let Some(contact_at) = job.tasks[task].may_run_elsewhere_since(now) {
            return self.set_orphaned(now, key, task, contact_at, None);
        }
        job.may_have_run = true;
        self.counts.retried_not_held += 1;
        self.retry_task(now, key, task);
    }
}
