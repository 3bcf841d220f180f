//! The setting that selects what gives way under overload.

use almondhead_macros::value;

/// What gives way when upstreams have too little capacity.
#[value]
#[derive(Copy, Default)]
pub enum OverloadPolicy {
    /// Tasks start by least slack, whatever the priority of their queues.
    #[default]
    ByArrival,
    /// Queues of an earlier priority go first, within bounds.
    ByPriority,
}
