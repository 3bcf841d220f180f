//! The choice policy that takes the upstream with the fewest tasks in flight per slot.

use crate::choice::Candidate;
use crate::choice::Choice;

/// Chooses the candidate with the fewest tasks in flight per slot.
///
/// Ties are broken by recent latency, then by round robin.
#[derive(Debug, Default)]
pub struct LeastLoaded {
    start: usize,
}

impl Choice for LeastLoaded {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        self.start = self.start.wrapping_add(1);
        let mut best = self.start % count;
        for step in 1..count {
            let index = (self.start % count + step) % count;
            if candidates[index].is_less_loaded_than(&candidates[best]) {
                best = index;
            }
        }
        Some(best)
    }
}
