//! Deterministic simulation of a site that runs tasks under leases, in one thread and in virtual
//! time: dispatchers, upstreams, the store's roster and the network between them, with faults.
//!
//! The same seed and the same calls give the same sequence of events. The simulation records a
//! violation when two runs of one task overlap, when a run was never requested, and when a job was
//! answered as not run although one of its tasks had started. Upstreams refuse a start that exceeds
//! their capacity.

mod job;
mod node;
mod plan;
mod site;
mod site_actions;
mod site_inputs;
mod site_leases;
mod site_messages;
mod site_observations;
mod site_orders;
mod site_store;
mod upstream;

pub use self::job::run_job;
pub use self::job::run_queue;
pub use self::plan::SitePlan;
pub use self::site::OrderFault;
pub use self::site::PathLoss;
pub use self::site::RunSite;
pub use self::site::SiteAnswer;
pub use self::site_messages::MessageFault;
pub use self::upstream::UpstreamFault;
