//! One job: its tasks, and who waits for its answer.

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

/// Someone who is told a job's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A caller of this entry instance.
    Request(RequestId),
    /// A caller of a sibling, which forwarded the request.
    Sibling {
        /// The sibling's name.
        instance: Arc<str>,
        /// The sibling's number for the request.
        correlation: u64,
    },
}

/// Where a job came from.
#[derive(Debug)]
pub(crate) enum JobOrigin {
    /// Callers submitted it, and this entry instance is its home.
    Callers {
        /// Its address.
        address: JobAddress,
        /// Who is told the answer.
        waiters: Vec<Waiter>,
    },
    /// Its home, a sibling, sent these tasks of it.
    Batch {
        /// The home's name.
        instance: Arc<str>,
        /// The batch.
        batch: BatchId,
        /// The tasks that ended, told in one message.
        ends: Vec<TaskEnd>,
    },
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobStage {
    /// Its idempotency key is being claimed; nothing may start.
    Claiming,
    /// Its tasks may start.
    Open,
    /// It has its answer.
    Ended,
}

/// How far a task is.
#[derive(Debug)]
pub(crate) enum TaskState {
    /// Not started.
    Waiting,
    /// Started at an upstream.
    Running(AttemptId),
    /// Handed to a sibling.
    Forwarded,
    /// Finished.
    Done(Bytes),
    /// Ended otherwise; only tasks of batches go on after it.
    Ended,
}

/// One task of a job.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) id: TaskId,
    pub(crate) input: Bytes,
    pub(crate) state: TaskState,
    /// Attempts that ended as not started.
    pub(crate) refused_attempts: u32,
}

/// One job, or the part of a sibling's job that runs here.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) origin: JobOrigin,
    pub(crate) stage: JobStage,
    pub(crate) service: ServiceKey,
    pub(crate) team: TeamKey,
    pub(crate) needs: Needs,
    pub(crate) idempotent: bool,
    /// The run time that the caller declared for one task.
    pub(crate) declared_run_time: Option<Duration>,
    pub(crate) traceparent: Option<Arc<str>>,
    pub(crate) deadline: Timestamp,
    pub(crate) deadline_timer: TimerKey,
    /// A fingerprint of what was submitted, to tell a resubmission from another job.
    pub(crate) fingerprint: u64,
    pub(crate) tasks: Vec<Task>,
    /// The indexes of tasks that wait, in the order to start them.
    pub(crate) waiting: VecDeque<u32>,
    /// Tasks that have not ended.
    pub(crate) open_tasks: u32,
    /// Tasks running here or at siblings.
    pub(crate) in_flight: u32,
    /// Whether some task ran, or may have run and ended.
    pub(crate) ran: bool,
    /// Tasks of the whole job that had not ended when it came in, beyond those here.
    pub(crate) remaining_elsewhere: u32,
    /// The first claim of its key since when nothing ran under the key here.
    pub(crate) first_claim: Option<u64>,
    pub(crate) answer: Option<Arc<JobAnswer>>,
}

impl Job {
    /// Tasks of the whole job that have not ended, for the order in the queue.
    pub(crate) fn remaining(&self) -> u32 {
        self.open_tasks + self.remaining_elsewhere
    }

    /// Whether some task started, or may have.
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran || self.in_flight > 0
    }

    /// Whether every task ended.
    pub(crate) fn is_finished(&self) -> bool {
        self.open_tasks == 0
    }

    /// Takes the next waiting task and gives its index.
    pub(crate) fn take_waiting(&mut self) -> Option<u32> {
        self.waiting.pop_front()
    }

    /// Marks a task as started or forwarded.
    pub(crate) fn set_in_flight(&mut self, index: u32, state: TaskState) {
        self.tasks[index as usize].state = state;
        self.in_flight += 1;
    }

    /// Puts a task that did not start back to wait, before the others.
    pub(crate) fn put_back(&mut self, index: u32) {
        self.tasks[index as usize].state = TaskState::Waiting;
        self.tasks[index as usize].refused_attempts += 1;
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

    /// The bodies of a finished job's tasks, in their order.
    pub(crate) fn take_results(&mut self) -> Vec<Bytes> {
        let tasks = std::mem::take(&mut self.tasks);
        let bodies = tasks.into_iter().filter_map(|task| match task.state {
            TaskState::Done(body) => Some(body),
            _ => None,
        });
        bodies.collect()
    }
}
