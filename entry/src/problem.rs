//! Answers of kind `application/problem+json`.

use std::time::Duration;

use almondhead_macros::message;
use almondhead_macros::value;
use trillium::Conn;

use crate::reply::json_reply;

/// Whether anything of the job may have run.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ProblemOutcome {
    /// Nothing ran under this request, and nothing will.
    NotRun,
    /// Something ran, or may have run.
    Failed,
}

/// A fault of one field of a request.
#[message]
#[derive(Eq)]
pub struct FieldError {
    /// The JSON pointer of the field, or the name of a header or parameter.
    pub field: String,
    /// What is wrong, and what would be right.
    pub reason: String,
}

/// The body of an answer that is not a complete result.
#[message]
#[derive(Eq)]
pub struct Problem {
    /// A short text for people.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// Whether anything ran.
    pub outcome: ProblemOutcome,
    /// The machine-readable reason.
    pub reason: String,
    /// The first task that failed, counted from zero.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub task: Option<u32>,
    /// When another try has a chance, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The faults of the request's fields.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<FieldError>,
}

/// Why a request was refused before the dispatcher saw it.
#[value]
pub(crate) enum Refusal {
    /// Fields are missing, wrong or unknown.
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
    /// The connection broke amid the request body.
    BodyCut,
    /// No resource has this path.
    NotFound,
    /// The resource knows no such method.
    MethodNotAllowed,
    /// Too many events wait for the dispatcher, or it has ended.
    Busy,
}

const RETRY_WHEN_BUSY: Duration = Duration::from_millis(200);

impl Refusal {
    /// A refusal for the fault of one field.
    pub(crate) fn field(field: &str, reason: impl Into<String>) -> Self {
        Refusal::Invalid(vec![FieldError {
            field: field.to_owned(),
            reason: reason.into(),
        }])
    }

    /// Answers with the refusal; a connection with an unread body on it is closed after it.
    pub(crate) fn reply(self, conn: Conn) -> Conn {
        let leaves_body = matches!(
            self,
            Refusal::BodyTooLong { .. } | Refusal::BodyTimeout { .. } | Refusal::BodyCut
        );
        let conn = match leaves_body {
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
            Refusal::BodyCut => (400, "body_cut", "request body broke off".to_owned()),
            Refusal::NotFound => (404, "not_found", "no such resource".to_owned()),
            Refusal::MethodNotAllowed => (
                405,
                "method_not_allowed",
                "method is not known here".to_owned(),
            ),
            Refusal::Busy => (503, "busy", "too many requests wait".to_owned()),
        };
        let retry_after = matches!(self, Refusal::Busy).then_some(RETRY_WHEN_BUSY);
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
            retry_after_ms: retry_after.map(whole_ms),
            errors,
        }
    }
}

impl Problem {
    /// Answers with this problem, and with `Retry-After` when there is such a time.
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

/// The milliseconds of a span, rounded up.
pub(crate) fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
