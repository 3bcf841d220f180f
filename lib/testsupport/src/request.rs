//! Reading requests and writing JSON answers in the stand-ins' handlers.

use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium::Conn;

/// Returns a request header as owned text.
pub(crate) fn header(conn: &Conn, name: &'static str) -> Option<String> {
    conn.request_headers().get_str(name).map(str::to_owned)
}

/// Reads a request body as JSON; none where it is cut or not such a message.
pub(crate) async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let body = conn.request_body().read_bytes().await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Writes a message as JSON.
pub(crate) fn to_json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).expect("messages have text keys only")
}
