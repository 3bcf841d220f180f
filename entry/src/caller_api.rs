//! The routes of the caller interface over HTTP: sessions, jobs and single tasks.

use std::sync::Arc;

use trillium::Conn;
use trillium::Handler;
use trillium::Status;
use trillium_router::Router;

use crate::bind::bind;
use crate::caller_context::CallerContext;
use crate::guarded_transport::mark_request_received;
use crate::job_handlers::cancel_keyed;
use crate::job_handlers::cancel_numbered;
use crate::job_handlers::look_up_keyed;
use crate::job_handlers::look_up_numbered;
use crate::job_handlers::submit_keyed;
use crate::job_handlers::submit_numbered;
use crate::job_handlers::submit_single;
use crate::problem::Refusal;
use crate::session_handler::open_session;

/// The header that identifies a request; answers repeat it.
const REQUEST_ID: &str = "request-id";
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Returns the handler of every path of the caller interface.
pub(crate) fn caller_api(context: &Arc<CallerContext>) -> impl Handler + use<> {
    let router = Router::new()
        .without_options_handling()
        .with_method_not_allowed()
        .post("/v1/sessions", bind(context, open_session))
        .put(NUMBERED_PATH, bind(context, submit_numbered))
        .get(NUMBERED_PATH, bind(context, look_up_numbered))
        .delete(NUMBERED_PATH, bind(context, cancel_numbered))
        .post("/v1/jobs", bind(context, submit_keyed))
        .get("/v1/jobs/:key", bind(context, look_up_keyed))
        .delete("/v1/jobs/:key", bind(context, cancel_keyed))
        .post("/v1/tasks", bind(context, submit_single));
    (bind(context, set_request_id), router, refuse_unknown)
}

const NUMBERED_PATH: &str = "/v1/sessions/:session/jobs/:number";

/// Sets the request id of the answer, and closes the connection when the process is stopping.
async fn set_request_id(context: Arc<CallerContext>, conn: Conn) -> Conn {
    mark_request_received(&conn);
    let conn = match context.stopping.is_set() {
        true => conn.with_response_header("connection", "close"),
        false => conn,
    };
    let given = conn.request_headers().get_str(REQUEST_ID);
    match given.map(str::to_owned) {
        None => conn.with_response_header(REQUEST_ID, context.new_request_id()),
        Some(id) if is_request_id(&id) => conn.with_response_header(REQUEST_ID, id),
        Some(_) => {
            Refusal::field("Request-Id", "must be 1 to 128 visible ASCII characters").reply(conn)
        }
    }
}

fn is_request_id(id: &str) -> bool {
    (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

async fn refuse_unknown(conn: Conn) -> Conn {
    let refusal = match conn.status() {
        Some(Status::MethodNotAllowed) => Refusal::MethodNotAllowed,
        _ => Refusal::NotFound,
    };
    refusal.reply(conn)
}
