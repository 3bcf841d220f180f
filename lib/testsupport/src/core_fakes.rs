//! Small fakes of caller, upstream, table and peer network round real dispatchers.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::action::Action;
use almondhead_lib::action::Attempt;
use almondhead_lib::dispatcher::Dispatcher;
use almondhead_lib::dispatcher::DispatcherConfig;
use almondhead_lib::dispatcher::DispatcherLimits;
use almondhead_lib::document::Document;
use almondhead_lib::event::ClaimEnd;
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
pub use crate::core_traffic::KnownJob;
pub use crate::core_traffic::OpenAttempt;
pub use crate::core_traffic::OpenClaim;
pub use crate::core_traffic::TableEnd;
use crate::core_traffic::TaskStart;
pub use crate::core_traffic::UpstreamEnd;

const NAMES: [&str; 3] = ["a", "b", "c"];
const DATA_CENTRES: [&str; 3] = ["east", "east", "west"];

/// Three dispatchers in two data centres, and the fakes round them.
pub struct CoreFakes {
    /// The time at every dispatcher.
    pub now: Timestamp,
    /// The dispatchers, `a` and `b` in one data centre and `c` in the other.
    pub dispatchers: Vec<Dispatcher>,
    /// Messages under way.
    pub messages: Vec<Envelope>,
    /// Attempts at upstreams.
    pub attempts: Vec<OpenAttempt>,
    /// Claims at the table.
    pub claims: Vec<OpenClaim>,
    /// Every job submitted.
    pub jobs: Vec<KnownJob>,
    faults: String,
    requests: IndexMap<RequestId, usize>,
    started: IndexMap<TaskStart, u32>,
    table: IndexMap<Arc<str>, (PeerIdentity, u64)>,
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
    /// Dispatchers with the document and each other's names.
    pub fn new() -> Self {
        let mut fakes = CoreFakes {
            now: Timestamp::from_us(1_000_000),
            dispatchers: Vec::new(),
            messages: Vec::new(),
            attempts: Vec::new(),
            claims: Vec::new(),
            jobs: Vec::new(),
            faults: String::new(),
            requests: IndexMap::new(),
            started: IndexMap::new(),
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

    fn prepare(&mut self, instance: usize) {
        let siblings = (0..NAMES.len()).filter(|other| *other != instance);
        let siblings = siblings.map(|other| Sibling {
            name: Arc::from(NAMES[other]),
            data_centre: Arc::from(DATA_CENTRES[other]),
            peer_address: "127.0.0.1:1".parse().expect("an address"),
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

    /// Hands a document to one dispatcher.
    ///
    /// # Panics
    ///
    /// When the document is not valid.
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

    /// Hands an event to a dispatcher and carries its actions out.
    pub fn handle(&mut self, instance: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[instance].handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(instance, action);
        }
    }

    fn carry_out(&mut self, instance: usize, action: Action) {
        let incarnation = self.dispatchers[instance].incarnation();
        match action {
            Action::Answer { request, answer } => self.take_answer(request, &answer),
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
                writes: true,
            }),
            Action::FindHome { claim, key, .. } => self.claims.push(OpenClaim {
                instance,
                incarnation,
                claim,
                key,
                writes: false,
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
                    to: to.expect("a known instance"),
                    message,
                });
            }
        }
    }

    fn take_answer(&mut self, request: RequestId, answer: &JobAnswer) {
        let Some(job) = self.requests.swap_remove(&request) else {
            self.faults += &format!("{request:?} was answered twice or never asked\n");
            return;
        };
        let known = &mut self.jobs[job];
        known.open_requests -= 1;
        known.last_answer = Some(answer.clone());
        match answer {
            JobAnswer::NotRun { .. } => known.not_run_answers += 1,
            JobAnswer::Failed { .. } => known.failed_answers += 1,
            JobAnswer::Complete { results } => {
                known.complete_answers += 1;
                if *results != known.submission.inputs {
                    self.faults += &format!("job {job} got another's answer: {results:?}\n");
                }
            }
        }
    }

    /// Submits a job in the session of an instance, which is opened when there is none.
    pub fn submit_in_session(&mut self, instance: usize, tasks: usize) -> usize {
        let incarnation = self.dispatchers[instance].incarnation();
        let known = self.sessions[instance].take();
        let (session, number) = known
            .filter(|(session, _)| session.home == incarnation)
            .unwrap_or_else(|| (self.open_session(instance), 0));
        self.sessions[instance] = Some((session.clone(), number + 1));
        self.submit_new(instance, JobAddress::Session { session, number }, tasks)
    }

    fn open_session(&mut self, instance: usize) -> SessionId {
        let session = self.dispatchers[instance].open_session(self.now);
        session.expect("a session")
    }

    /// Leaves out job numbers of the session of an instance.
    pub fn skip_numbers(&mut self, instance: usize, count: u64) {
        if let Some((_, number)) = &mut self.sessions[instance] {
            *number += count;
        }
    }

    /// Submits a job by an idempotency key.
    pub fn submit_by_key(&mut self, instance: usize, tasks: usize) -> usize {
        let address = JobAddress::Key {
            team: Arc::from("sales"),
            key: Arc::from(format!("key-{}", self.jobs.len())),
        };
        self.submit_new(instance, address, tasks)
    }

    fn submit_new(&mut self, instance: usize, address: JobAddress, tasks: usize) -> usize {
        let job = self.jobs.len();
        let inputs = (0..tasks).map(|index| Bytes::from(format!("{job}/{index}")));
        let submission = Arc::new(Submission {
            service: Arc::from("lookup"),
            team: Arc::from("sales"),
            timeout: None,
            idempotent: false,
            needs: Needs::default(),
            declared_run_time: None,
            inputs: inputs.collect(),
            traceparent: None,
        });
        self.jobs.push(KnownJob {
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

    /// Submits a known job, through any instance.
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

    /// Cancels a known job, through any instance.
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

    /// The latest answer about a job.
    ///
    /// # Panics
    ///
    /// When there was none.
    pub fn last_answer(&self, job: usize) -> JobAnswer {
        let answer = self.jobs[job].last_answer.clone();
        answer.expect("an answer")
    }

    /// Delivers a message and keeps a copy when `again`.
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

    /// Delivers every message, and those that they cause.
    pub fn deliver_all(&mut self) {
        for _ in 0..10_000 {
            if self.messages.is_empty() {
                return;
            }
            self.deliver(0, false);
        }
        panic!("messages without end");
    }

    /// Ends an attempt at its upstream.
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
            *self.started.entry(start).or_default() += 1;
        }
        if self.dispatchers[open.instance].incarnation() == open.incarnation {
            let attempt = open.attempt.attempt;
            self.handle(open.instance, Event::AttemptEnded { attempt, end });
        }
    }

    /// Lets the table answer a claim.
    pub fn end_claim(&mut self, index: usize, end: TableEnd) {
        let open = self.claims.remove(index);
        let identity = PeerIdentity {
            instance: Arc::from(NAMES[open.instance]),
            incarnation: open.incarnation,
        };
        let row = self.table.get(&open.key).cloned();
        if row.is_none() && open.writes && !matches!(end, TableEnd::Unavailable) {
            let token = open.claim;
            self.table
                .insert(open.key.clone(), (identity.clone(), token));
        }
        let answer = match (end, row) {
            (TableEnd::ApplyAndLose | TableEnd::Unavailable, _) => ClaimEnd::Unavailable,
            (TableEnd::Answer, Some((home, claim))) => ClaimEnd::AlreadyClaimed { home, claim },
            (TableEnd::Answer, None) if open.writes => ClaimEnd::Acquired,
            (TableEnd::Answer, None) => ClaimEnd::Unclaimed,
        };
        if self.dispatchers[open.instance].incarnation() == open.incarnation {
            let claim = open.claim;
            self.handle(open.instance, Event::ClaimEnded { claim, end: answer });
        }
    }

    /// Lets time pass at every dispatcher.
    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        for instance in 0..self.dispatchers.len() {
            self.handle(instance, Event::Tick);
        }
    }

    /// Kills an instance and starts it anew; its callers get no answer.
    pub fn restart(&mut self, instance: usize) {
        self.dispatchers[instance] = self.new_dispatcher(instance);
        self.prepare(instance);
    }

    /// Every promise that does not hold now, a line each; empty when all hold.
    pub fn broken_promises(&self) -> String {
        let mut broken = self.faults.clone();
        let mut possible = self.started.clone();
        for open in &self.attempts {
            *possible.entry(task_start(&open.attempt)).or_default() += 1;
        }
        for (start, count) in &possible {
            if *count > 1 {
                broken += &format!("{start:?} may have started {count} times\n");
            }
            let job = &self.jobs[start.job];
            let only_not_run =
                job.open_requests == 0 && job.complete_answers + job.failed_answers == 0;
            if *count > 0 && only_not_run {
                broken += &format!("{start:?} may have started after \"not run\"\n");
            }
        }
        broken
    }
}

fn task_start(attempt: &Attempt) -> TaskStart {
    let input = std::str::from_utf8(&attempt.input).expect("a text");
    let (job, index) = input.split_once('/').expect("job and index");
    TaskStart {
        job: job.parse().expect("a job"),
        index: index.parse().expect("an index"),
    }
}
