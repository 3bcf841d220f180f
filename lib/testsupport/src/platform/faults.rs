//! Faults that a platform stand-in can be told to show.

use almondhead_macros::key;
use almondhead_macros::message;
use serde::Deserialize;
use serde::Serialize;

/// How the platform is out of service.
#[key]
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is in service.
    #[default]
    None,
    /// It answers each request with status 503 and does nothing.
    Refusing,
    /// It takes each request and neither acts nor answers while the outage lasts.
    Silent,
}

/// The faults in force; the default is none. In JSON each field may be left out.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether and how it is out of service.
    pub outage: Outage,
    /// Holds each answer back by this long, in milliseconds.
    pub slow_ms: u64,
    /// Applies each write and closes the connection without an answer.
    pub apply_then_lose: bool,
    /// How far the list of instances lags behind, in milliseconds.
    pub lag_ms: u64,
}
