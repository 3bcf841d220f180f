//! Helpers of the stand-ins' handlers for reading requests and encoding JSON answers.

use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium::Conn;

/// Returns the value of a request header.
pub(crate) fn header(conn: &Conn, name: &'static str) -> Option<String> {
    conn.request_headers().get_str(name).map(str::to_owned)
}

/// Decodes a request body from JSON; `None` if the request was cut off or the body is not valid.
pub(crate) async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let body = conn.request_body().read_bytes().await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Encodes a message as JSON.
pub(crate) fn to_json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).expect("the keys of messages are strings")
}
