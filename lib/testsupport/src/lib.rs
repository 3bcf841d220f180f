//! Support for tests: stand-ins for upstreams and the platform, a fault-injecting proxy, process
//! helpers, and simulated and real sites.

mod broken_body;
mod command;
mod core_document;
pub mod core_fakes;
mod core_traffic;
mod fault_proxy;
mod locking;
mod platform;
mod process;
mod raw_server;
mod request;
pub mod round_trip;
pub mod run_site;
mod server;
pub mod site;
pub mod site_faults;
mod upstream;

pub use crate::command::listen_address;
pub use crate::command::stand_in_command;
pub use crate::fault_proxy::FaultProxy;
pub use crate::fault_proxy::ProxyCounters;
pub use crate::fault_proxy::ProxyFaults;
pub use crate::platform::Outage;
pub use crate::platform::PlatformCounters;
pub use crate::platform::PlatformFaults;
pub use crate::platform::PlatformSettings;
pub use crate::platform::PlatformStandIn;
pub use crate::process::ProcessError;
pub use crate::process::ProcessHandle;
pub use crate::process::free_address;
pub use crate::process::workspace_binary;
pub use crate::raw_server::RawServer;
pub use crate::server::Server;
pub use crate::upstream::StartsReport;
pub use crate::upstream::StopRequest;
pub use crate::upstream::TaskStarts;
pub use crate::upstream::UpstreamCounters;
pub use crate::upstream::UpstreamFaults;
pub use crate::upstream::UpstreamSettings;
pub use crate::upstream::UpstreamStandIn;
