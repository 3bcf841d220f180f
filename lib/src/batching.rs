//! Batches of tasks: forwarding waiting tasks to siblings and running those of siblings here.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::dispatcher::Dispatcher;
use crate::event::PeerIdentity;
use crate::id::BatchId;
use crate::job::JobOrigin;
use crate::job::JobStage;
use crate::job::Task;
use crate::job::TaskState;
use crate::keys::JobKey;
use crate::keys::ServiceKey;
use crate::keys::SiblingKey;
use crate::outcome::AttemptEnd;
use crate::outcome::NotStartedCause;
use crate::outcome::UnknownCause;
use crate::overflow::OverflowDemand;
use crate::overflow::SiblingCapacity;
use crate::peer_message::BatchTask;
use crate::peer_message::LoadDigest;
use crate::peer_message::PeerMessage;
use crate::peer_message::TaskBatch;
use crate::peer_message::TaskEnd;
use crate::sent_batch::SentBatch;
use crate::submission::Submission;

impl Dispatcher {
    /// Forwards tasks waiting in a service's queue to siblings, split by its overflow policy.
    pub(crate) fn forward_overflow(&mut self, service_key: ServiceKey) {
        if !self.forwards_overflow() {
            return;
        }
        let Some(service) = self.site.services.get(service_key) else {
            return;
        };
        if service.queued_tasks == 0 {
            return;
        }
        let capacities = self.sibling_capacities(&service.name);
        if capacities.is_empty() {
            return;
        }
        let demand = self.overflow_demand(service_key);
        let service = &mut self.site.services[service_key];
        for share in service.overflow.split(&demand, &capacities) {
            self.forward_share(service_key, share.sibling, share.tasks);
        }
    }

    fn sibling_capacities(&self, service: &str) -> Vec<SiblingCapacity> {
        let siblings = self.siblings.iter();
        let accepting = siblings.filter(|(_, sibling)| sibling.can_accept_work(self.now));
        let capacities = accepting.filter_map(|(key, sibling)| {
            let load = sibling.load(service)?;
            Some(SiblingCapacity {
                sibling: key,
                free_slots: load.free_slots,
                queued_tasks: load.queued_tasks,
                slots: load.slots,
                one_way_delay: sibling.one_way_delay,
                same_data_centre: sibling.listed.data_centre == self.config.data_centre,
            })
        });
        capacities.collect()
    }

    fn overflow_demand(&self, service_key: ServiceKey) -> OverflowDemand {
        let load = self.service_load(service_key);
        let service = &self.site.services[service_key];
        let longest = u64::from(service.settings.max_deadline_ms);
        OverflowDemand {
            waiting_tasks: service.queued_tasks,
            own_slots: load.slots,
            own_free_slots: load.free_slots,
            queued_tasks: service.queued_tasks,
            run_estimate: service.estimate.reading(None).mean,
            time_left: std::time::Duration::from_millis(longest),
        }
    }

    fn forward_share(&mut self, service_key: ServiceKey, sibling: SiblingKey, tasks: u32) {
        let mut left = tasks;
        while left > 0 {
            let jobs = &self.jobs;
            let from_callers = |key: JobKey| {
                let origin = jobs.get(key).map(|job| &job.origin);
                matches!(origin, Some(JobOrigin::Callers { .. }))
            };
            let service = &mut self.site.services[service_key];
            let Some(job) = service.queue.next(self.now, &mut { from_callers }) else {
                return;
            };
            let sent = self.forward_tasks(job, sibling, left);
            if sent == 0 {
                return;
            }
            left -= sent;
        }
    }

    /// Forwards up to `max_tasks` waiting tasks of a job to a sibling and returns how many were sent.
    fn forward_tasks(&mut self, key: JobKey, sibling: SiblingKey, max_tasks: u32) -> u32 {
        let Some(state) = self.siblings.get_mut(sibling) else {
            return 0;
        };
        let Some(receiver) = state.incarnation else {
            return 0;
        };
        let batch = state.next_batch();
        let instance = state.listed.name.clone();
        let mut tasks = Vec::new();
        let mut open = IndexMap::new();
        while (tasks.len() as u64) < u64::from(max_tasks) {
            let Some(index) = self.take_waiting(key) else {
                break;
            };
            let job = &mut self.jobs[key];
            job.set_in_flight(index, TaskState::Forwarded);
            let task = &job.tasks[index as usize];
            open.insert(task.id, index);
            tasks.push(BatchTask {
                task: task.id,
                input: task.input.clone(),
            });
        }
        let sent = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        if sent == 0 {
            return 0;
        }
        let message = self.batch_message(key, batch, receiver, tasks);
        let service = message.service.clone();
        if let Some(state) = self.siblings.get_mut(sibling) {
            state.reserve_capacity(&service, sent);
        }
        let record = SentBatch { job: key, open };
        self.sent_batches.insert(sibling, batch, record);
        self.send_peer(instance, PeerMessage::TaskBatch(message));
        sent
    }

    fn batch_message(
        &self,
        key: JobKey,
        batch: BatchId,
        receiver: crate::id::Incarnation,
        tasks: Vec<BatchTask>,
    ) -> TaskBatch {
        let job = &self.jobs[key];
        let team = self.site.teams.get(job.team);
        TaskBatch {
            batch,
            receiver,
            service: self.site.services[job.service].name.clone(),
            team: Arc::from(team.map_or("", |team| team.settings.name.as_str())),
            time_left: job.deadline.since(self.now),
            needs: job.needs,
            remaining: job.remaining(),
            tasks,
            traceparent: job.traceparent.clone(),
        }
    }

    /// Accepts a batch of tasks from a sibling, or refuses the whole batch.
    pub(crate) fn handle_batch(
        &mut self,
        sender: &PeerIdentity,
        sibling: SiblingKey,
        batch: TaskBatch,
    ) {
        let number = batch.batch;
        let is_new = |state: &mut crate::sibling_table::SiblingState| state.record_batch(number);
        if batch.receiver != self.config.incarnation {
            return self.refuse_batch(sender, number);
        }
        if !self.siblings.get_mut(sibling).is_some_and(is_new) {
            return;
        }
        if self.leaving || !self.has_capacity_for(&batch) {
            return self.refuse_batch(sender, number);
        }
        let origin = JobOrigin::Batch {
            instance: sender.instance.clone(),
            batch: number,
            ends: Vec::new(),
        };
        let tasks = batch.tasks.into_iter().map(|task| Task {
            id: task.task,
            input: task.input,
            state: TaskState::Waiting,
            requeues: 0,
            unknown_ends: 0,
        });
        let submission = Submission {
            service: batch.service,
            team: batch.team,
            timeout: Some(batch.time_left),
            idempotent: false,
            needs: batch.needs,
            declared_run_time: None,
            inputs: Vec::new(),
            traceparent: batch.traceparent,
        };
        let tasks = tasks.collect();
        let opened = self.insert_batch_job(origin, tasks, &submission, batch.remaining);
        if opened.is_none() {
            self.refuse_batch(sender, number);
        }
    }

    /// Whether all tasks of a batch would start within about the run time of one task.
    fn has_capacity_for(&self, batch: &TaskBatch) -> bool {
        let Some(service) = self.site.service(&batch.service) else {
            return false;
        };
        let load = self.service_load(service);
        let tasks = u32::try_from(batch.tasks.len()).unwrap_or(u32::MAX);
        load.slots > 0 && load.queued_tasks.saturating_add(tasks) <= load.free_slots + load.slots
    }

    fn refuse_batch(&mut self, sender: &PeerIdentity, batch: BatchId) {
        let digest = self.digest();
        let message = PeerMessage::BatchRefused { batch, digest };
        self.send_peer(sender.instance.clone(), message);
    }

    /// Reports to a batch's home how its tasks ended, and removes the batch's job.
    pub(crate) fn answer_batch(&mut self, key: JobKey) {
        let JobOrigin::Batch {
            instance,
            batch,
            ends,
        } = &mut self.jobs[key].origin
        else {
            return;
        };
        let (instance, batch, ends) = (instance.clone(), *batch, std::mem::take(ends));
        self.remove_job(key);
        let digest = self.digest();
        let message = PeerMessage::BatchAnswer {
            batch,
            ends,
            digest,
        };
        self.send_peer(instance, message);
    }

    /// Handles a sibling's report on the tasks of a batch.
    pub(crate) fn handle_batch_answer(
        &mut self,
        sibling: SiblingKey,
        batch: BatchId,
        ends: Vec<TaskEnd>,
        digest: LoadDigest,
    ) {
        self.handle_digest(sibling, digest);
        for end in ends {
            let Some(sent) = self.sent_batches.get_mut(sibling, batch) else {
                return;
            };
            let job = sent.job;
            let Some(index) = sent.open.swap_remove(&end.task) else {
                continue;
            };
            if sent.open.is_empty() {
                self.sent_batches.remove(sibling, batch);
            }
            self.end_forwarded_task(job, index, end.end);
        }
    }

    fn end_forwarded_task(&mut self, job: JobKey, index: u32, end: AttemptEnd) {
        let open = self.jobs.get(job);
        let open = open.is_some_and(|job| job.stage == JobStage::Open);
        if open {
            self.end_task(job, index, end);
        }
    }

    /// Requeues the tasks of a batch that the sibling did not start.
    pub(crate) fn requeue_batch(&mut self, sibling: SiblingKey, batch: BatchId) {
        let Some(sent) = self.sent_batches.remove(sibling, batch) else {
            return;
        };
        if let Some(state) = self.siblings.get_mut(sibling) {
            state.clear_capacity();
        }
        let indexes: Vec<u32> = sent.open.values().copied().collect();
        for index in indexes.into_iter().rev() {
            let cause = NotStartedCause::Refused;
            self.end_forwarded_task(sent.job, index, AttemptEnd::NotStarted(cause));
        }
    }

    /// Ends the open tasks of all batches at a sibling whose incarnation has ended.
    ///
    /// Their outcome is unknown.
    pub(crate) fn fail_batches_of(&mut self, sibling: SiblingKey) {
        for sent in self.sent_batches.remove_all_of(sibling) {
            let indexes: Vec<u32> = sent.open.values().copied().collect();
            for index in indexes {
                let end = AttemptEnd::Unknown(UnknownCause::SiblingLost);
                self.end_forwarded_task(sent.job, index, end);
            }
        }
    }

    /// Stops and removes batches that their home has cancelled.
    pub(crate) fn cancel_batches(&mut self, sender: &PeerIdentity, batches: &[BatchId]) {
        let jobs = self.jobs.iter();
        let cancelled: Vec<JobKey> = jobs
            .filter(|(_, job)| is_batch_of(&job.origin, &sender.instance, batches))
            .map(|(key, _)| key)
            .collect();
        for key in cancelled {
            self.remove_job(key);
        }
    }

    /// Handles a message of which no byte was sent.
    ///
    /// The tasks of a batch are requeued; the waiter of a forwarded request is answered.
    pub(crate) fn on_peer_not_sent(&mut self, instance: &str, message: PeerMessage) {
        match message {
            PeerMessage::TaskBatch(batch) => {
                if let Some(sibling) = self.siblings.by_name(instance) {
                    self.requeue_batch(sibling, batch.batch);
                }
            }
            PeerMessage::ForwardRequest { correlation, .. } => {
                let reason = crate::outcome::FailReason::HomeUnreachable;
                self.fail_forward(correlation, reason);
            }
            _ => {}
        }
    }
}

fn is_batch_of(origin: &JobOrigin, home: &str, batches: &[BatchId]) -> bool {
    let JobOrigin::Batch {
        instance, batch, ..
    } = origin
    else {
        return false;
    };
    **instance == *home && batches.contains(batch)
}
