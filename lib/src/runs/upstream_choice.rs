//! The choice of an upstream for a task, among those with room.

use std::time::Duration;

use almondhead_macros::value;

/// A task that looks for an upstream.
#[value]
#[derive(Copy)]
pub struct PlacementRequest {
    /// Its expected run time on an upstream of usual speed.
    pub expected_run_time: Duration,
    /// Whether that is known from its progress elsewhere, not from what was declared.
    pub is_run_time_known: bool,
    /// How long until its job is to end.
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
    /// Whether the task's data is elsewhere.
    pub far_from_data: bool,
    /// The measured run times there over the expected ones, in hundredths.
    pub slowness_percent: u32,
    /// The processor that would stay free, in thousandths of a core.
    pub left_millicores: u32,
    /// How far it is, zero nearest.
    pub distance: u32,
}

/// Chooses one of several upstreams.
pub trait UpstreamChoice: std::fmt::Debug + Send {
    /// The index of the chosen one; none without candidates.
    fn choose(&self, task: &PlacementRequest, candidates: &[CandidateUpstream]) -> Option<usize>;
}

/// How much longer than declared a task may run and must still end before its caller leaves, in
/// hundredths: declared run times are off by about two fifths.
///
/// The objective needs no such margin, since it grows with the true run time.
const DECLARED_SAFETY_PERCENT: u32 = 300;

/// The same margin for a run time that is known.
const KNOWN_SAFETY_PERCENT: u32 = 108;

/// Upstreams whose slowness differs by less than these hundredths count as equally fast.
const SAME_SPEED_PERCENT: u32 = 10;

/// The nearest and, of these, the slowest that is surely in time, so that fast upstreams stay for
/// tasks that need them; the fastest when none is. The fullest among equals, so that room for
/// wide tasks stays.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowestInTime;

impl UpstreamChoice for SlowestInTime {
    fn choose(&self, task: &PlacementRequest, candidates: &[CandidateUpstream]) -> Option<usize> {
        let ranked = candidates.iter().enumerate();
        // Starting where a task is known to end too late helps nobody.
        let ranked = ranked.filter(|(_, candidate)| !task.is_infeasible_on(candidate));
        let best = ranked.min_by_key(|(_, candidate)| {
            let is_in_time = task.is_in_time(candidate);
            let speed_class = candidate.slowness_percent / SAME_SPEED_PERCENT;
            let (near_first, speed) = match is_in_time {
                true => (candidate.distance, u32::MAX - speed_class),
                false => (0, speed_class),
            };
            (
                candidate.avoided,
                candidate.far_from_data,
                !is_in_time,
                (near_first, speed),
                candidate.distance,
                candidate.left_millicores,
            )
        });
        best.map(|(index, _)| index)
    }
}

impl PlacementRequest {
    /// Whether the task surely ends after its caller has left if it runs there.
    fn is_infeasible_on(&self, candidate: &CandidateUpstream) -> bool {
        let run = self.expected_run_time * candidate.slowness_percent / 100;
        self.is_run_time_known && run > self.deadline_left
    }

    fn is_in_time(&self, candidate: &CandidateUpstream) -> bool {
        let run = self.expected_run_time * candidate.slowness_percent / 100;
        let safety_percent = match self.is_run_time_known {
            true => KNOWN_SAFETY_PERCENT,
            false => DECLARED_SAFETY_PERCENT,
        };
        run <= self.objective_left && run * safety_percent / 100 <= self.deadline_left
    }
}
