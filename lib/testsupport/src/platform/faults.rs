//! The faults that a platform stand-in can inject.

use almondhead_macros::key;
use almondhead_macros::message;
use serde::Deserialize;
use serde::Serialize;

/// Whether and how the platform is unavailable.
#[key]
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is available.
    #[default]
    None,
    /// It answers each request with status 503 and does not execute it.
    Refusing,
    /// It accepts each request but neither executes nor answers it.
    Silent,
}

/// The faults to inject; none by default. In JSON, each field may be omitted.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether and how it is unavailable.
    pub outage: Outage,
    /// Delays each answer, in milliseconds.
    pub slow_ms: u64,
    /// Applies each write, then closes the connection without an answer.
    pub apply_then_lose: bool,
    /// How far the list of instances lags behind, in milliseconds.
    pub lag_ms: u64,
}
