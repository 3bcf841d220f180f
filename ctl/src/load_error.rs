//! Errors of the load driver.

use std::net::SocketAddr;

use almondhead_net::ExchangeError;
use derive_more::Display;
use derive_more::Error;

/// Why a load failed.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// The value of an option is outside its range.
    #[display("--{option} must be {expected}")]
    InvalidOption {
        /// The option's name, without dashes.
        option: &'static str,
        /// The allowed values.
        expected: &'static str,
    },
    /// A session could not be opened.
    #[display("open a session at {entry}: {reason}")]
    OpenSession {
        /// The entry's address for callers.
        entry: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The metrics of an entry could not be read.
    #[display("read the metrics: {source}")]
    ReadMetrics {
        /// The failed exchange.
        source: ExchangeError,
    },
}
