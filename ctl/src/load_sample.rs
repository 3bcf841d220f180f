//! The outcome of one submitted job.

use std::time::Duration;

use almondhead_macros::message;
use almondhead_macros::value;
use almondhead_net::ExchangeError;
use almondhead_net::HttpResponse;
use almondhead_net::StatusCode;

/// The outcome of one exchange with an entry.
#[value]
pub enum JobOutcome {
    /// Every task finished.
    Complete,
    /// No task ran.
    NotRun {
        /// The reason that the entry gave.
        reason: String,
        /// When the entry asks for the job to be sent again.
        retry_after: Option<Duration>,
    },
    /// A task ran, or may have run.
    Failed {
        /// The reason that the entry gave.
        reason: String,
    },
    /// The response does not follow the caller interface.
    Unreadable {
        /// Its HTTP status.
        status: u16,
    },
    /// No complete response arrived.
    Broken {
        /// The step of the exchange that failed.
        step: String,
    },
}

/// The measurement of one job.
#[value]
pub struct JobSample {
    /// Its index in the plan.
    pub job_index: usize,
    /// The outcome of its last request.
    pub outcome: JobOutcome,
    /// The time from the planned submission to the last response.
    pub response_time: Duration,
    /// The time from sending the last request to its response.
    pub exchange_time: Duration,
    /// How many times it was sent again after a refusal.
    pub retries: u32,
}

#[message]
struct ProblemBody {
    outcome: String,
    reason: String,
    retry_after_ms: Option<u64>,
}

impl JobOutcome {
    /// Derives the outcome from the result of an exchange.
    pub fn from_exchange(exchange: Result<HttpResponse, ExchangeError>) -> Self {
        match exchange {
            Ok(answer) if answer.status == StatusCode::OK => JobOutcome::Complete,
            Ok(answer) => JobOutcome::from_problem(&answer),
            Err(error) => JobOutcome::Broken {
                step: error.step.to_string(),
            },
        }
    }

    fn from_problem(answer: &HttpResponse) -> Self {
        match serde_json::from_slice::<ProblemBody>(&answer.body) {
            Ok(problem) if problem.outcome == "not_run" => JobOutcome::NotRun {
                reason: problem.reason,
                retry_after: problem.retry_after_ms.map(Duration::from_millis),
            },
            Ok(problem) if problem.outcome == "failed" => JobOutcome::Failed {
                reason: problem.reason,
            },
            _ => JobOutcome::Unreadable {
                status: answer.status.as_u16(),
            },
        }
    }

    /// Returns the label under which this outcome is counted in the report.
    pub fn label(&self) -> String {
        match self {
            JobOutcome::Complete => "complete".to_owned(),
            JobOutcome::NotRun { reason, .. } => format!("not_run:{reason}"),
            JobOutcome::Failed { reason } => format!("failed:{reason}"),
            JobOutcome::Unreadable { status } => format!("unreadable:{status}"),
            JobOutcome::Broken { step } => format!("broken:{step}"),
        }
    }
}
