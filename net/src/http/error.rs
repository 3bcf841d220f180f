//! Errors of an exchange: the step that failed, and whether the request may have arrived.

use std::io;
use std::net::SocketAddr;

use almondhead_macros::key;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// Whether the peer may have received a request.
#[key]
#[derive(Display)]
pub enum Sent {
    /// No byte of the request was written to the socket.
    #[display("nothing was sent")]
    Nothing,
    /// Some of the request was written to the socket, or this cannot be ruled out.
    #[display("the request may have arrived")]
    MayHaveArrived,
}

/// A step of an exchange.
#[key]
#[derive(Display)]
pub enum Step {
    /// Building the request from its parts.
    #[display("build the request")]
    Build,
    /// Waiting until fewer connections, or HTTP/2 streams, than the limit are in use.
    #[display("wait for a free connection")]
    AwaitConnection,
    /// Opening a connection.
    #[display("connect")]
    Connect,
    /// Sending the request and waiting for the head of the response.
    #[display("exchange")]
    Exchange,
    /// Reading the body of the response.
    #[display("read the response body")]
    ReadBody,
}

/// Why a step failed.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The method, path or headers do not form a valid request.
    #[display("invalid request: {_0}")]
    InvalidRequest(hyper::http::Error),
    /// The socket failed.
    #[display("{_0}")]
    Socket(io::Error),
    /// The connection failed or the peer broke the protocol.
    #[display("{_0}")]
    Connection(hyper::Error),
    /// The exchange timed out.
    #[display("timed out after {timeout_ms} ms")]
    #[from(skip)]
    Timeout {
        /// The timeout of the whole exchange in milliseconds.
        timeout_ms: u128,
    },
    /// The response body is longer than the client's limit.
    #[display("response body longer than {limit_bytes} bytes")]
    #[from(skip)]
    BodyTooLong {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The response has neither a length nor chunked encoding, so a truncated body would look
    /// complete.
    #[display("response body of no stated length")]
    #[from(skip)]
    BodyWithoutEnd,
}

/// An exchange without a complete response.
#[derive(Debug, Display, Error)]
#[display("{step} with {peer}: {failure}; {sent}")]
pub struct ExchangeError {
    /// The step that failed.
    pub step: Step,
    /// The peer that the request was for.
    pub peer: SocketAddr,
    /// Whether the peer may have received the request.
    pub sent: Sent,
    /// Why the step failed.
    #[error(source)]
    pub failure: Failure,
}

impl ExchangeError {
    /// Whether the peer's address refused the connection, so that no process listens there.
    pub fn is_connection_refused(&self) -> bool {
        let is_refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        self.step == Step::Connect
            && matches!(&self.failure, Failure::Socket(error) if is_refused(error))
    }

    /// Whether the peer closed the connection in the middle of the exchange.
    pub fn is_closed_by_peer(&self) -> bool {
        matches!(&self.failure, Failure::Connection(error) if error.is_incomplete_message())
    }

    /// Whether the connection failed in the middle of the exchange, by a reset from the peer or from
    /// the network between.
    pub fn is_reset(&self) -> bool {
        let is_exchanging = matches!(self.step, Step::Exchange | Step::ReadBody);
        let is_failed = match &self.failure {
            Failure::Socket(_) => true,
            Failure::Connection(error) => !error.is_parse() && !error.is_incomplete_message(),
            _ => false,
        };
        is_exchanging && is_failed
    }
}
