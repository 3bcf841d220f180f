//! A job: its tasks, its origin and who waits for its answer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::id::AttemptId;
use crate::id::BatchId;
use crate::id::JobAddress;
use crate::id::RequestId;
use crate::id::TaskId;
use crate::keys::ServiceKey;
use crate::keys::TeamKey;
use crate::outcome::AttemptEnd;
use crate::outcome::JobAnswer;
use crate::peer_message::TaskEnd;
use crate::submission::Needs;
use crate::time::Timestamp;
use crate::timer::TimerKey;

/// A request that is waiting for a job's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A caller of this entry instance.
    Request(RequestId),
    /// A request of a sibling's caller, which the sibling forwarded.
    Sibling {
        /// The sibling's name.
        instance: Arc<str>,
        /// The number that the sibling gave the request.
        correlation: u64,
    },
}

/// Where a job came from.
#[derive(Debug)]
pub(crate) enum JobOrigin {
    /// A caller submitted it, and this incarnation is its home.
    Callers {
        /// The job's address.
        address: JobAddress,
        /// Who is sent the answer.
        waiters: Vec<Waiter>,
    },
    /// It holds tasks that the job's home, a sibling, forwarded in a batch.
    Batch {
        /// The home's name.
        instance: Arc<str>,
        /// The number of the batch.
        batch: BatchId,
        /// The ends of its tasks so far, which are reported in one message.
        ends: Vec<TaskEnd>,
    },
}

/// The stage of a job's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobStage {
    /// Its idempotency key is being claimed; no task may start.
    Claiming,
    /// Its tasks may be started.
    Open,
    /// It has been answered.
    Ended,
}

/// The state of a task.
#[derive(Debug)]
pub(crate) enum TaskState {
    /// Not started.
    Waiting,
    /// In flight to an upstream.
    Running(AttemptId),
    /// Forwarded to a sibling.
    Forwarded,
    /// Finished, with the body of the upstream's answer.
    Done(Bytes),
    /// Ended otherwise, or ended in a batch, where [`JobOrigin::Batch`] holds the end.
    ///
    /// Only a batch goes on after such a task; a caller's job ends with it.
    Ended,
}

/// One task of a job.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) id: TaskId,
    pub(crate) input: Bytes,
    pub(crate) state: TaskState,
    /// How often the task was requeued after an attempt.
    pub(crate) requeues: u32,
    /// How many of its attempts had an unknown end.
    pub(crate) unknown_ends: u32,
}

/// A job, or the tasks of a sibling's job that run here.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) origin: JobOrigin,
    pub(crate) stage: JobStage,
    pub(crate) service: ServiceKey,
    pub(crate) team: TeamKey,
    pub(crate) needs: Needs,
    pub(crate) idempotent: bool,
    /// The run time of one task as declared by the caller.
    pub(crate) declared_run_time: Option<Duration>,
    pub(crate) traceparent: Option<Arc<str>>,
    pub(crate) deadline: Timestamp,
    pub(crate) deadline_timer: TimerKey,
    /// A hash of the submission, which distinguishes a resubmission from another job.
    pub(crate) fingerprint: u64,
    pub(crate) tasks: Vec<Task>,
    /// The indexes of waiting tasks, in the order in which to start them.
    pub(crate) waiting: VecDeque<u32>,
    /// The number of tasks that have not ended.
    pub(crate) open_tasks: u32,
    /// The number of tasks in flight to upstreams or forwarded to siblings.
    pub(crate) in_flight: u32,
    /// Whether a task has ended that ran or may have run.
    pub(crate) ran: bool,
    /// For a batch: the tasks of the whole job outside the batch that were open when it arrived.
    pub(crate) remaining_elsewhere: u32,
    /// The number of the earliest claim of its key since which nothing has run under the key here.
    pub(crate) first_claim: Option<u64>,
    pub(crate) answer: Option<Arc<JobAnswer>>,
}

impl Job {
    /// The number of open tasks of the whole job, by which the queue is ordered.
    pub(crate) fn remaining(&self) -> u32 {
        self.open_tasks + self.remaining_elsewhere
    }

    /// Whether a task was started, or may have been.
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran || self.in_flight > 0
    }

    /// Whether every task has ended.
    pub(crate) fn is_finished(&self) -> bool {
        self.open_tasks == 0
    }

    /// Removes the next waiting task and returns its index.
    pub(crate) fn take_waiting(&mut self) -> Option<u32> {
        self.waiting.pop_front()
    }

    /// Marks a task as running or forwarded.
    pub(crate) fn set_in_flight(&mut self, index: u32, state: TaskState) {
        self.tasks[index as usize].state = state;
        self.in_flight += 1;
    }

    /// Returns a task in flight to the front of the waiting tasks.
    pub(crate) fn requeue(&mut self, index: u32) {
        self.tasks[index as usize].state = TaskState::Waiting;
        self.tasks[index as usize].requeues += 1;
        self.in_flight -= 1;
        self.waiting.push_front(index);
    }

    /// Marks a task in flight as finished.
    pub(crate) fn finish_task(&mut self, index: u32, body: Bytes) {
        self.ran = true;
        self.in_flight -= 1;
        self.open_tasks -= 1;
        let task = &mut self.tasks[index as usize];
        if let JobOrigin::Batch { ends, .. } = &mut self.origin {
            ends.push(TaskEnd {
                task: task.id,
                end: AttemptEnd::Finished { body },
            });
            task.state = TaskState::Ended;
        } else {
            task.state = TaskState::Done(body);
        }
    }

    /// Takes the bodies of a finished job's tasks, in the order of the tasks.
    pub(crate) fn take_results(&mut self) -> Vec<Bytes> {
        let tasks = std::mem::take(&mut self.tasks);
        let bodies = tasks.into_iter().filter_map(|task| match task.state {
            TaskState::Done(body) => Some(body),
            _ => None,
        });
        bodies.collect()
    }
}
