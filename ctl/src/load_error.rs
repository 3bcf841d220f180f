//! Errors of the load driver.

use std::net::SocketAddr;

use almondhead_net::ExchangeError;
use derive_more::Display;
use derive_more::Error;

/// Why no load could be offered.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// An option has a value out of its range.
    #[display("--{option} must be {expected}")]
    Option {
        /// The option.
        option: &'static str,
        /// What would be right.
        expected: &'static str,
    },
    /// A session could not be opened.
    #[display("open a session at {entry}: {reason}")]
    Session {
        /// The entry.
        entry: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The metrics of an entry could not be read.
    #[display("read the metrics: {source}")]
    Metrics {
        /// What went wrong.
        source: ExchangeError,
    },
}
