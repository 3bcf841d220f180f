//! The choice of an owner for each task: where it fits now, else where it waits least.

use std::time::Duration;

use super::held_batch::core_ms;
use super::resources::Resources;
use super::run_digest::RunLoad;
use super::run_id::PeerKey;

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
    pub(crate) free: Vec<Resources>,
    pub(crate) total: Resources,
    pub(crate) queued_core_ms: u64,
}

/// Where a task goes, and how long it is expected to wait there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Choice {
    pub(crate) view: usize,
    pub(crate) wait: Duration,
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

    /// The fullest upstream with room for a task.
    fn fitting(&self, room: Resources) -> Option<usize> {
        let fitting = self.free.iter().enumerate();
        let fitting = fitting.filter(|(_, free)| room.fits(**free));
        let fullest = fitting.min_by_key(|(_, free)| free.cpu_millicores);
        fullest.map(|(index, _)| index)
    }

    fn free_millicores(&self) -> u32 {
        let free = self.free.iter().map(|room| room.cpu_millicores);
        free.fold(0, u32::saturating_add)
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
    room: Resources,
    expected_run: Duration,
) -> Option<Choice> {
    let fitting = views.iter().enumerate().filter_map(|(index, view)| {
        let upstream = view.fitting(room)?;
        Some((index, upstream, view.distance, view.free_millicores()))
    });
    let nearest = fitting.min_by_key(|(_, _, distance, free)| (*distance, u32::MAX - free));
    if let Some((view, upstream, _, _)) = nearest {
        views[view].free[upstream] -= room;
        let wait = Duration::ZERO;
        return Some(Choice { view, wait });
    }
    let waiting = views.iter().enumerate();
    let waiting = waiting.filter(|(_, view)| room.fits(view.total));
    let (view, least) = waiting.min_by_key(|(_, view)| (view.pressure(), view.distance))?;
    let wait = least.wait();
    views[view].queued_core_ms += core_ms(room.cpu_millicores, expected_run);
    Some(Choice { view, wait })
}
