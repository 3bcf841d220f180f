//! A stand-in for an upstream that records every start of a task.

mod faults;
mod handler;
mod messages;
mod stand_in;
mod state;

pub use faults::UpstreamFaults;
pub use messages::StartsReport;
pub use messages::StopRequest;
pub use messages::TaskStarts;
pub use messages::UpstreamCounters;
pub use stand_in::UpstreamSettings;
pub use stand_in::UpstreamStandIn;
