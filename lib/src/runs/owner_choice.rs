//! The choice of an owner for a task: one with free capacity, else the one with the shortest queue.

use std::sync::Arc;
use std::time::Duration;

use super::held_batch::core_ms;
use super::overload::free_for_tasks::FreeForTasks;
use super::overload::task_size::TaskSize;
use super::owner_reserve::reserved_before;
use super::resources::Resources;
use super::run_digest::FreeUpstream;
use super::run_digest::PriorityBacklog;
use super::run_digest::RunLoad;
use super::run_digest::add_backlog;
use super::run_digest::name_hash;
use super::run_id::PeerKey;
use super::step_constraints::StepConstraints;
use super::upstream_choice::CandidateUpstream;
use super::upstream_choice::PlacementRequest;
use super::upstream_choice::SlowestInTime;
use super::upstream_choice::UpstreamChoice;

/// An instance that owns upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum OwnerRef {
    /// This instance.
    Own,
    /// Another instance.
    Peer(PeerKey),
}

/// How near an owner is; nearer ones are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// This instance.
    Own,
    /// Another instance in the same data centre.
    SameDataCentre,
    /// An instance in another data centre.
    Elsewhere,
}

/// An owner's last reported load for one service, plus the tasks that were placed there since.
#[derive(Clone, Debug)]
pub(crate) struct OwnerView {
    pub(crate) owner: OwnerRef,
    pub(crate) distance: Distance,
    pub(crate) free: Vec<FreeUpstream>,
    pub(crate) total: Resources,
    /// The work of all queued tasks, in milliseconds of one core.
    pub(crate) queued_core_ms: u64,
    /// The part of it whose priority is known.
    pub(crate) backlog: Vec<PriorityBacklog>,
    /// The priority of the job to be placed; none where priorities do not matter.
    pub(crate) priority: Option<u32>,
    /// The size of the tasks that this instance's own upstreams were asked to run lately.
    pub(crate) task_size: TaskSize,
    /// Whether the load is recent enough to refuse a job because of it.
    pub(crate) is_recent: bool,
}

/// The owner chosen for a task, and how long the task is expected to wait there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnerChoice {
    /// The index of the owner's view.
    pub(crate) view: usize,
    pub(crate) wait: Duration,
    /// Whether an upstream there has free capacity for it, by the load known so far.
    pub(crate) has_capacity: bool,
}

impl OwnerView {
    pub(crate) fn new(owner: OwnerRef, distance: Distance, load: &RunLoad) -> Self {
        OwnerView {
            owner,
            distance,
            free: load.free.clone(),
            total: load.total,
            queued_core_ms: load.queued_core_ms,
            backlog: load.backlog.clone(),
            priority: None,
            task_size: TaskSize::default(),
            is_recent: true,
        }
    }

    /// The queued work that goes before a new task: that of its own and of earlier priorities.
    fn queued_ahead(&self) -> u64 {
        let Some(priority) = self.priority else {
            return self.queued_core_ms;
        };
        let behind = self.backlog.iter();
        let behind = behind.filter(|backlog| backlog.priority > priority);
        let behind = behind.fold(0_u64, |sum, backlog| sum.saturating_add(backlog.core_ms));
        self.queued_core_ms.saturating_sub(behind)
    }

    /// What a task must leave free for earlier priorities; none where it may take any free capacity.
    fn reserve(&self) -> Option<FreeForTasks> {
        let reserved = reserved_before(&self.backlog, self.priority?);
        let free = self.free.iter().map(|upstream| upstream.free_resources);
        (reserved > 0).then(|| FreeForTasks::new(self.task_size, free, reserved))
    }

    /// Adds the work of a task that is placed there.
    fn add_queued(&mut self, core_ms: u64) {
        self.queued_core_ms = self.queued_core_ms.saturating_add(core_ms);
        if let Some(priority) = self.priority {
            add_backlog(&mut self.backlog, priority, core_ms);
        }
    }

    /// How long a new task waits if all cores there share the queued work evenly.
    fn wait(&self) -> Duration {
        let cores = u64::from(self.total.cpu_millicores / 1_000).max(1);
        Duration::from_millis(self.queued_ahead() / cores)
    }

    /// The queued work for each core, in microseconds.
    fn queued_us_per_core(&self) -> u64 {
        let cores = u64::from(self.total.cpu_millicores / 1_000).max(1);
        self.queued_ahead().saturating_mul(1_000) / cores
    }
}

/// Chooses an owner for one task and adds the task to that owner's load.
///
/// An owner with free capacity is preferred; otherwise the one with the least queued work for each
/// core.
pub(crate) fn choose_owner(
    views: &mut [OwnerView],
    demand: Resources,
    task: &PlacementRequest,
    avoid: &[Arc<str>],
    constraints: &mut StepConstraints,
) -> Option<OwnerChoice> {
    if let Some((view, upstream)) = find_free_upstream(views, demand, task, avoid, constraints) {
        constraints.count_task(views[view].owner);
        views[view].free[upstream].free_resources -= demand;
        let wait = Duration::ZERO;
        return Some(OwnerChoice {
            view,
            wait,
            has_capacity: true,
        });
    }
    if task.is_run_time_known {
        // Only a free upstream that is fast enough helps. The task keeps waiting at its home.
        return None;
    }
    let waiting = views.iter().enumerate();
    let waiting = waiting
        .filter(|(_, view)| demand.fits(view.total) && constraints.has_remaining(view.owner));
    let (view, least) =
        waiting.min_by_key(|(_, view)| (view.queued_us_per_core(), view.distance))?;
    let wait = match least.is_recent {
        true => least.wait(),
        false => Duration::ZERO,
    };
    constraints.count_task(least.owner);
    views[view].add_queued(core_ms(demand.cpu_millicores, task.expected_run_time));
    Some(OwnerChoice {
        view,
        wait,
        has_capacity: false,
    })
}

/// The best upstream with free capacity for a task: the index of its owner's view and its index
/// there.
fn find_free_upstream(
    views: &[OwnerView],
    demand: Resources,
    task: &PlacementRequest,
    avoid: &[Arc<str>],
    constraints: &StepConstraints,
) -> Option<(usize, usize)> {
    let avoid: Vec<u32> = avoid.iter().map(|upstream| name_hash(upstream)).collect();
    let mut positions = Vec::new();
    let mut candidates = Vec::new();
    let indexed = views.iter().enumerate();
    for (index, view) in indexed.filter(|(_, view)| constraints.has_remaining(view.owner)) {
        let reserve = view.reserve();
        for (position, upstream) in view.free.iter().enumerate() {
            if !demand.fits(upstream.free_resources) || !constraints.allows(upstream.name_hash) {
                continue;
            }
            if reserve.is_some_and(|reserve| !reserve.allows(upstream.free_resources, demand)) {
                continue;
            }
            positions.push((index, position));
            candidates.push(CandidateUpstream {
                avoided: avoid.contains(&upstream.name_hash),
                far_from_data: constraints.is_far_from_data(upstream.name_hash),
                slowness_percent: upstream.slowness_percent,
                left_millicores: upstream.free_resources.minus(demand).cpu_millicores,
                distance: view.distance as u32,
            });
        }
    }
    let chosen = SlowestInTime.choose(task, &candidates)?;
    Some(positions[chosen])
}
