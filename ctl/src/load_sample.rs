//! What became of one submitted job.

use std::time::Duration;

use almondhead_macros::message;
use almondhead_macros::value;
use almondhead_net::ExchangeError;
use almondhead_net::HttpResponse;
use almondhead_net::StatusCode;

/// How one exchange with an entry ended.
#[value]
pub enum JobEnd {
    /// Every task finished.
    Complete,
    /// Nothing ran.
    NotRun {
        /// The reason that the entry gave.
        reason: String,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Something ran, or may have.
    Failed {
        /// The reason that the entry gave.
        reason: String,
    },
    /// The answer was no answer of the caller interface.
    Unreadable {
        /// Its HTTP status.
        status: u16,
    },
    /// There was no whole answer.
    Broken {
        /// The step that failed.
        step: String,
    },
}

/// One job and its last end.
#[value]
pub struct JobSample {
    /// Its place in the plan.
    pub job: usize,
    /// How it ended.
    pub end: JobEnd,
    /// From the planned time to the last answer.
    pub response: Duration,
    /// From the sending of the last request to its answer.
    pub exchange: Duration,
    /// How often it was sent again after a refusal.
    pub retries: u32,
}

#[message]
struct ProblemBody {
    outcome: String,
    reason: String,
    retry_after_ms: Option<u64>,
}

impl JobEnd {
    /// Reads the end of an exchange.
    pub fn of(exchange: Result<HttpResponse, ExchangeError>) -> Self {
        match exchange {
            Ok(answer) if answer.status == StatusCode::OK => JobEnd::Complete,
            Ok(answer) => JobEnd::of_problem(&answer),
            Err(error) => JobEnd::Broken {
                step: error.step.to_string(),
            },
        }
    }

    fn of_problem(answer: &HttpResponse) -> Self {
        match serde_json::from_slice::<ProblemBody>(&answer.body) {
            Ok(problem) if problem.outcome == "not_run" => JobEnd::NotRun {
                reason: problem.reason,
                retry_after: problem.retry_after_ms.map(Duration::from_millis),
            },
            Ok(problem) if problem.outcome == "failed" => JobEnd::Failed {
                reason: problem.reason,
            },
            _ => JobEnd::Unreadable {
                status: answer.status.as_u16(),
            },
        }
    }

    /// The name under which ends of this kind are counted.
    pub fn label(&self) -> String {
        match self {
            JobEnd::Complete => "complete".to_owned(),
            JobEnd::NotRun { reason, .. } => format!("not_run:{reason}"),
            JobEnd::Failed { reason } => format!("failed:{reason}"),
            JobEnd::Unreadable { status } => format!("unreadable:{status}"),
            JobEnd::Broken { step } => format!("broken:{step}"),
        }
    }
}
