//! The handlers that submit, look up and cancel jobs.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::Event;
use almondhead_lib::id::JobAddress;
use almondhead_lib::id::RequestId;
use almondhead_lib::outcome::JobAnswer;
use almondhead_macros::message;
use futures_lite::future::or;
use smol::Timer;
use trillium::Conn;
use trillium::Version;

use crate::answer::answer_reply;
use crate::answer::outcome_name;
use crate::caller_context::CallerContext;
use crate::driver_handle::OpenRequest;
use crate::job_address::header_key_address;
use crate::job_address::numbered_address;
use crate::job_address::path_key_address;
use crate::job_address::wait_ms;
use crate::problem::Refusal;
use crate::reply::json_reply;
use crate::request_body::read_body;
use crate::spans::Hop;
use crate::spans::HopSpan;
use crate::spans::parse_traceparent;
use crate::submission_body::parse_submission;

/// `PUT /v1/sessions/{session}/jobs/{number}`
pub(crate) async fn submit_numbered(context: Arc<CallerContext>, conn: Conn) -> Conn {
    let address = numbered_address(&context.tokens, &conn);
    submit(context, conn, address, None).await
}

/// `POST /v1/jobs`
pub(crate) async fn submit_keyed(context: Arc<CallerContext>, conn: Conn) -> Conn {
    let address = header_key_address(&conn);
    submit(context, conn, address, None).await
}

/// `POST /v1/tasks`
pub(crate) async fn submit_single(context: Arc<CallerContext>, conn: Conn) -> Conn {
    submit(context, conn, Ok(JobAddress::Single), Some(1)).await
}

/// `GET /v1/sessions/{session}/jobs/{number}`
pub(crate) async fn look_up_numbered(context: Arc<CallerContext>, conn: Conn) -> Conn {
    let address = numbered_address(&context.tokens, &conn);
    look_up(context, conn, address).await
}

/// `GET /v1/jobs/{key}`
pub(crate) async fn look_up_keyed(context: Arc<CallerContext>, conn: Conn) -> Conn {
    let address = path_key_address(&conn);
    look_up(context, conn, address).await
}

/// `DELETE /v1/sessions/{session}/jobs/{number}`
pub(crate) async fn cancel_numbered(context: Arc<CallerContext>, conn: Conn) -> Conn {
    let address = numbered_address(&context.tokens, &conn);
    cancel(context, conn, address).await
}

/// `DELETE /v1/jobs/{key}`
pub(crate) async fn cancel_keyed(context: Arc<CallerContext>, conn: Conn) -> Conn {
    let address = path_key_address(&conn);
    cancel(context, conn, address).await
}

async fn submit(
    context: Arc<CallerContext>,
    mut conn: Conn,
    address: Result<JobAddress, Refusal>,
    max_tasks: Option<usize>,
) -> Conn {
    let span = start_span(&context, &conn, "submit");
    let max_tasks = max_tasks.unwrap_or(context.limits.tasks_per_job);
    let body = read_body(&mut conn, &context.limits).await;
    let parsed = body.and_then(|body| {
        let submission = parse_submission(&body, max_tasks, span.traceparent());
        combine(address, submission)
    });
    let (mut address, submission) = match parsed {
        Ok(parsed) => parsed,
        Err(refusal) => return refusal.reply(conn),
    };
    if let JobAddress::Key { team, .. } = &mut address {
        *team = Arc::clone(&submission.team);
    }
    let submission = Arc::new(submission);
    dispatch(context, conn, span, |request| Event::Submitted {
        request,
        address,
        submission,
    })
    .await
}

/// Returns both values, or the errors of both.
fn combine<A, B>(first: Result<A, Refusal>, second: Result<B, Refusal>) -> Result<(A, B), Refusal> {
    match (first, second) {
        (Ok(first), Ok(second)) => Ok((first, second)),
        (Err(Refusal::Invalid(mut errors)), Err(Refusal::Invalid(more))) => {
            errors.extend(more);
            Err(Refusal::Invalid(errors))
        }
        (Err(refusal), _) | (_, Err(refusal)) => Err(refusal),
    }
}

async fn cancel(
    context: Arc<CallerContext>,
    conn: Conn,
    address: Result<JobAddress, Refusal>,
) -> Conn {
    let span = start_span(&context, &conn, "cancel");
    match address {
        Ok(address) => {
            dispatch(context, conn, span, |request| Event::Cancelled {
                request,
                address,
            })
            .await
        }
        Err(refusal) => refusal.reply(conn),
    }
}

/// The body of the answer to a look-up while the job is still running.
#[message]
struct StillRunning {
    outcome: String,
}

async fn look_up(
    context: Arc<CallerContext>,
    conn: Conn,
    address: Result<JobAddress, Refusal>,
) -> Conn {
    let span = start_span(&context, &conn, "look_up");
    let (address, wait_ms) = match combine(address, wait_ms(&conn)) {
        Ok(parsed) => parsed,
        Err(refusal) => return refusal.reply(conn),
    };
    let event = |request| Event::LookedUp { request, address };
    let Ok(mut open) = context.driver.request(event) else {
        return Refusal::Busy.reply(conn);
    };
    let answer = or(open.answer(), async {
        Timer::after(Duration::from_millis(wait_ms)).await;
        None
    });
    match answer.await {
        Some(answer) => reply(&context, conn, span, &answer),
        None => json_reply(
            conn,
            202,
            &StillRunning {
                outcome: "running".to_owned(),
            },
        ),
    }
}

/// Hands the request to the dispatcher and waits until it is answered or the caller disconnects.
async fn dispatch(
    context: Arc<CallerContext>,
    mut conn: Conn,
    span: HopSpan,
    event: impl FnOnce(RequestId) -> Event,
) -> Conn {
    let Ok(mut open) = context.driver.request(event) else {
        return Refusal::Busy.reply(conn);
    };
    match wait_for_answer(&mut conn, &mut open).await {
        Some(answer) => reply(&context, conn, span, &answer),
        None => Refusal::Busy.reply(conn),
    }
}

async fn wait_for_answer(conn: &mut Conn, open: &mut OpenRequest) -> Option<Arc<JobAnswer>> {
    match conn.http_version() {
        Version::Http1_0 | Version::Http1_1 => {
            conn.cancel_on_disconnect(open.answer()).await.flatten()
        }
        _ => open.answer().await,
    }
}

fn reply(context: &CallerContext, conn: Conn, mut span: HopSpan, answer: &JobAnswer) -> Conn {
    let outcome = outcome_name(answer);
    span.set("outcome", outcome);
    let seconds = conn.start_time().elapsed().as_secs_f64();
    context.metrics.count_answer(outcome, seconds);
    answer_reply(conn, answer)
}

/// Starts the span of the caller's hop; a malformed `traceparent` is ignored.
fn start_span(context: &CallerContext, conn: &Conn, operation: &str) -> HopSpan {
    let given = conn.request_headers().get_str("traceparent");
    let parent = given.filter(|text| parse_traceparent(text).is_some());
    let mut span = context.spans.start(Hop::Caller, parent);
    span.set("operation", operation);
    span
}
