//! The faults that a scenario begins and ends.

use std::time::Duration;

use almondhead_testsupport::run_site::MessageFault;
use almondhead_testsupport::run_site::OrderFault;
use almondhead_testsupport::run_site::PathLoss;

/// A fault that lasts for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    Stop(usize),
    Freeze(usize),
    /// The instance reads its inputs late.
    Slow(usize, Duration),
    /// The callers' connections to an instance end.
    Reset(usize),
    Cut(usize, usize),
    CutOneWay(usize, usize),
    HeldMessages(usize, usize),
    DataCentreCut(usize),
    StoreCut(usize),
    StoreDown,
    UnresponsiveUpstream(usize),
    UpstreamRestart(usize),
    UpstreamPath(usize, usize, PathLoss),
    Orders(OrderFault),
    Messages(MessageFault),
}

impl Fault {
    /// Whether the instance reads its inputs late, or not at all, while the fault lasts.
    pub(crate) fn delays_inputs_of(self, node: usize) -> bool {
        matches!(self, Fault::Freeze(at) | Fault::Slow(at, _) if at == node)
    }

    /// Whether the two cannot last at the same time.
    pub(crate) fn excludes(self, other: Fault) -> bool {
        match (self, other) {
            (Fault::Slow(at, _), Fault::Slow(other, _)) => at == other,
            (
                Fault::Kill(at) | Fault::Stop(at) | Fault::Freeze(at),
                Fault::Kill(other) | Fault::Stop(other) | Fault::Freeze(other),
            ) => at == other,
            _ => false,
        }
    }
}
