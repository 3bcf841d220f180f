//! Fake callers, upstreams, claims table and peer network around real dispatchers.
//!
//! The test decides the order in which messages arrive, attempts end and claims are answered.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::action::Action;
use almondhead_lib::action::Attempt;
use almondhead_lib::dispatcher::Dispatcher;
use almondhead_lib::dispatcher::DispatcherConfig;
use almondhead_lib::dispatcher::DispatcherLimits;
use almondhead_lib::document::Document;
use almondhead_lib::event::ClaimOutcome;
use almondhead_lib::event::Event;
use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::id::JobAddress;
use almondhead_lib::id::RequestId;
use almondhead_lib::id::SessionId;
use almondhead_lib::membership::Membership;
use almondhead_lib::membership::Sibling;
use almondhead_lib::outcome::AttemptEnd;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::outcome::NotStartedCause;
use almondhead_lib::outcome::UnknownCause;
use almondhead_lib::submission::Needs;
use almondhead_lib::submission::Submission;
use almondhead_lib::time::Timestamp;
use bytes::Bytes;
use indexmap::IndexMap;

pub use crate::core_document::DOCUMENT;
pub use crate::core_traffic::Envelope;
pub use crate::core_traffic::OpenAttempt;
pub use crate::core_traffic::OpenClaim;
pub use crate::core_traffic::SubmittedJob;
pub use crate::core_traffic::TableEnd;
use crate::core_traffic::TaskStart;
pub use crate::core_traffic::UpstreamEnd;

const NAMES: [&str; 3] = ["a", "b", "c"];
const DATA_CENTRES: [&str; 3] = ["east", "east", "west"];

/// Three dispatchers in two data centres, and the fakes around them.
///
/// Dispatchers are referred to by their index, jobs by the index in [`CoreFakes::jobs`].
pub struct CoreFakes {
    /// The current time, the same for all dispatchers.
    pub now: Timestamp,
    /// The dispatchers, `a` and `b` in one data centre and `c` in the other.
    pub dispatchers: Vec<Dispatcher>,
    /// Peer messages that are in flight.
    pub messages: Vec<Envelope>,
    /// Attempts that have not ended at their upstream.
    pub attempts: Vec<OpenAttempt>,
    /// Claims and lookups that the table has not answered.
    pub claims: Vec<OpenClaim>,
    /// All jobs submitted so far.
    pub jobs: Vec<SubmittedJob>,
    /// The violations seen while answers were handled, a line each.
    violations: String,
    /// The job of each request without an answer.
    requests: IndexMap<RequestId, usize>,
    /// How often each task has started for certain.
    starts: IndexMap<TaskStart, u32>,
    /// The claimant and the claim's number of each key.
    table: IndexMap<Arc<str>, (PeerIdentity, u64)>,
    /// The open session of each instance, with the number of its next job.
    sessions: [Option<(SessionId, u64)>; NAMES.len()],
    next_incarnation: u64,
    next_request: u64,
}

impl Default for CoreFakes {
    fn default() -> Self {
        Self::new()
    }
}

impl CoreFakes {
    /// Returns dispatchers that have the document and list each other as siblings.
    pub fn new() -> Self {
        let mut fakes = CoreFakes {
            now: Timestamp::from_us(1_000_000),
            dispatchers: Vec::new(),
            messages: Vec::new(),
            attempts: Vec::new(),
            claims: Vec::new(),
            jobs: Vec::new(),
            violations: String::new(),
            requests: IndexMap::new(),
            starts: IndexMap::new(),
            table: IndexMap::new(),
            sessions: [const { None }; NAMES.len()],
            next_incarnation: 1,
            next_request: 1,
        };
        for instance in 0..NAMES.len() {
            let dispatcher = fakes.new_dispatcher(instance);
            fakes.dispatchers.push(dispatcher);
        }
        for instance in 0..NAMES.len() {
            fakes.prepare(instance);
        }
        fakes.deliver_all();
        fakes
    }

    fn new_dispatcher(&mut self, instance: usize) -> Dispatcher {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        Dispatcher::new(DispatcherConfig {
            instance: Arc::from(NAMES[instance]),
            data_centre: Arc::from(DATA_CENTRES[instance]),
            incarnation,
            seed: 7,
            limits: DispatcherLimits {
                session_window: 8,
                ..DispatcherLimits::default()
            },
        })
    }

    /// Gives a dispatcher its siblings and the document.
    fn prepare(&mut self, instance: usize) {
        let siblings = (0..NAMES.len()).filter(|other| *other != instance);
        let siblings = siblings.map(|other| Sibling {
            name: Arc::from(NAMES[other]),
            data_centre: Arc::from(DATA_CENTRES[other]),
            peer_address: "127.0.0.1:1".parse().expect("the address is valid"),
            incarnation: None,
            leaving: false,
        });
        let membership = Membership {
            siblings: siblings.collect(),
            ..Membership::default()
        };
        self.handle(instance, Event::MembershipChanged(membership));
        self.install(instance, 1, DOCUMENT);
    }

    /// Installs a document at one dispatcher.
    ///
    /// # Panics
    ///
    /// If the document is not valid.
    pub fn install(&mut self, instance: usize, revision: u64, text: &str) {
        let document = almondhead_lib::check::check_document(text);
        let document: Document = document.expect("the document is valid");
        self.handle(
            instance,
            Event::DocumentInstalled {
                revision,
                document: Arc::new(document),
                text: Bytes::copy_from_slice(text.as_bytes()),
            },
        );
    }

    /// Delivers an event to a dispatcher and executes the resulting actions.
    pub fn handle(&mut self, instance: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[instance].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(instance, action);
        }
    }

    fn execute(&mut self, instance: usize, action: Action) {
        let incarnation = self.dispatchers[instance].incarnation();
        match action {
            Action::Answer { request, answer } => self.handle_answer(request, &answer),
            Action::StartAttempt(attempt) => self.attempts.push(OpenAttempt {
                instance,
                incarnation,
                attempt,
            }),
            Action::StopTasks { .. } => {}
            Action::Claim { claim, key, .. } => self.claims.push(OpenClaim {
                instance,
                incarnation,
                claim,
                key,
                is_write: true,
            }),
            Action::FindHome { claim, key, .. } => self.claims.push(OpenClaim {
                instance,
                incarnation,
                claim,
                key,
                is_write: false,
            }),
            Action::SendPeer {
                instance: to,
                message,
            } => {
                let to = NAMES.iter().position(|name| *name == &*to);
                self.messages.push(Envelope {
                    sender: PeerIdentity {
                        instance: Arc::from(NAMES[instance]),
                        incarnation,
                    },
                    to: to.expect("the receiver is one of the instances"),
                    message,
                });
            }
        }
    }

    fn handle_answer(&mut self, request: RequestId, answer: &JobAnswer) {
        let Some(job) = self.requests.swap_remove(&request) else {
            self.violations += &format!("{request:?} was answered twice or never sent\n");
            return;
        };
        let submitted = &mut self.jobs[job];
        submitted.open_requests -= 1;
        submitted.last_answer = Some(answer.clone());
        match answer {
            JobAnswer::NotRun { .. } => submitted.not_run_answers += 1,
            JobAnswer::Failed { .. } => submitted.failed_answers += 1,
            JobAnswer::Complete { results } => {
                submitted.complete_answers += 1;
                if *results != submitted.submission.inputs {
                    self.violations +=
                        &format!("job {job} got the results of another job: {results:?}\n");
                }
            }
        }
    }

    /// Submits a job in the session of an instance, which is opened if there is none; returns the
    /// job.
    pub fn submit_in_session(&mut self, instance: usize, tasks: usize) -> usize {
        let incarnation = self.dispatchers[instance].incarnation();
        let current = self.sessions[instance].take();
        let (session, number) = current
            .filter(|(session, _)| session.home == incarnation)
            .unwrap_or_else(|| (self.open_session(instance), 0));
        self.sessions[instance] = Some((session.clone(), number + 1));
        self.submit_new(instance, JobAddress::Session { session, number }, tasks)
    }

    fn open_session(&mut self, instance: usize) -> SessionId {
        let session = self.dispatchers[instance].open_session(self.now);
        session.expect("the dispatcher opens a session")
    }

    /// Skips `count` job numbers of the session of an instance.
    pub fn skip_numbers(&mut self, instance: usize, count: u64) {
        if let Some((_, number)) = &mut self.sessions[instance] {
            *number += count;
        }
    }

    /// Submits a job under an idempotency key; returns the job.
    pub fn submit_by_key(&mut self, instance: usize, tasks: usize) -> usize {
        let address = JobAddress::Key {
            team: Arc::from("sales"),
            key: Arc::from(format!("key-{}", self.jobs.len())),
        };
        self.submit_new(instance, address, tasks)
    }

    /// Submits a single request that may run again after an unknown end; returns the job.
    pub fn submit_idempotent(&mut self, instance: usize) -> usize {
        self.submit_with(instance, JobAddress::Single, 1, true)
    }

    fn submit_new(&mut self, instance: usize, address: JobAddress, tasks: usize) -> usize {
        self.submit_with(instance, address, tasks, false)
    }

    fn submit_with(
        &mut self,
        instance: usize,
        address: JobAddress,
        tasks: usize,
        idempotent: bool,
    ) -> usize {
        let job = self.jobs.len();
        let inputs = (0..tasks).map(|index| Bytes::from(format!("{job}/{index}")));
        let submission = Arc::new(Submission {
            service: Arc::from("lookup"),
            team: Arc::from("sales"),
            timeout: None,
            idempotent,
            needs: Needs::default(),
            declared_run_time: None,
            inputs: inputs.collect(),
            traceparent: None,
        });
        self.jobs.push(SubmittedJob {
            address,
            submission,
            open_requests: 0,
            not_run_answers: 0,
            complete_answers: 0,
            failed_answers: 0,
            last_answer: None,
        });
        self.submit_again(job, instance);
        job
    }

    /// Submits a job again, through any instance.
    pub fn submit_again(&mut self, job: usize, instance: usize) {
        let request = self.new_request(job);
        let address = self.jobs[job].address.clone();
        let submission = self.jobs[job].submission.clone();
        self.handle(
            instance,
            Event::Submitted {
                request,
                address,
                submission,
            },
        );
    }

    /// Cancels a job, through any instance.
    pub fn cancel(&mut self, job: usize, instance: usize) {
        let request = self.new_request(job);
        let address = self.jobs[job].address.clone();
        self.handle(instance, Event::Cancelled { request, address });
    }

    fn new_request(&mut self, job: usize) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(request, job);
        self.jobs[job].open_requests += 1;
        request
    }

    /// Returns the latest answer about a job.
    ///
    /// # Panics
    ///
    /// If there was none.
    pub fn last_answer(&self, job: usize) -> JobAnswer {
        let answer = self.jobs[job].last_answer.clone();
        answer.expect("the job has been answered")
    }

    /// Delivers the message at `index`, which stays in flight if `again` is set.
    pub fn deliver(&mut self, index: usize, again: bool) {
        let envelope = if again {
            self.messages[index].clone()
        } else {
            self.messages.remove(index)
        };
        let event = Event::PeerMessage {
            sender: envelope.sender,
            message: envelope.message,
        };
        self.handle(envelope.to, event);
    }

    /// Delivers all messages in flight, and those that they cause.
    ///
    /// # Panics
    ///
    /// If 10000 deliveries are not enough.
    pub fn deliver_all(&mut self) {
        for _ in 0..10_000 {
            if self.messages.is_empty() {
                return;
            }
            self.deliver(0, false);
        }
        panic!("messages are still in flight after 10000 deliveries");
    }

    /// Ends the attempt at `index`; an instance restarted since the attempt gets no event.
    pub fn end_attempt(&mut self, index: usize, end: UpstreamEnd) {
        let open = self.attempts.remove(index);
        let end = match end {
            UpstreamEnd::Finish => AttemptEnd::Finished {
                body: open.attempt.input.clone(),
            },
            UpstreamEnd::Fail => AttemptEnd::TaskFailed { status: 500 },
            UpstreamEnd::Refuse => AttemptEnd::NotStarted(NotStartedCause::Refused),
            UpstreamEnd::Lose => AttemptEnd::Unknown(UnknownCause::ConnectionLost),
        };
        if !matches!(end, AttemptEnd::NotStarted(_)) {
            let start = task_start(&open.attempt);
            *self.starts.entry(start).or_default() += 1;
        }
        if self.dispatchers[open.instance].incarnation() == open.incarnation {
            let attempt = open.attempt.attempt;
            self.handle(open.instance, Event::AttemptEnded { attempt, end });
        }
    }

    /// Ends the claim at `index`; an instance restarted since the claim gets no event.
    pub fn end_claim(&mut self, index: usize, end: TableEnd) {
        let open = self.claims.remove(index);
        let identity = PeerIdentity {
            instance: Arc::from(NAMES[open.instance]),
            incarnation: open.incarnation,
        };
        let row = self.table.get(&open.key).cloned();
        if row.is_none() && open.is_write && !matches!(end, TableEnd::Unavailable) {
            let claim = open.claim;
            self.table
                .insert(open.key.clone(), (identity.clone(), claim));
        }
        let answer = match (end, row) {
            (TableEnd::ApplyAndLose | TableEnd::Unavailable, _) => ClaimOutcome::Unavailable,
            (TableEnd::Answer, Some((home, claim))) => ClaimOutcome::AlreadyClaimed { home, claim },
            (TableEnd::Answer, None) if open.is_write => ClaimOutcome::Acquired,
            (TableEnd::Answer, None) => ClaimOutcome::Unclaimed,
        };
        if self.dispatchers[open.instance].incarnation() == open.incarnation {
            let claim = open.claim;
            self.handle(open.instance, Event::ClaimEnded { claim, end: answer });
        }
    }

    /// Advances the time and delivers a tick to all dispatchers.
    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        for instance in 0..self.dispatchers.len() {
            self.handle(instance, Event::Tick);
        }
    }

    /// Kills an instance and starts a new incarnation; requests in flight get no answer.
    pub fn restart(&mut self, instance: usize) {
        self.dispatchers[instance] = self.new_dispatcher(instance);
        self.prepare(instance);
    }

    /// Returns the violated guarantees, a line each; empty if there are none.
    pub fn guarantee_violations(&self) -> String {
        let mut violations = self.violations.clone();
        let mut possible = self.starts.clone();
        for open in &self.attempts {
            *possible.entry(task_start(&open.attempt)).or_default() += 1;
        }
        for (start, count) in &possible {
            if *count > 1 {
                violations += &format!("{start:?} may have started {count} times\n");
            }
            let job = &self.jobs[start.job];
            let only_not_run =
                job.open_requests == 0 && job.complete_answers + job.failed_answers == 0;
            if *count > 0 && only_not_run {
                violations += &format!(
                    "{start:?} may have started although its job was answered as not run\n"
                );
            }
        }
        violations
    }
}

fn task_start(attempt: &Attempt) -> TaskStart {
    let input = std::str::from_utf8(&attempt.input).expect("the input is UTF-8");
    let (job, index) = input.split_once('/').expect("the input is JOB/INDEX");
    TaskStart {
        job: job.parse().expect("the job is a number"),
        index: index.parse().expect("the index is a number"),
    }
}
