//! Reads the addresses of jobs from requests.

use std::sync::Arc;

use almondhead_lib::id::JobAddress;
use almondhead_lib::session_token::SessionTokens;
use almondhead_net::decode_segment;
use trillium::Conn;
use trillium_router::RouterConnExt;

use crate::problem::Refusal;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Maximum length of the name of a team, in bytes.
const MAX_TEAM_BYTES: usize = 200;
/// How long a look-up waits without the parameter `wait_ms`, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 1_000;
/// Maximum value of the parameter `wait_ms`, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Reads the address from `/v1/sessions/{session}/jobs/{number}`.
pub(crate) fn numbered_address(tokens: &SessionTokens, conn: &Conn) -> Result<JobAddress, Refusal> {
    let token = conn.param("session").unwrap_or_default();
    let session = tokens
        .verify(token)
        .map_err(|error| Refusal::field("session", error.to_string()))?;
    let number = conn.param("number").unwrap_or_default();
    let number = parse_digits(number).ok_or_else(|| {
        Refusal::field(
            "number",
            "must be a whole number, 0 to 18446744073709551615",
        )
    })?;
    Ok(JobAddress::Session { session, number })
}

/// Reads the address from the `Idempotency-Key` header; its team is empty until the body is parsed.
pub(crate) fn header_key_address(conn: &Conn) -> Result<JobAddress, Refusal> {
    let key = conn.request_headers().get_str("idempotency-key");
    let key = checked_key("Idempotency-Key", key.map(str::to_owned))?;
    Ok(JobAddress::Key {
        team: Arc::from(""),
        key,
    })
}

/// Reads the address from `/v1/jobs/{key}?team={team}`.
pub(crate) fn path_key_address(conn: &Conn) -> Result<JobAddress, Refusal> {
    let key = checked_key("key", conn.param("key").and_then(decode_segment))?;
    let team = parameter(conn, "team").and_then(decode_segment);
    let team = team.filter(|team| (1..=MAX_TEAM_BYTES).contains(&team.len()));
    let team = team.ok_or_else(|| Refusal::field("team", "must be a string of 1 to 200 bytes"))?;
    Ok(JobAddress::Key {
        team: Arc::from(team),
        key,
    })
}

/// Reads how long a look-up waits for an answer from the parameter `wait_ms`, in milliseconds.
pub(crate) fn wait_ms(conn: &Conn) -> Result<u64, Refusal> {
    let Some(text) = parameter(conn, "wait_ms") else {
        return Ok(DEFAULT_WAIT_MS);
    };
    let wait_ms = parse_digits(text).filter(|wait_ms| *wait_ms <= MAX_WAIT_MS);
    wait_ms.ok_or_else(|| Refusal::field("wait_ms", "must be a whole number, 0 to 60000"))
}

fn checked_key(field: &str, key: Option<String>) -> Result<Arc<str>, Refusal> {
    let is_key = |key: &String| {
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
    };
    match key.filter(is_key) {
        Some(key) => Ok(Arc::from(key)),
        None => Err(Refusal::field(
            field,
            "must be 1 to 255 visible ASCII characters",
        )),
    }
}

fn parse_digits(text: &str) -> Option<u64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_plain)
}

fn parameter<'a>(conn: &'a Conn, name: &str) -> Option<&'a str> {
    conn.querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(parameter, _)| *parameter == name)
        .map(|(_, value)| value)
}
