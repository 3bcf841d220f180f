//! A stand-in for the platform: a table, an object store and a list of instances that can lag.

mod counters;
mod faults;
mod handler;
mod lagging_list;
mod stand_in;
mod state;

pub use counters::PlatformCounters;
pub use faults::Outage;
pub use faults::PlatformFaults;
pub use stand_in::PlatformSettings;
pub use stand_in::PlatformStandIn;
