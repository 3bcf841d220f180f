//! How an owner keeps capacity free for tasks of earlier priorities.

use std::sync::Arc;

use indexmap::IndexMap;

use super::held_batch::TaskIndex;
use super::overload::free_for_tasks::FreeForTasks;
use super::owner::Owner;
use super::run_digest::PriorityBacklog;
use super::run_digest::RunLoad;
use super::run_digest::add_backlog;
use super::run_id::HeldBatchKey;
use crate::scaling::percent_of;
use crate::time::Timestamp;

/// The largest part of the capacity that is kept free for all priorities together, as a divisor.
const MAX_RESERVES_DIVISOR: u32 = 2;

/// The run time, in percent of the expected one, that a task of a job that has begun needs until its
/// objective; upstreams may be up to a quarter slower than usual.
const RUN_TIME_MARGIN_PERCENT: u32 = 130;

impl Owner {
    /// Moves one task of each priority that gets less than its least share of the work to the front of
    /// the ranked queue, and returns how many these are.
    pub(crate) fn advance_starved(
        &self,
        now: Timestamp,
        queue: &mut Vec<(HeldBatchKey, TaskIndex)>,
    ) -> usize {
        let mut advanced: IndexMap<(Arc<str>, u32), usize> = IndexMap::new();
        for (position, (batch_key, _)) in queue.iter().enumerate() {
            let batch = &self.batches[*batch_key];
            if self.by_priority.contains(&batch.service) {
                let of_priority = advanced.entry((batch.service.clone(), batch.priority));
                of_priority.or_insert(position);
            }
        }
        advanced.retain(|(service, priority), _| {
            self.recent_starts.is_starved(now, service, *priority)
        });
        let mut positions: Vec<usize> = advanced.into_values().collect();
        positions.sort_unstable();
        for (front, position) in positions.iter().enumerate() {
            let entry = queue.remove(*position);
            queue.insert(front, entry);
        }
        positions.len()
    }

    /// Counts a queued task in the recent demand of its priority.
    pub(crate) fn record_demand(
        &mut self,
        now: Timestamp,
        batch_key: HeldBatchKey,
        task: TaskIndex,
    ) {
        let batch = &self.batches[batch_key];
        if self.by_priority.contains(&batch.service) {
            let millicores = batch.step_demand(task).resources.cpu_millicores;
            let core_ms = batch.core_ms(task);
            let (service, priority) = (&batch.service, batch.priority);
            self.recent_demand
                .record(now, service, priority, millicores, core_ms);
        }
    }

    /// Removes recent work that no longer counts, and that of services whose overload is not handled by
    /// priority any more.
    pub(crate) fn expire_recent_work(&mut self, now: Timestamp) {
        let by_priority = &self.by_priority;
        let is_kept = |service: &Arc<str>| by_priority.contains(service);
        self.recent_demand.expire(now, is_kept);
        self.recent_starts.expire(now, is_kept);
    }

    /// The number of services and priorities whose recent work is kept.
    pub(crate) fn recent_priorities(&self) -> usize {
        self.recent_demand.len().max(self.recent_starts.len())
    }

    /// What a task must leave free for earlier priorities; none where it may take any free capacity, as
    /// a task of a job that has begun may once it can barely meet its objective.
    pub(crate) fn reserve_before(
        &self,
        now: Timestamp,
        batch_key: HeldBatchKey,
        task: TaskIndex,
        reserves: &[PriorityBacklog],
    ) -> Option<FreeForTasks> {
        let batch = &self.batches[batch_key];
        let needed = percent_of(batch.expected_run_time(task), RUN_TIME_MARGIN_PERCENT);
        if batch.has_begun && batch.objective_left(now) <= needed {
            return None;
        }
        let reserved = Some(reserved_before(reserves, batch.priority)).filter(|it| *it > 0)?;
        let of_service = self.upstreams.values();
        let of_service = of_service.filter(|upstream| {
            upstream.listed.service == batch.service && upstream.can_take_work(now)
        });
        let free = of_service.map(|upstream| upstream.free());
        let size = self.recent_demand.task_size(now, &batch.service);
        Some(FreeForTasks::new(size, free, reserved))
    }

    /// What is kept free by priority, for each service whose overload is handled by priority.
    pub(crate) fn reserves(&self, now: Timestamp) -> IndexMap<Arc<str>, Vec<PriorityBacklog>> {
        if self.by_priority.is_empty() {
            return IndexMap::new();
        }
        let loads = self.loads(now).into_iter();
        let loads = loads.filter(|load| self.by_priority.contains(&load.service));
        loads.map(|load| (load.service, load.backlog)).collect()
    }

    /// Adds to a load what is kept free for tasks of each priority: nothing where no task runs, so that
    /// a large task can start on few upstreams.
    pub(crate) fn add_reserves(&self, now: Timestamp, load: &mut RunLoad) {
        if !self.by_priority.contains(&load.service) {
            return;
        }
        for priority in self.recent_demand.priorities(&load.service) {
            add_backlog(&mut load.backlog, priority, 0);
        }
        load.backlog
            .sort_unstable_by_key(|backlog| backlog.priority);
        let mut runs = self.upstreams.values();
        let is_idle = runs.all(|up| up.runs.is_empty() || up.listed.service != load.service);
        if is_idle {
            return;
        }
        let total = load.total.cpu_millicores;
        let mut left = total / MAX_RESERVES_DIVISOR;
        for backlog in &mut load.backlog {
            let reserve = self
                .recent_demand
                .reserve(now, &load.service, backlog.priority, total);
            let running = self.running_millicores(&load.service, backlog.priority);
            backlog.reserved_millicores = reserve.saturating_sub(running).min(left);
            left -= backlog.reserved_millicores;
        }
    }

    fn running_millicores(&self, service: &str, priority: u32) -> u32 {
        let runs = self
            .upstreams
            .values()
            .flat_map(|upstream| upstream.runs.values());
        let of_priority = runs.filter(|run| {
            let batch = run
                .task
                .and_then(|(batch_key, _)| self.batches.get(batch_key));
            batch.is_some_and(|batch| batch.priority == priority && &*batch.service == service)
        });
        of_priority.fold(0, |sum, run| {
            sum.saturating_add(run.resources.cpu_millicores)
        })
    }
}

/// The capacity that is kept free for priorities before this one, in thousandths of a core.
pub(crate) fn reserved_before(backlogs: &[PriorityBacklog], priority: u32) -> u32 {
    let earlier = backlogs
        .iter()
        .filter(|backlog| backlog.priority < priority);
    earlier.fold(0, |sum, backlog| {
        sum.saturating_add(backlog.reserved_millicores)
    })
}
