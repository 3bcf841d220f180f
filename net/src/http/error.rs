//! Errors of an exchange, which say at which step it broke and what had been sent by then.

use std::io;
use std::net::SocketAddr;

use almondhead_macros::key;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// What the peer can have seen of a request.
#[key]
#[derive(Display)]
pub enum Sent {
    /// Certainly no byte of the request was handed to the socket.
    #[display("nothing was sent")]
    Nothing,
    /// Some part of the request was handed to the socket, or it can't be ruled out.
    #[display("the request may have arrived")]
    MayHaveArrived,
}

/// The step of an exchange.
#[key]
#[derive(Display)]
pub enum Step {
    /// Building the request from its parts.
    #[display("build the request")]
    Build,
    /// Waiting until fewer connections than the limit are in use.
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
    /// The request's parts don't form a request.
    #[display("invalid request: {_0}")]
    InvalidRequest(hyper::http::Error),
    /// The socket failed.
    #[display("{_0}")]
    Socket(io::Error),
    /// The connection failed or the peer broke the protocol.
    #[display("{_0}")]
    Connection(hyper::Error),
    /// The time limit ran out.
    #[display("no end within {timeout_ms} ms")]
    #[from(skip)]
    Timeout {
        /// The time limit of the whole exchange in milliseconds.
        timeout_ms: u128,
    },
    /// The response body is longer than the client's limit.
    #[display("response body longer than {limit_bytes} bytes")]
    #[from(skip)]
    BodyTooLong {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The response body has no stated end, so that a cut one could not be told from a whole one.
    #[display("response body of no stated length")]
    #[from(skip)]
    BodyWithoutEnd,
}

/// An exchange that brought no whole response.
#[derive(Debug, Display, Error)]
#[display("{step} with {peer}: {failure}; {sent}")]
pub struct ExchangeError {
    /// The step that failed.
    pub step: Step,
    /// The peer that the request was for.
    pub peer: SocketAddr,
    /// What the peer can have seen of the request.
    pub sent: Sent,
    /// Why the step failed.
    #[error(source)]
    pub failure: Failure,
}
