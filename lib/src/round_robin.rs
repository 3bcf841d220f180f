//! The choice policy that takes the upstreams in turn.

use crate::choice::Candidate;
use crate::choice::Choice;
use crate::keys::UpstreamKey;

/// Chooses the candidate with the next key after the last chosen one, regardless of load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    last: Option<UpstreamKey>,
}

impl Choice for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let last = self.last;
        let (index, candidate) = candidates
            .iter()
            .enumerate()
            .min_by_key(|(_, candidate)| (Some(candidate.upstream) <= last, candidate.upstream))?;
        self.last = Some(candidate.upstream);
        Some(index)
    }
}
