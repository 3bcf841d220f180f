//! HTTP answers with complete bodies.

use serde::Serialize;
use trillium::Conn;
use trillium::Status;

const JSON: &str = "application/json";

/// Answers with `status` and a message as JSON body of known length.
pub(crate) fn json_reply(conn: Conn, status: u16, message: &impl Serialize) -> Conn {
    let body = serde_json::to_vec(message).expect("messages have only string keys");
    body_reply(conn, status, JSON, body)
}

/// Answers with `status` and a body of known length.
pub(crate) fn body_reply(
    conn: Conn,
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
) -> Conn {
    let status = Status::try_from(status).unwrap_or(Status::InternalServerError);
    conn.with_status(status)
        .with_response_header("content-type", content_type)
        .with_body(body)
        .halt()
}
