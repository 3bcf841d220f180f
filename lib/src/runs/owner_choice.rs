//! The choice of an owner for each task: where it fits now, else where it waits least.

use std::sync::Arc;
use std::time::Duration;

use super::held_batch::core_ms;
use super::resources::Resources;
use super::run_digest::FreeUpstream;
use super::run_digest::RunLoad;
use super::run_digest::short_name;
use super::run_id::PeerKey;
use super::step_reach::StepReach;
use super::upstream_choice::CandidateUpstream;
use super::upstream_choice::PlacementRequest;
use super::upstream_choice::SlowestInTime;
use super::upstream_choice::UpstreamChoice;

/// An instance that owns upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum OwnerRef {
    /// This instance.
    Own,
    /// Another one.
    Peer(PeerKey),
}

/// How near an owner is; nearer ones come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    Own,
    SameDataCentre,
    Elsewhere,
}

/// What is known of an owner's load, with what was placed there since.
#[derive(Clone, Debug)]
pub(crate) struct OwnerView {
    pub(crate) owner: OwnerRef,
    pub(crate) distance: Distance,
    pub(crate) free: Vec<FreeUpstream>,
    pub(crate) total: Resources,
    pub(crate) queued_core_ms: u64,
}

/// Where a task goes, and how long it is expected to wait there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) view: usize,
    pub(crate) wait: Duration,
    /// Whether an upstream there has room for it now, as far as is known here.
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
        }
    }

    /// How long work that comes now waits, as if all cores there worked off the queue together.
    fn wait(&self) -> Duration {
        let cores = u64::from(self.total.cpu_millicores / 1_000).max(1);
        Duration::from_millis(self.queued_core_ms / cores)
    }

    /// The work that waits there, as a share of a core-millisecond for each core.
    fn pressure(&self) -> u64 {
        let cores = u64::from(self.total.cpu_millicores / 1_000).max(1);
        self.queued_core_ms.saturating_mul(1_000) / cores
    }
}

/// Chooses an owner for one task and counts the task there.
pub(crate) fn choose_owner(
    views: &mut [OwnerView],
    demand: Resources,
    task: &PlacementRequest,
    avoid: &[Arc<str>],
    reach: &mut StepReach,
) -> Option<Choice> {
    if let Some((view, upstream)) = fitting(views, demand, task, avoid, reach) {
        reach.take(views[view].owner);
        views[view].free[upstream].free -= demand;
        let wait = Duration::ZERO;
        return Some(Choice {
            view,
            wait,
            has_capacity: true,
        });
    }
    if task.is_run_time_known {
        // Only an upstream that is fast enough helps, and none is free: the home looks again.
        return None;
    }
    let waiting = views.iter().enumerate();
    let waiting = waiting.filter(|(_, view)| demand.fits(view.total) && reach.has_left(view.owner));
    let (view, least) = waiting.min_by_key(|(_, view)| (view.pressure(), view.distance))?;
    let wait = least.wait();
    reach.take(least.owner);
    views[view].queued_core_ms += core_ms(demand.cpu_millicores, task.expected_run_time);
    Some(Choice {
        view,
        wait,
        has_capacity: false,
    })
}

/// The best upstream with room for a task now, by its owner's place and its own.
fn fitting(
    views: &[OwnerView],
    demand: Resources,
    task: &PlacementRequest,
    avoid: &[Arc<str>],
    reach: &StepReach,
) -> Option<(usize, usize)> {
    let avoid: Vec<u32> = avoid.iter().map(|upstream| short_name(upstream)).collect();
    let mut places = Vec::new();
    let mut candidates = Vec::new();
    let reached = views.iter().enumerate();
    for (index, view) in reached.filter(|(_, view)| reach.has_left(view.owner)) {
        for (place, upstream) in view.free.iter().enumerate() {
            if !demand.fits(upstream.free) || !reach.allows(upstream.name) {
                continue;
            }
            places.push((index, place));
            candidates.push(CandidateUpstream {
                avoided: avoid.contains(&upstream.name),
                far_from_data: reach.is_far_from_data(upstream.name),
                slowness_percent: upstream.slowness_percent,
                left_millicores: upstream.free.minus(demand).cpu_millicores,
                distance: view.distance as u32,
            });
        }
    }
    let chosen = SlowestInTime.choose(task, &candidates)?;
    Some(places[chosen])
}
