//! Error answers to callers in the format `application/problem+json`.

use std::time::Duration;

use almondhead_macros::message;
use almondhead_macros::value;
use trillium::Conn;

use crate::reply::json_reply;

/// Whether any task of the job may have run.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ProblemOutcome {
    /// No task ran for this request, and none will.
    NotRun,
    /// A task ran, or may have run.
    Failed,
}

/// A problem with one field of a request.
#[message]
#[derive(Eq)]
pub struct FieldError {
    /// The JSON pointer of the field in the body, or the name of a header or parameter.
    pub field: String,
    /// What is wrong, or what the value must be.
    pub reason: String,
}

/// The body of an answer without results.
#[message]
#[derive(Eq)]
pub struct Problem {
    /// A short description for people.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// Whether any task may have run.
    pub outcome: ProblemOutcome,
    /// The machine-readable reason.
    pub reason: String,
    /// The index of the first task that failed, counted from zero.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub task: Option<u32>,
    /// The delay after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The problems with the request's fields.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<FieldError>,
}

/// Why a request was refused before it reached the dispatcher.
#[value]
pub(crate) enum Refusal {
    /// Fields are missing, invalid or unknown.
    Invalid(Vec<FieldError>),
    /// The request body is longer than the limit.
    BodyTooLong {
        /// The limit in bytes.
        limit_bytes: u64,
    },
    /// The request body did not arrive in time.
    BodyTimeout {
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection broke while the request body was read.
    BodyCut,
    /// There is no resource at this path.
    NotFound,
    /// The resource does not support this method.
    MethodNotAllowed,
    /// Too many events wait for the dispatcher, or it has ended, or the caller has left.
    Busy,
}

/// The delay after which callers may retry a request that was refused as busy.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Refusal {
    /// Creates a refusal for a problem with one field.
    pub(crate) fn field(field: &str, reason: impl Into<String>) -> Self {
        Refusal::Invalid(vec![FieldError {
            field: field.to_owned(),
            reason: reason.into(),
        }])
    }

    /// Answers with the refusal; a connection whose request body was not read to its end is closed
    /// after the answer.
    pub(crate) fn reply(self, conn: Conn) -> Conn {
        let has_unread_body = matches!(
            self,
            Refusal::BodyTooLong { .. } | Refusal::BodyTimeout { .. } | Refusal::BodyCut
        );
        let conn = match has_unread_body {
            true => conn.with_response_header("connection", "close"),
            false => conn,
        };
        self.problem().reply(conn)
    }

    fn problem(self) -> Problem {
        let (status, reason, title) = match &self {
            Refusal::Invalid(_) => (400, "invalid_request", "request is not valid".to_owned()),
            Refusal::BodyTooLong { limit_bytes } => (
                413,
                "body_too_long",
                format!("request body is longer than {limit_bytes} bytes"),
            ),
            Refusal::BodyTimeout { limit_ms } => (
                408,
                "body_timeout",
                format!("request body did not arrive within {limit_ms} ms"),
            ),
            Refusal::BodyCut => (
                400,
                "body_cut",
                "connection broke before the end of the request body".to_owned(),
            ),
            Refusal::NotFound => (404, "not_found", "no such resource".to_owned()),
            Refusal::MethodNotAllowed => (
                405,
                "method_not_allowed",
                "method is not supported by this resource".to_owned(),
            ),
            Refusal::Busy => (503, "busy", "too many requests are waiting".to_owned()),
        };
        let retry_after = matches!(self, Refusal::Busy).then_some(BUSY_RETRY_DELAY);
        let errors = match self {
            Refusal::Invalid(errors) => errors,
            _ => Vec::new(),
        };
        Problem {
            title,
            status,
            outcome: ProblemOutcome::NotRun,
            reason: reason.to_owned(),
            task: None,
            retry_after_ms: retry_after.map(ceil_ms),
            errors,
        }
    }
}

impl Problem {
    /// Answers with this problem, and with `Retry-After` when it has a retry delay.
    pub(crate) fn reply(&self, conn: Conn) -> Conn {
        let conn = match self.retry_after_ms {
            Some(retry_after_ms) => {
                let seconds = retry_after_ms.div_ceil(1_000).max(1);
                conn.with_response_header("retry-after", seconds.to_string())
            }
            None => conn,
        };
        let conn = json_reply(conn, self.status, self);
        conn.with_response_header("content-type", PROBLEM_JSON)
    }
}

const PROBLEM_JSON: &str = "application/problem+json";

/// Converts a duration to milliseconds, rounded up.
pub(crate) fn ceil_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
