//! Sends the planned jobs at their planned times and records the outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use almondhead_macros::message;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::StatusCode;
use serde_json::json;
use smol::Executor;
use smol::Task;
use smol::Timer;

use crate::load_error::LoadError;
use crate::load_options::EntrySelection;
use crate::load_options::LoadOptions;
use crate::load_plan::LoadPlan;
use crate::load_plan::PlannedJob;
use crate::load_sample::JobOutcome;
use crate::load_sample::JobSample;

const EXECUTOR_THREADS: usize = 3;

/// The maximum number of times that one refused job is sent again.
const MAX_RETRIES: u32 = 5;

/// The time beyond the job's timeout that a response is awaited.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);

/// The timeout of opening a session.
const SESSION_TIMEOUT: Duration = Duration::from_secs(5);

/// A client that submits jobs over kept-alive connections to every entry.
pub(crate) struct LoadDriver {
    options: LoadOptions,
    client: HttpClient,
    executor: Executor<'static>,
}

/// An open session, and the number of the last job submitted in it.
struct Session {
    entry: SocketAddr,
    token: String,
    last_job_number: AtomicU64,
}

#[message]
struct SessionBody {
    session: String,
}

impl LoadDriver {
    /// Creates a driver without open connections.
    pub(crate) fn new(options: &LoadOptions) -> Self {
        let settings = HttpSettings {
            connections: options.connections,
            ..HttpSettings::default()
        };
        LoadDriver {
            options: options.clone(),
            client: HttpClient::new(settings),
            executor: Executor::new(),
        }
    }

    /// Returns the HTTP client, which also reads the metrics.
    pub(crate) fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Sends every job at its time, and waits until all have ended.
    pub(crate) fn run(self: &Arc<Self>, plan: &LoadPlan) -> Result<Vec<JobSample>, LoadError> {
        let (stop, stopped) = smol::channel::bounded::<()>(1);
        std::thread::scope(|scope| {
            for _ in 0..EXECUTOR_THREADS {
                let stopped = stopped.clone();
                scope.spawn(move || smol::block_on(self.executor.run(stopped.recv())));
            }
            let samples = smol::block_on(self.send_all(plan));
            stop.close();
            samples
        })
    }

    async fn send_all(self: &Arc<Self>, plan: &LoadPlan) -> Result<Vec<JobSample>, LoadError> {
        let sessions = Arc::new(self.open_sessions().await?);
        let started = Instant::now();
        let mut tasks: Vec<Task<JobSample>> = Vec::with_capacity(plan.jobs.len());
        for (job_index, job) in plan.jobs.iter().enumerate() {
            Timer::at(started + job.at).await;
            let driver = Arc::clone(self);
            let sessions = Arc::clone(&sessions);
            let job = job.clone();
            let sending = async move {
                driver
                    .send_with_retries(&sessions, job_index, &job, started)
                    .await
            };
            tasks.push(self.executor.spawn(sending));
        }
        let mut samples = Vec::with_capacity(tasks.len());
        for task in tasks {
            samples.push(task.await);
        }
        Ok(samples)
    }

    async fn open_sessions(&self) -> Result<Vec<Session>, LoadError> {
        let mut sessions = Vec::new();
        for _ in 0..self.options.sessions {
            for entry in &self.options.entries {
                sessions.push(self.open_session(*entry).await?);
            }
        }
        Ok(sessions)
    }

    async fn open_session(&self, entry: SocketAddr) -> Result<Session, LoadError> {
        let failed = |reason: String| LoadError::OpenSession { entry, reason };
        let request = HttpRequest::new(Method::POST, entry, "/v1/sessions");
        let answer = self.client.send(request, SESSION_TIMEOUT).await;
        let answer = answer.map_err(|error| failed(error.to_string()))?;
        if answer.status != StatusCode::CREATED {
            return Err(failed(format!("status {}", answer.status)));
        }
        let body: SessionBody =
            serde_json::from_slice(&answer.body).map_err(|error| failed(error.to_string()))?;
        Ok(Session {
            entry,
            token: body.session,
            last_job_number: AtomicU64::new(0),
        })
    }

    /// Sends one job, again after refusals where the options say so, and returns its last outcome.
    async fn send_with_retries(
        &self,
        sessions: &[Session],
        job_index: usize,
        job: &PlannedJob,
        started: Instant,
    ) -> JobSample {
        let mut retries = 0;
        loop {
            let sent_at = Instant::now();
            let outcome = self.exchange(sessions, job_index, job, started).await;
            let exchange_time = sent_at.elapsed();
            if let Some(retry_after) = self.retry_after(&outcome, retries) {
                retries += 1;
                Timer::after(retry_after).await;
                continue;
            }
            return JobSample {
                job_index,
                outcome,
                response_time: started.elapsed().saturating_sub(job.at),
                exchange_time,
                retries,
            };
        }
    }

    fn retry_after(&self, outcome: &JobOutcome, retries: u32) -> Option<Duration> {
        match outcome {
            JobOutcome::NotRun { retry_after, .. } if retries < MAX_RETRIES => {
                retry_after.filter(|_| self.options.follow_retry)
            }
            _ => None,
        }
    }

    async fn exchange(
        &self,
        sessions: &[Session],
        job_index: usize,
        job: &PlannedJob,
        started: Instant,
    ) -> JobOutcome {
        let request = self.job_request(sessions, job_index, job);
        let timeout = self.options.timeout + RESPONSE_GRACE;
        let cancelling = HttpRequest::new(Method::DELETE, request.address, request.path.clone());
        let sending = self.client.send(request, timeout);
        let cancel_at = self.options.cancel_at.filter(|_| job.cancelled);
        let Some(cancel_at) = cancel_at.filter(|at| *at >= job.at && !job.single) else {
            return JobOutcome::from_exchange(sending.await);
        };
        let cancel = async {
            Timer::at(started + cancel_at).await;
            // The response to the job itself reports the cancellation.
            let _ = self.client.send(cancelling, timeout).await;
            std::future::pending().await
        };
        JobOutcome::from_exchange(smol::future::or(sending, cancel).await)
    }

    fn job_request(&self, sessions: &[Session], job_index: usize, job: &PlannedJob) -> HttpRequest {
        let session = &sessions[job_index % sessions.len()];
        let entries = &self.options.entries;
        let entry = match self.options.entry_selection {
            EntrySelection::Home => session.entry,
            EntrySelection::RoundRobin => entries[(job_index / sessions.len()) % entries.len()],
        };
        let body = self.job_body(job_index, job);
        if job.single {
            return HttpRequest::new(Method::POST, entry, "/v1/tasks").with_body(body);
        }
        let job_number = session.last_job_number.fetch_add(1, Ordering::Relaxed) + 1;
        let path = format!("/v1/sessions/{}/jobs/{job_number}", session.token);
        HttpRequest::new(Method::PUT, entry, path).with_body(body)
    }

    fn job_body(&self, job_index: usize, job: &PlannedJob) -> Vec<u8> {
        let options = &self.options;
        let inputs: Vec<_> = job
            .run_times_ms
            .iter()
            .map(|ms| json!({ "run_ms": ms }))
            .collect();
        let timeout_ms = u64::try_from(options.timeout.as_millis()).unwrap_or(u64::MAX);
        let mut body = json!({
            "service": options.service,
            "team": options.teams[job_index % options.teams.len()],
            "timeout_ms": timeout_ms,
            "inputs": inputs,
        });
        if let Some(factor) = options.declared_factor {
            let total_ms: f64 = job.run_times_ms.iter().copied().map(f64::from).sum();
            let mean_ms = total_ms / job.run_times_ms.len() as f64;
            body["declared_run_ms"] = json!((mean_ms * factor).max(1.0) as u64);
        }
        body.to_string().into_bytes()
    }
}
