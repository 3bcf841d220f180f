//! Errors of the platform client.

use std::net::SocketAddr;

use almondhead_macros::key;
use derive_more::Display;
use derive_more::Error;

use crate::http::ExchangeError;
use crate::http::Sent;

/// An operation of the platform.
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
    fn is_write(self) -> bool {
        !matches!(self, Self::Read | Self::GetObject | Self::ListInstances)
    }
}

/// A failed platform operation.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No complete answer arrived.
    #[display("{operation}: {source}")]
    Exchange {
        /// The operation.
        operation: PlatformOperation,
        /// The error of the HTTP exchange.
        source: ExchangeError,
    },
    /// The platform is out of service and did nothing.
    #[display("{operation} at {peer}: out of service")]
    OutOfService {
        /// The operation.
        operation: PlatformOperation,
        /// The platform's address.
        peer: SocketAddr,
    },
    /// The platform rejected the request as invalid and did nothing.
    #[display("{operation} at {peer}: refused with status {status}")]
    Refused {
        /// The operation.
        operation: PlatformOperation,
        /// The platform's address.
        peer: SocketAddr,
        /// The HTTP status of the answer, 400 to 499.
        status: u16,
    },
    /// The answer does not follow the protocol; a write may have taken effect.
    #[display("{operation} at {peer}: answer of status {status} not understood")]
    BadAnswer {
        /// The operation.
        operation: PlatformOperation,
        /// The platform's address.
        peer: SocketAddr,
        /// The HTTP status of the answer.
        status: u16,
    },
}

impl PlatformError {
    /// Returns whether the operation may have changed stored data.
    pub fn may_have_applied(&self) -> bool {
        match self {
            Self::Exchange { operation, source } => {
                operation.is_write() && source.sent == Sent::MayHaveArrived
            }
            Self::BadAnswer { operation, .. } => operation.is_write(),
            Self::OutOfService { .. } | Self::Refused { .. } => false,
        }
    }
}
