//! The choice of an upstream for a task, among those with enough free capacity.

use std::time::Duration;

use almondhead_macros::value;

use crate::scaling::percent_of;

/// A task that needs an upstream.
#[value]
#[derive(Copy)]
pub struct PlacementRequest {
    /// Its expected run time on an upstream of usual speed.
    pub expected_run_time: Duration,
    /// Whether that is known from the task's progress elsewhere, and not only declared.
    pub is_run_time_known: bool,
    /// Whether nothing else may run on its upstream.
    pub is_alone: bool,
    /// How long until its job's objective.
    pub objective_left: Duration,
    /// How long until its caller leaves.
    pub deadline_left: Duration,
}

/// An upstream that could take the task.
#[value]
#[derive(Copy)]
pub struct CandidateUpstream {
    /// Whether the task failed there before.
    pub avoided: bool,
    /// Whether the task's data is in another rack.
    pub far_from_data: bool,
    /// The ratio of run times there to those on an upstream of usual speed, in percent.
    pub slowness_percent: u32,
    /// The processor capacity that would stay free, in thousandths of a core.
    pub left_millicores: u32,
    /// The distance to it, zero nearest.
    pub distance: u32,
}

/// Chooses one of several upstreams.
pub trait UpstreamChoice: std::fmt::Debug + Send {
    /// The index of the chosen candidate; none when no candidate will do.
    fn choose(&self, task: &PlacementRequest, candidates: &[CandidateUpstream]) -> Option<usize>;
}

/// The run time, in percent of the declared one, with which a task must still end before its caller
/// leaves: declared run times are off by about two fifths.
///
/// The objective needs no such margin, since it grows with the true run time.
const DECLARED_SAFETY_PERCENT: u32 = 300;

/// The same for a known run time.
const KNOWN_SAFETY_PERCENT: u32 = 108;

/// The width of a speed class, in percent: upstreams of one class count as equally fast.
const SPEED_CLASS_PERCENT: u32 = 10;

/// Chooses the nearest candidate on which the task ends in time and, of these, the slowest, so that
/// fast ones stay free for tasks that need them; the fastest when the task ends in time on none.
/// Among equals it chooses the fullest, so that others keep capacity for tasks with large demands.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowestInTime;

impl UpstreamChoice for SlowestInTime {
    fn choose(&self, task: &PlacementRequest, candidates: &[CandidateUpstream]) -> Option<usize> {
        let ranked = candidates.iter().enumerate();
        // A start where the task is known to end too late would be wasted.
        let ranked = ranked.filter(|(_, candidate)| !task.is_infeasible_on(candidate));
        let best = ranked.min_by_key(|(_, candidate)| {
            let is_in_time = task.is_in_time_on(candidate);
            let speed_class = candidate.slowness_percent / SPEED_CLASS_PERCENT;
            let (near_first, speed) = match is_in_time {
                true => (candidate.distance, u32::MAX - speed_class),
                false => (0, speed_class),
            };
            // The one with the most left is the most likely to be idle.
            let in_use = match task.is_alone {
                true => u32::MAX - candidate.left_millicores,
                false => 0,
            };
            (
                candidate.avoided,
                candidate.far_from_data,
                !is_in_time,
                in_use,
                (near_first, speed),
                candidate.distance,
                candidate.left_millicores,
            )
        });
        best.map(|(index, _)| index)
    }
}

impl PlacementRequest {
    /// Whether the task, if it runs there, is known to end after its caller has left.
    fn is_infeasible_on(&self, candidate: &CandidateUpstream) -> bool {
        let run_time = percent_of(self.expected_run_time, candidate.slowness_percent);
        self.is_run_time_known && run_time > self.deadline_left
    }

    /// Whether the task, if it runs there, ends by its objective and, with a margin, before its caller
    /// leaves.
    fn is_in_time_on(&self, candidate: &CandidateUpstream) -> bool {
        let run_time = percent_of(self.expected_run_time, candidate.slowness_percent);
        let safety_percent = match self.is_run_time_known {
            true => KNOWN_SAFETY_PERCENT,
            false => DECLARED_SAFETY_PERCENT,
        };
        run_time <= self.objective_left
            && percent_of(run_time, safety_percent) <= self.deadline_left
    }
}
