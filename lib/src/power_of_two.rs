//! The choice policy "power of two choices": the less loaded of two random upstreams.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::choice::Candidate;
use crate::choice::Choice;

/// Draws two candidates at random and chooses the less loaded one.
#[derive(Debug)]
pub struct PowerOfTwo {
    rng: StdRng,
}

impl PowerOfTwo {
    /// Creates the policy with a random generator seeded by `seed`.
    pub fn new(seed: u64) -> Self {
        PowerOfTwo {
            rng: StdRng::seed_from_u64(seed),
        }
    }
}

impl Choice for PowerOfTwo {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let count = candidates.len();
        if count < 2 {
            return count.checked_sub(1);
        }
        let first = self.rng.random_range(0..count);
        let second = (first + self.rng.random_range(1..count)) % count;
        if candidates[second].is_less_loaded_than(&candidates[first]) {
            return Some(second);
        }
        Some(first)
    }
}
