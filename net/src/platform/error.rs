//! Errors of the platform client.

use std::net::SocketAddr;

use almondhead_macros::key;
use derive_more::Display;
use derive_more::Error;

use crate::http::ExchangeError;
use crate::http::Sent;

/// What was asked of the platform.
#[key]
#[derive(Display)]
pub enum PlatformOperation {
    /// Read a row.
    #[display("read a row")]
    Read,
    /// Insert rows.
    #[display("insert rows")]
    Insert,
    /// Compare and set a row.
    #[display("compare and set a row")]
    CompareAndSet,
    /// Store an object.
    #[display("put an object")]
    PutObject,
    /// Fetch an object.
    #[display("get an object")]
    GetObject,
    /// Fetch the list of instances.
    #[display("list the instances")]
    ListInstances,
    /// Announce an instance.
    #[display("announce an instance")]
    Announce,
}

impl PlatformOperation {
    fn writes(self) -> bool {
        !matches!(self, Self::Read | Self::GetObject | Self::ListInstances)
    }
}

/// A platform operation without a usable answer.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No whole answer came.
    #[display("{operation}: {source}")]
    Exchange {
        /// What was asked.
        operation: PlatformOperation,
        /// Where and why the exchange failed.
        source: ExchangeError,
    },
    /// The platform is out of service and did nothing.
    #[display("{operation} at {peer}: out of service")]
    OutOfService {
        /// What was asked.
        operation: PlatformOperation,
        /// The platform's address.
        peer: SocketAddr,
    },
    /// The platform refused the request as wrong and did nothing.
    #[display("{operation} at {peer}: refused with status {status}")]
    Refused {
        /// What was asked.
        operation: PlatformOperation,
        /// The platform's address.
        peer: SocketAddr,
        /// The status of the answer, 400 to 499.
        status: u16,
    },
    /// The answer is none that the protocol knows.
    #[display("{operation} at {peer}: answer of status {status} not understood")]
    BadAnswer {
        /// What was asked.
        operation: PlatformOperation,
        /// The platform's address.
        peer: SocketAddr,
        /// The status of the answer.
        status: u16,
    },
}

impl PlatformError {
    /// Says whether the operation may have changed what the platform holds.
    pub fn may_have_applied(&self) -> bool {
        match self {
            Self::Exchange { operation, source } => {
                operation.writes() && source.sent == Sent::MayHaveArrived
            }
            Self::BadAnswer { operation, .. } => operation.writes(),
            Self::OutOfService { .. } | Self::Refused { .. } => false,
        }
    }
}
