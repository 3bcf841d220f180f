//! The choice of an upstream for a task, among those with room.

/// An upstream that could take the task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomyUpstream {
    /// Whether the task failed there before.
    pub avoided: bool,
    /// Whether the task's data is elsewhere.
    pub far_from_data: bool,
    /// The measured run times there over the expected ones.
    pub slowness: f64,
    /// The processor that would stay free, in thousandths of a core.
    pub left_millicores: u32,
}

/// Chooses one of several upstreams.
pub trait UpstreamChoice: std::fmt::Debug + Send {
    /// The index of the chosen one; none without candidates.
    fn choose(&self, candidates: &[RoomyUpstream]) -> Option<usize>;
}

/// Upstreams whose slowness differs by less than this share count as equally fast.
const SAME_SPEED: f64 = 0.1;

/// The fastest first, and among equally fast ones the fullest, so that room for wide tasks stays.
#[derive(Debug, Default)]
pub struct FastestThenFullest;

impl UpstreamChoice for FastestThenFullest {
    fn choose(&self, candidates: &[RoomyUpstream]) -> Option<usize> {
        let ranked = candidates.iter().enumerate();
        let best = ranked.min_by_key(|(_, candidate)| {
            let speed_class = (candidate.slowness / SAME_SPEED).round();
            (
                candidate.avoided,
                candidate.far_from_data,
                speed_class as i64,
                candidate.left_millicores,
            )
        });
        best.map(|(index, _)| index)
    }
}
