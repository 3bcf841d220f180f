//! The HTTP interface of the upstream stand-in, as specified in docs/protocols/upstream.md.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::or;
use serde_json::Value;
use smol::Timer;
use trillium::Conn;
use trillium::Handler;
use trillium::Method;
use trillium::Status;

use super::messages::StopRequest;
use super::messages::TaskAnswer;
use super::messages::TaskInput;
use super::state::Admission;
use super::state::TaskRun;
use super::state::UpstreamState;
use crate::broken_body::broken_body;
use crate::request::header;
use crate::request::read_json;
use crate::request::to_json;

const TASK_ID: &str = "task-id";
const TASK_NOT_RUN: &str = "task-not-run";
const TRACEPARENT: &str = "traceparent";
const WRONG_TASK_ID: &str = "another-task";

/// Handles the stand-in's HTTP requests.
pub(crate) struct UpstreamHandler {
    state: Arc<UpstreamState>,
}

enum RunEnd {
    Finished,
    Stopped,
}

impl UpstreamHandler {
    pub(crate) fn new(state: Arc<UpstreamState>) -> Self {
        Self { state }
    }

    async fn run_task(&self, mut conn: Conn) -> Conn {
        let Some(task_id) = header(&conn, TASK_ID) else {
            return conn.with_status(Status::BadRequest).with_body("no Task-Id");
        };
        // The request was cut off: no task is started for it.
        let Ok(input) = conn.request_body().read_bytes().await else {
            return conn.with_status(Status::BadRequest);
        };
        let traceparent = header(&conn, TRACEPARENT);
        let parsed = serde_json::from_slice::<TaskInput>(&input).unwrap_or_default();
        let start_delay_ms = self.state.start_delay_ms();
        if start_delay_ms > 0 {
            self.state.count(|counters| counters.late_starts += 1);
            Timer::after(Duration::from_millis(start_delay_ms)).await;
        }
        match self.state.admit(&task_id, parsed.marker, traceparent) {
            Admission::Refused => conn
                .with_status(Status::ServiceUnavailable)
                .with_response_header(TASK_ID, task_id.clone())
                .with_response_header(TASK_NOT_RUN, task_id),
            Admission::Started(run) => {
                let conn = conn.with_response_header(TASK_ID, task_id.clone());
                self.answer_task(conn, run, task_id, &input).await
            }
        }
    }

    async fn answer_task(&self, conn: Conn, run: TaskRun, task_id: String, input: &[u8]) -> Conn {
        let state = &self.state;
        if run.faults.fail_everything {
            state.count(|counters| counters.failed += 1);
            return conn.with_status(Status::InternalServerError);
        }
        if let RunEnd::Stopped = self.run_to_end(&run, input).await {
            run.record_stop();
            return conn.with_status(Status::Conflict);
        }
        run.record_finish();
        let faults = run.faults.clone();
        drop(run);
        if faults.delay_ms > 0 {
            state.count(|counters| counters.delayed += 1);
            Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        let mut body = answer_body(&task_id, input);
        let stated_bytes = body.len() as u64;
        if faults.lose_answer {
            state.count(|counters| counters.lost_answers += 1);
            return conn.ok(broken_body(Vec::new(), stated_bytes));
        }
        if faults.cut_body {
            state.count(|counters| counters.cut_bodies += 1);
            body.truncate(body.len() / 2);
            return conn.ok(broken_body(body, stated_bytes));
        }
        if faults.wrong_task_id {
            state.count(|counters| counters.wrong_task_ids += 1);
            return conn
                .with_response_header(TASK_ID, WRONG_TASK_ID)
                .ok(answer_body(WRONG_TASK_ID, input));
        }
        conn.ok(body)
    }

    async fn run_to_end(&self, run: &TaskRun, input: &[u8]) -> RunEnd {
        let input = serde_json::from_slice::<TaskInput>(input).unwrap_or_default();
        let mut run_time = Duration::from_millis(input.run_ms);
        if run.faults.slow_factor > 1.0 {
            self.state.count(|counters| counters.slowed += 1);
            run_time = run_time.mul_f64(run.faults.slow_factor);
        }
        let finished = async {
            Timer::after(run_time).await;
            RunEnd::Finished
        };
        let stopped = async {
            // The sender lives as long as the run, so this ends only when the run is stopped.
            let _ = run.stopped.recv().await;
            RunEnd::Stopped
        };
        or(stopped, finished).await
    }
}

impl Handler for UpstreamHandler {
    async fn run(&self, mut conn: Conn) -> Conn {
        match (conn.method(), conn.path()) {
            (Method::Post, "/v1/tasks") => self.run_task(conn).await,
            (Method::Post, "/v1/stop") => {
                let Some(request) = read_json::<StopRequest>(&mut conn).await else {
                    return conn.with_status(Status::BadRequest);
                };
                self.state.stop(&request.task_ids);
                conn.ok("{}")
            }
            (Method::Post, "/v1/faults") => {
                let Some(faults) = read_json(&mut conn).await else {
                    return conn.with_status(Status::BadRequest);
                };
                self.state.set_faults(faults);
                conn.ok("{}")
            }
            (Method::Get, "/v1/counters") => conn.ok(to_json(&self.state.counters())),
            (Method::Get, "/v1/starts") => conn.ok(to_json(&self.state.report())),
            _ => conn.with_status(Status::NotFound),
        }
    }
}

fn answer_body(task_id: &str, input: &[u8]) -> Vec<u8> {
    let echo = serde_json::from_slice(input)
        .unwrap_or_else(|_| Value::from(String::from_utf8_lossy(input)));
    to_json(&TaskAnswer {
        task_id: task_id.to_owned(),
        echo,
    })
}
