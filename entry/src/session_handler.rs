//! The handler that opens sessions.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::outcome::NotRunReason;
use almondhead_macros::message;
use trillium::Conn;

use crate::answer::answer_reply;
use crate::caller_context::CallerContext;
use crate::problem::Refusal;
use crate::reply::json_reply;

/// The body of the answer when a session was opened.
#[message]
struct SessionOpened {
    session: String,
    window_jobs: u64,
    answers_kept_ms: u64,
}

/// The delay after which callers may retry to open a session that was refused.
const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// `POST /v1/sessions`
pub(crate) async fn open_session(context: Arc<CallerContext>, conn: Conn) -> Conn {
    let session = match context.driver.open_session().await {
        Some(Ok(session)) => session,
        Some(Err(reason)) => return refuse(conn, reason),
        None => return Refusal::Busy.reply(conn),
    };
    let opened = SessionOpened {
        session: context.tokens.issue(&session),
        window_jobs: context.limits.session_window,
        answers_kept_ms: context.limits.keep_answers_ms,
    };
    json_reply(conn, 201, &opened)
}

fn refuse(conn: Conn, reason: NotRunReason) -> Conn {
    let answer = JobAnswer::NotRun {
        reason,
        retry_after: Some(REFUSED_RETRY_DELAY),
    };
    answer_reply(conn, &answer)
}
