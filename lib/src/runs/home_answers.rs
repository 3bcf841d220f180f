//! How a home ends jobs and answers their callers.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::home::ANSWER_RETENTION;
use super::home::Home;
use super::home::HomeOutput;
use super::home::HomeTimer;
use super::home_job::HomeJob;
use super::home_job::Unfinished;
use super::home_task::HomeState;
use super::overload::return_spread::return_spread;
use super::run_answer::GivenUp;
use super::run_answer::JobEnd;
use super::run_answer::JobProgress;
use super::run_answer::NotRun;
use super::run_answer::RunAnswer;
use super::run_digest::WaitingJobs;
use super::run_id::HomeJobKey;
use super::run_id::JobId;
use super::whole_ms::whole_ms;
use crate::id::RequestId;
use crate::time::Timestamp;

/// How long a job that is ending unfinished waits for its other tasks to be reported ended.
///
/// Their owners end them at the same time; a message takes a few milliseconds.
const ENDING_TIMEOUT: Duration = Duration::from_millis(30);

/// When a caller should retry after a refusal for load, unless a longer wait is known.
pub(crate) const RETRY_AFTER_OVERLOAD: Duration = Duration::from_secs(1);

impl Home {
    /// Gives up jobs with a waiting task of known run time that can no longer end in time.
    pub(crate) fn end_infeasible(&mut self, now: Timestamp) {
        let infeasible = self.jobs.iter().filter(|(_, job)| {
            let mut tasks = (0..job.tasks.len()).filter(|task| {
                let state = &job.tasks[*task];
                state.state == HomeState::Waiting && state.known_run_time.is_some()
            });
            tasks.any(|task| job.is_infeasible(now, task))
        });
        let infeasible: Vec<HomeJobKey> = infeasible.map(|(key, _)| key).collect();
        for key in infeasible {
            self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Deadline));
        }
    }

    /// Starts to end a job unfinished.
    ///
    /// A job of which something may have run is given up at once. Any other waits briefly for the
    /// ends of its placed tasks, so that its callers can be told whether anything ran.
    pub(crate) fn begin_ending(&mut self, now: Timestamp, key: HomeJobKey, reason: NotRun) {
        let job = &mut self.jobs[key];
        if job.may_have_run {
            return self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Deadline));
        }
        job.ending = Some(reason);
        if !job.is_placed() {
            return self.end_unfinished(now, key, Unfinished::NotRun(reason));
        }
        self.timers
            .subscribe(now + ENDING_TIMEOUT, HomeTimer::EndingTimeout(key));
    }

    /// Ends a job with an outcome that is kept for repeated requests, and answers its callers.
    pub(crate) fn end_job(&mut self, now: Timestamp, key: HomeJobKey, end: JobEnd) {
        let Some(job) = self.remove(key) else {
            return;
        };
        log_end(now, &job, &end.to_string());
        self.ended.insert(job.id, end);
        self.timers
            .subscribe(now + ANSWER_RETENTION, HomeTimer::ForgetAnswer(job.id));
        for request in job.waiters {
            self.answer(request, RunAnswer::Ended(end));
        }
    }

    /// Ends a job that does not complete, and answers its callers.
    pub(crate) fn end_unfinished(&mut self, now: Timestamp, key: HomeJobKey, why: Unfinished) {
        let Some(job) = self.remove(key) else {
            return;
        };
        self.counts.count_unfinished(why, now >= job.deadline);
        let retry_after = match self.by_priority.contains(&job.queue.service) {
            true => RETRY_AFTER_OVERLOAD + return_spread(job.id),
            false => RETRY_AFTER_OVERLOAD,
        };
        let answer = match why {
            Unfinished::NotRun(reason) => {
                log_end(now, &job, &format!("not_run {reason}"));
                RunAnswer::NotRun {
                    reason,
                    retry_after: Some(retry_after),
                }
            }
            Unfinished::GivenUp(reason) => {
                log_end(now, &job, &format!("given_up {reason}"));
                RunAnswer::GivenUp(reason)
            }
        };
        for request in job.waiters {
            self.answer(request, answer.clone());
        }
    }

    /// Removes a job and cancels what owners hold of it.
    fn remove(&mut self, key: HomeJobKey) -> Option<HomeJob> {
        let job = self.jobs.remove(key)?;
        self.task_count -= job.tasks.len();
        self.by_id.swap_remove(&job.id);
        self.found.retain(|(run, _), _| run.task.job != job.id);
        for request in &job.waiters {
            self.requests.swap_remove(request);
        }
        self.release_batches(key);
        Some(job)
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: RunAnswer) {
        self.outputs.push(HomeOutput::Answer { request, answer });
    }

    /// Removes the request of a caller that left; its job ends when no other caller waits for it.
    pub(crate) fn drop_request(&mut self, now: Timestamp, request: RequestId) {
        let Some(key) = self.requests.swap_remove(&request) else {
            return;
        };
        let job = &mut self.jobs[key];
        job.waiters.retain(|waiter| *waiter != request);
        if job.waiters.is_empty() {
            self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Cancelled));
        }
    }

    /// Cancels a job; returns false when it is not known here.
    pub(crate) fn cancel(&mut self, now: Timestamp, id: JobId) -> bool {
        if let Some(key) = self.by_id.get(&id).copied() {
            self.end_job(now, key, JobEnd::Cancelled);
            return true;
        }
        self.ended.contains_key(&id)
    }

    /// The state of a job; none when it is not known here.
    pub(crate) fn look_up(&self, id: JobId) -> Option<RunAnswer> {
        if let Some(end) = self.ended.get(&id) {
            return Some(RunAnswer::Ended(*end));
        }
        let job = &self.jobs[*self.by_id.get(&id)?];
        let is_running = job.may_have_run || job.is_placed();
        Some(RunAnswer::State(match is_running {
            true => JobProgress::Running,
            false => JobProgress::Queued,
        }))
    }

    /// The number of jobs of each queue none of whose tasks is placed or may have run.
    pub(crate) fn waiting(&self) -> Vec<WaitingJobs> {
        let mut waiting: IndexMap<Arc<str>, u64> = IndexMap::new();
        for job in self.jobs.values() {
            if !job.may_have_run && !job.is_placed() {
                *waiting.entry(job.queue.name.clone()).or_default() += 1;
            }
        }
        let waiting = waiting.into_iter();
        waiting
            .map(|(queue, jobs)| WaitingJobs { queue, jobs })
            .collect()
    }

    /// Ends a job whose deadline has passed.
    pub(crate) fn on_deadline(&mut self, now: Timestamp, key: HomeJobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let is_stopping = self.is_stopped_by(now);
        let why = match (job.may_have_run || job.is_placed(), is_stopping) {
            (true, true) => Unfinished::GivenUp(GivenUp::Stopping),
            (true, false) => Unfinished::GivenUp(GivenUp::Deadline),
            (false, true) => Unfinished::NotRun(NotRun::Stopping),
            (false, false) => Unfinished::NotRun(NotRun::WaitedTooLong),
        };
        self.end_unfinished(now, key, why);
    }

    /// Limits the deadlines of open jobs to the time when the stopping instance gives its last
    /// answers.
    pub(crate) fn stop(&mut self, last_answers_at: Timestamp) {
        self.last_answers_at = Some(last_answers_at);
        for (key, job) in &mut self.jobs {
            if job.deadline > last_answers_at {
                job.limit_deadline(last_answers_at);
                self.timers
                    .subscribe(last_answers_at, HomeTimer::Deadline(key));
            }
        }
    }

    /// Whether this instance is stopping and gives its last answers at `at` or earlier.
    pub(crate) fn is_stopped_by(&self, at: Timestamp) -> bool {
        self.last_answers_at.is_some_and(|last| last <= at)
    }

    /// Limits a caller's wait to the time until the stopping instance gives its last answers.
    pub(crate) fn limit_wait(&self, now: Timestamp, wait: Duration) -> Duration {
        self.last_answers_at
            .map_or(wait, |last| wait.min(last.since(now)))
    }

    /// Gives up an ending job whose other tasks have not been reported ended in time.
    pub(crate) fn on_ending_timeout(&mut self, now: Timestamp, key: HomeJobKey) {
        if self.jobs.contains_key(key) {
            self.end_unfinished(now, key, Unfinished::GivenUp(GivenUp::Deadline));
        }
    }
}

fn log_end(now: Timestamp, job: &HomeJob, outcome: &str) {
    let took_ms = whole_ms(now.since(job.accepted_at));
    let is_late = now > job.objective_at;
    tracing::info!(
        job = %job.id, queue = %job.queue.name, outcome, took_ms, is_late,
        limit_ms = whole_ms(job.deadline.since(job.accepted_at)),
        tasks = job.tasks.len(), open_tasks = job.open_tasks, placements = job.placements,
        "job ended"
    );
}
