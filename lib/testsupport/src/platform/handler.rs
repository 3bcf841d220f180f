//! The HTTP interface of the platform stand-in, as specified in docs/protocols/platform.md.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::Bytes;
use almondhead_net::CasResult;
use almondhead_net::InsertRequest;
use almondhead_net::InsertResponse;
use almondhead_net::InsertResult;
use almondhead_net::ListedInstance;
use almondhead_net::Platform;
use almondhead_net::PlatformError;
use almondhead_net::Row;
use almondhead_net::decode_segment;
use smol::Timer;
use trillium::Conn;
use trillium::Handler;
use trillium::Method;
use trillium::Status;

use super::faults::Outage;
use super::state::PlatformState;
use crate::broken_body::broken_body;
use crate::request::header;
use crate::request::read_json;
use crate::request::to_json;

/// How often a request held by a silent outage checks whether the outage is over.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum time for which a silent outage holds a request.
const MAX_HOLD_TIME: Duration = Duration::from_secs(60);

/// Handles the stand-in's HTTP requests.
pub(crate) struct PlatformHandler {
    state: Arc<PlatformState>,
}

/// The resource that a request addresses.
enum Route {
    Row { table: String, key: String },
    Insert { table: String },
    Object { name: String },
    Instances,
    Instance { name: String },
}

type Outcome = Result<Conn, PlatformError>;

impl PlatformHandler {
    pub(crate) fn new(state: Arc<PlatformState>) -> Self {
        Self { state }
    }

    async fn serve(&self, conn: Conn) -> Conn {
        match self.state.faults().outage {
            Outage::None => {}
            Outage::Refusing => {
                self.state.count(|counters| counters.refused += 1);
                return conn.with_status(Status::ServiceUnavailable);
            }
            Outage::Silent => return self.hold_silently(conn).await,
        }
        let Some(route) = Route::parse(conn.method(), conn.path()) else {
            return conn.with_status(Status::NotFound);
        };
        let conn = match (conn.method(), route) {
            (Method::Get, Route::Row { table, key }) => self.read(conn, &table, &key).await,
            (Method::Put, Route::Row { table, key }) => {
                self.compare_and_set(conn, &table, &key).await
            }
            (Method::Post, Route::Insert { table }) => self.insert(conn, &table).await,
            (Method::Put, Route::Object { name }) => self.put_object(conn, &name).await,
            (Method::Get, Route::Object { name }) => self.get_object(conn, &name).await,
            (Method::Get, Route::Instances) => Ok(self.list(conn)),
            (Method::Post, Route::Instances) => self.announce(conn).await,
            (Method::Delete, Route::Instance { name }) => {
                self.state.end_instance(&name).await.map(|()| conn.ok("{}"))
            }
            _ => Ok(conn.with_status(Status::MethodNotAllowed)),
        };
        let conn = conn.expect("the in-memory platform never fails");
        self.delay_answer().await;
        conn
    }

    async fn read(&self, conn: Conn, table: &str, key: &str) -> Outcome {
        self.state.count(|counters| counters.reads += 1);
        let row = self.state.memory.read(table, key).await?;
        Ok(match row {
            Some(row) => with_row(conn, row).with_status(Status::Ok),
            None => conn.with_status(Status::NotFound),
        })
    }

    async fn compare_and_set(&self, mut conn: Conn, table: &str, key: &str) -> Outcome {
        let (Some(value), Some(expected)) = (read_body(&mut conn).await, expected_revision(&conn))
        else {
            return Ok(conn.with_status(Status::BadRequest));
        };
        let memory = &self.state.memory;
        let result = memory.compare_and_set(table, key, expected, value).await?;
        Ok(match result {
            CasResult::Written { revision } => {
                self.state.count(|counters| counters.rows_written += 1);
                self.answer_write(conn.with_response_header("etag", etag(revision)), "{}")
            }
            CasResult::Conflict(None) => conn.with_status(Status::PreconditionFailed),
            CasResult::Conflict(Some(row)) => {
                with_row(conn, row).with_status(Status::PreconditionFailed)
            }
        })
    }

    async fn insert(&self, mut conn: Conn, table: &str) -> Outcome {
        let Some(request) = read_json::<InsertRequest>(&mut conn).await else {
            return Ok(conn.with_status(Status::BadRequest));
        };
        let memory = &self.state.memory;
        let results = memory.insert_if_absent(table, request.rows).await?;
        let inserted = results
            .iter()
            .filter(|result| **result == InsertResult::Inserted)
            .count();
        self.state
            .count(|counters| counters.rows_written += inserted as u64);
        Ok(self.answer_write(conn, to_json(&InsertResponse { results })))
    }

    async fn put_object(&self, mut conn: Conn, name: &str) -> Outcome {
        let Some(body) = read_body(&mut conn).await else {
            return Ok(conn.with_status(Status::BadRequest));
        };
        self.state.memory.put_object(name, body).await?;
        Ok(self.answer_write(conn, "{}"))
    }

    async fn get_object(&self, conn: Conn, name: &str) -> Outcome {
        self.state.count(|counters| counters.reads += 1);
        let body = self.state.memory.get_object(name).await?;
        Ok(match body {
            Some(body) => conn.ok(body.to_vec()),
            None => conn.with_status(Status::NotFound),
        })
    }

    fn list(&self, conn: Conn) -> Conn {
        self.state.count(|counters| counters.lists += 1);
        conn.ok(to_json(&self.state.lagging_list()))
    }

    async fn announce(&self, mut conn: Conn) -> Outcome {
        let Some(instance) = read_json::<ListedInstance>(&mut conn).await else {
            return Ok(conn.with_status(Status::BadRequest));
        };
        self.state.count(|counters| counters.announcements += 1);
        self.state.announce(instance).await?;
        Ok(conn.ok("{}"))
    }

    /// Answers an applied write, or loses the answer under the fault `apply_then_lose`.
    fn answer_write(&self, conn: Conn, body: impl Into<Vec<u8>>) -> Conn {
        let body = body.into();
        self.state.count_write();
        if !self.state.faults().apply_then_lose {
            return conn.ok(body);
        }
        self.state.count(|counters| counters.lost_answers += 1);
        conn.ok(broken_body(Vec::new(), body.len() as u64))
    }

    /// Holds a request until the silent outage ends, then closes the connection without an answer.
    async fn hold_silently(&self, conn: Conn) -> Conn {
        self.state.count(|counters| counters.unanswered += 1);
        let held_at = Instant::now();
        while self.state.faults().outage == Outage::Silent && held_at.elapsed() < MAX_HOLD_TIME {
            Timer::after(OUTAGE_POLL_INTERVAL).await;
        }
        conn.ok(broken_body(Vec::new(), 1))
    }

    /// Waits for the delay of the fault `slow_ms`.
    async fn delay_answer(&self) {
        let slow_ms = self.state.faults().slow_ms;
        if slow_ms > 0 {
            self.state.count(|counters| counters.slowed += 1);
            Timer::after(Duration::from_millis(slow_ms)).await;
        }
    }
}

impl Handler for PlatformHandler {
    async fn run(&self, mut conn: Conn) -> Conn {
        match (conn.method(), conn.path()) {
            (Method::Post, "/v1/faults") => {
                let Some(faults) = read_json(&mut conn).await else {
                    return conn.with_status(Status::BadRequest);
                };
                self.state.set_faults(faults);
                conn.ok("{}")
            }
            (Method::Get, "/v1/counters") => conn.ok(to_json(&self.state.counters())),
            _ => self.serve(conn).await,
        }
    }
}

impl Route {
    /// Parses the path of a request; `None` if no resource has this path.
    fn parse(method: Method, path: &str) -> Option<Self> {
        let segments = path.split('/').skip(1).map(decode_segment);
        let segments = segments.collect::<Option<Vec<_>>>()?;
        let segments = segments.iter().map(String::as_str).collect::<Vec<_>>();
        let route = match segments.as_slice() {
            ["v1", "table", table, "insert"] if method == Method::Post => Self::Insert {
                table: (*table).to_owned(),
            },
            ["v1", "table", table, key] => Self::Row {
                table: (*table).to_owned(),
                key: (*key).to_owned(),
            },
            ["v1", "objects", name] => Self::Object {
                name: (*name).to_owned(),
            },
            ["v1", "instances"] => Self::Instances,
            ["v1", "instances", name] => Self::Instance {
                name: (*name).to_owned(),
            },
            _ => return None,
        };
        Some(route)
    }
}

fn with_row(conn: Conn, row: Row) -> Conn {
    conn.with_response_header("etag", etag(row.revision))
        .with_body(row.value.to_vec())
}

fn etag(revision: u64) -> String {
    format!("\"{revision}\"")
}

/// Returns the condition of a write: `Some(None)` if the row must be absent, `Some(Some(revision))`
/// if it must have this revision, and `None` if the request states no valid condition.
fn expected_revision(conn: &Conn) -> Option<Option<u64>> {
    if header(conn, "if-none-match").as_deref() == Some("*") {
        return Some(None);
    }
    let etag = header(conn, "if-match")?;
    let revision = etag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()?;
    Some(Some(revision))
}

async fn read_body(conn: &mut Conn) -> Option<Bytes> {
    let body = conn.request_body().read_bytes().await.ok()?;
    Some(Bytes::from(body))
}
