//! Placement: which owner gets which waiting task.

use std::sync::Arc;

use indexmap::IndexMap;

use super::assignment::with_owners;
use super::home::Home;
use super::home::HomeOutput;
use super::home_job::HomeJob;
use super::home_task::HomeState;
use super::listed_upstream::ListedUpstream;
use super::overload::caller_cost::handicap;
use super::owner_choice::Distance;
use super::owner_choice::OwnerRef;
use super::owner_choice::OwnerView;
use super::owner_choice::choose_owner;
use super::peer_table::PeerTable;
use super::run_dispatcher::RunDispatcher;
use super::run_id::HomeJobKey;
use super::step_constraints::StepConstraints;
use crate::time::Timestamp;

impl RunDispatcher {
    /// The owners that accept tasks of a service now, with their known load.
    pub(crate) fn owner_views(&self, service: &str) -> Vec<OwnerView> {
        let mut views = Vec::new();
        let is_by_priority = self.owner.by_priority.contains(service);
        let own_loads = self.owner.loads(self.now);
        for load in own_loads.iter().filter(|load| &*load.service == service) {
            views.push(OwnerView::new(OwnerRef::Own, Distance::Own, load));
        }
        for (key, peer) in &self.peers.peers {
            if self.is_load_outdated(peer) {
                continue;
            }
            let Some(load) = peer.load(self.now, service) else {
                continue;
            };
            let distance = match peer.data_centre == self.settings.data_centre {
                true => Distance::SameDataCentre,
                false => Distance::Elsewhere,
            };
            let mut view = OwnerView::new(OwnerRef::Peer(key), distance, load);
            view.is_recent = !is_by_priority || peer.has_recent_digest(self.now);
            views.push(view);
        }
        let task_size = self.owner.recent_demand.task_size(self.now, service);
        for view in &mut views {
            view.task_size = task_size;
        }
        self.remove_evacuated(service, &mut views);
        views
    }

    /// The time by which waiting jobs are placed, the earliest first.
    fn placement_order(&self, job: &HomeJob) -> Timestamp {
        match self.owner.by_priority.contains(&job.queue.service) {
            true => job.objective_at + handicap(job.queue.priority),
            false => job.objective_at,
        }
    }

    /// Places waiting tasks at owners, jobs with the earliest objective first.
    pub(crate) fn place_waiting(&mut self) {
        if !self.home.take_dirty() {
            return;
        }
        let jobs = self.home.jobs.iter();
        let waiting = jobs.filter(|(_, job)| job.ending.is_none() && job.is_waiting());
        let mut waiting: Vec<(Timestamp, HomeJobKey)> = waiting
            .map(|(key, job)| (self.placement_order(job), key))
            .collect();
        waiting.sort_unstable();
        let mut views: IndexMap<Arc<str>, Vec<OwnerView>> = IndexMap::new();
        for (_, key) in waiting {
            let service = self.home.jobs[key].queue.service.clone();
            let service_views = match views.get_mut(&service) {
                Some(service_views) => service_views,
                None => {
                    let service_views = self.owner_views(&service);
                    views.entry(service).or_insert(service_views)
                }
            };
            let is_by_priority = self
                .owner
                .by_priority
                .contains(&self.home.jobs[key].queue.service);
            let priority = self.home.jobs[key].queue.priority;
            for view in service_views.iter_mut() {
                view.priority = is_by_priority.then_some(priority);
            }
            let upstreams = || {
                let upstreams = with_owners(&self.roster, &self.listing);
                upstreams.filter(|(upstream, _)| !self.evacuation.contains(&upstream.data_centre))
            };
            let mut step_constraints = step_constraints(&self.home.jobs[key], upstreams, |name| {
                owner_named(&self.settings.instance, &self.peers, name)
            });
            place_job(
                &mut self.home,
                self.now,
                key,
                service_views,
                &mut step_constraints,
            );
        }
    }
}

/// The owner with this instance name; none when no such instance is known.
fn owner_named(own: &str, peers: &PeerTable, name: &str) -> Option<OwnerRef> {
    match name == own {
        true => Some(OwnerRef::Own),
        false => peers.by_name(name).map(OwnerRef::Peer),
    }
}

/// The constraints on where the tasks of each step of a job may be placed, among these upstreams with
/// their owners.
fn step_constraints<'a, I>(
    job: &HomeJob,
    upstreams: impl Fn() -> I,
    owner_named: impl Fn(&str) -> Option<OwnerRef>,
) -> Vec<StepConstraints>
where
    I: Iterator<Item = (&'a Arc<ListedUpstream>, Option<&'a str>)>,
{
    let steps = (0..).zip(&job.spec.steps);
    let step_constraints = steps.map(|(index, step)| {
        if !StepConstraints::is_needed(step) {
            return StepConstraints::default();
        }
        let upstreams = upstreams()
            .filter(|(upstream, _)| upstream.service == job.queue.service)
            .map(|(upstream, owner)| (&**upstream, owner.and_then(&owner_named)));
        let placed = job.tasks.iter().filter_map(|task| match task.state {
            HomeState::Placed { owner, .. } if task.step == index => Some(owner),
            _ => None,
        });
        StepConstraints::new(step, upstreams, placed)
    });
    step_constraints.collect()
}

/// Places the waiting tasks of a job at owners, one batch for each owner.
fn place_job(
    home: &mut Home,
    now: Timestamp,
    key: HomeJobKey,
    views: &mut [OwnerView],
    step_constraints: &mut [StepConstraints],
) {
    let job = &home.jobs[key];
    let suspension = &home.crashes.suspension;
    let is_suspended = suspension.remaining(now, &job.queue.name).is_some();
    let mut has_begun = job.has_begun;
    let mut chosen: IndexMap<OwnerRef, Vec<usize>> = IndexMap::new();
    for (index, task) in job.tasks.iter().enumerate() {
        if task.state != HomeState::Waiting || (task.is_alone && is_suspended) {
            continue;
        }
        let step = task.step as usize;
        let demand = job.spec.steps[step].resources;
        let placement_request = job.placement_request(now, index);
        if let Some(choice) = choose_owner(
            views,
            demand,
            &placement_request,
            &task.avoid,
            &mut step_constraints[step],
        ) {
            let owner = views[choice.view].owner;
            has_begun |= choice.has_capacity;
            chosen.entry(owner).or_default().push(index);
        }
    }
    home.jobs[key].has_begun = has_begun;
    for (owner, tasks) in chosen {
        let batch = home.create_batch(now, key, owner, &tasks);
        tracing::info!(
            job = %batch.job, owner = home.owner_name(owner), batch = batch.number, tasks = tasks.len(), "tasks placed"
        );
        home.outputs.push(HomeOutput::Place { owner, batch });
    }
}
