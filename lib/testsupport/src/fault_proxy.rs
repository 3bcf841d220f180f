//! A TCP proxy that injects faults between a client and a server.

mod connection;
mod counters;
mod faults;
mod held_answers;
mod proxy;
mod state;

pub use counters::ProxyCounters;
pub use faults::ProxyFaults;
pub use proxy::FaultProxy;
