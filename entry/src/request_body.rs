//! Reads request bodies within the limits on length and time.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;
use smol::Timer;
use trillium::Conn;
use trillium_http::Error;

use crate::guarded_transport::mark_body_received;
use crate::problem::Refusal;
use crate::settings::Limits;

/// The kind of error that the server library returns for a chunked body beyond the limit.
const CHUNKED_BODY_TOO_LONG: ErrorKind = ErrorKind::Unsupported;

/// Reads the complete body of a request.
///
/// # Errors
///
/// A refusal when the body is longer than `body_bytes`, is not complete within `body_ms`, or breaks
/// off.
pub(crate) async fn read_body(conn: &mut Conn, limits: &Limits) -> Result<Bytes, Refusal> {
    let limit_bytes = limits.body_bytes;
    let body = conn.request_body().with_max_len(limit_bytes);
    if body
        .content_length()
        .is_some_and(|length| length > limit_bytes)
    {
        return Err(Refusal::BodyTooLong { limit_bytes });
    }
    let read = async {
        match body.read_bytes().await {
            Ok(body) => Ok(Bytes::from(body)),
            Err(Error::ReceivedBodyTooLong(_)) => Err(Refusal::BodyTooLong { limit_bytes }),
            Err(Error::Io(error)) if error.kind() == CHUNKED_BODY_TOO_LONG => {
                Err(Refusal::BodyTooLong { limit_bytes })
            }
            Err(_) => Err(Refusal::BodyCut),
        }
    };
    let limit_ms = limits.body_ms;
    let body = or(read, async {
        Timer::after(Duration::from_millis(limit_ms)).await;
        Err(Refusal::BodyTimeout { limit_ms })
    })
    .await;
    mark_body_received(conn);
    body
}
