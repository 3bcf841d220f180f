//! The recent work of each service by priority: what is kept free for earlier priorities, and the share
//! of the work that each priority gets.

use std::sync::Arc;

use indexmap::IndexMap;

use super::recent_tasks::RecentTasks;
use super::task_size::TaskSize;
use crate::time::Timestamp;

/// The largest part of the capacity that is kept for a priority, as a divisor.
const MAX_RESERVE_DIVISOR: u64 = 3;

/// The share of the started work, in percent, below which a priority with queued tasks goes first.
const MIN_SHARE_PERCENT: f64 = 6.0;

/// Work of tasks by service and priority, averaged over the last seconds.
#[derive(Debug, Default)]
pub(crate) struct RecentWork {
    by_priority: IndexMap<(Arc<str>, u32), RecentTasks>,
}

impl RecentWork {
    /// Records a task.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        service: &Arc<str>,
        priority: u32,
        millicores: u32,
        core_ms: u64,
    ) {
        let known = self.by_priority.entry((service.clone(), priority));
        let tasks = known.or_insert_with(|| RecentTasks::new(now));
        tasks.record(now, millicores, core_ms);
    }

    /// Removes what no longer counts, and the services for which `is_kept` is false.
    pub(crate) fn expire(&mut self, now: Timestamp, is_kept: impl Fn(&Arc<str>) -> bool) {
        self.by_priority
            .retain(|(service, _), tasks| is_kept(service) && !tasks.is_expired(now));
    }

    /// The number of services and priorities with recent tasks.
    pub(crate) fn len(&self) -> usize {
        self.by_priority.len()
    }

    /// The priorities of a service that had tasks.
    pub(crate) fn priorities(&self, service: &str) -> Vec<u32> {
        let of_service = self.of_service(service);
        of_service.map(|(priority, _)| priority).collect()
    }

    /// The size of the recent tasks of a service.
    pub(crate) fn task_size(&self, now: Timestamp, service: &str) -> TaskSize {
        let of_service = self.of_service(service);
        let known = of_service.map(|(_, tasks)| tasks.count_and_demand(now));
        let (tasks, sum_millicores) =
            known.fold((0.0, 0.0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
        TaskSize::of_recent(tasks, sum_millicores)
    }

    /// Whether a priority has less than its least share of the recent work of the service.
    pub(crate) fn is_starved(&self, now: Timestamp, service: &Arc<str>, priority: u32) -> bool {
        let all = self.of_service(service);
        let all: f64 = all.map(|(_, tasks)| tasks.core_ms(now)).sum();
        let own = self.by_priority.get(&(service.clone(), priority));
        let own = own.map_or(0.0, |tasks| tasks.core_ms(now));
        own * 100.0 < all * MIN_SHARE_PERCENT
    }

    /// The capacity to keep for tasks of one priority, those that run included, in thousandths of a
    /// core.
    pub(crate) fn reserve(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        priority: u32,
        total: u32,
    ) -> u32 {
        let Some(tasks) = self.by_priority.get(&(service.clone(), priority)) else {
            return 0;
        };
        let reserve = tasks.average_millicores(now) as u64;
        let percent = self.task_size(now, service).reserve_percent();
        let reserve = reserve.saturating_mul(percent) / 100;
        let reserve = reserve.min(u64::from(total) / MAX_RESERVE_DIVISOR);
        u32::try_from(reserve).unwrap_or(u32::MAX)
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = (u32, &RecentTasks)> {
        let known = self.by_priority.iter();
        let of_service = known.filter(move |((name, _), _)| &**name == service);
        of_service.map(|((_, priority), tasks)| (*priority, tasks))
    }
}
