//! What a home counts as the end of a run that no reachable owner reports.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::id::RequestId;
use almondhead_lib::runs::delegation::report::DelegationReport;
use almondhead_lib::runs::event::RequestKind;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::intended_state::RequestLimits;
use almondhead_lib::runs::intended_state::RunService;
use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_lib::runs::resources::Resources;
use almondhead_lib::runs::roster::Member;
use almondhead_lib::runs::roster::Roster;
use almondhead_lib::runs::run_action::RunAction;
use almondhead_lib::runs::run_digest::FreeUpstream;
use almondhead_lib::runs::run_digest::RunDigest;
use almondhead_lib::runs::run_digest::RunLoad;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_id::JobId;
use almondhead_lib::runs::run_id::RunId;
use almondhead_lib::runs::run_id::TaskName;
use almondhead_lib::runs::run_message::Cancellation;
use almondhead_lib::runs::run_message::CancelledTask;
use almondhead_lib::runs::run_message::EndedRun;
use almondhead_lib::runs::run_message::FoundEnd;
use almondhead_lib::runs::run_message::PeerReport;
use almondhead_lib::runs::run_message::RunEnd;
use almondhead_lib::runs::run_message::RunEnds;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::runs::run_settings::RunLimits;
use almondhead_lib::runs::run_settings::RunSettings;
use almondhead_lib::time::Timestamp;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::run_site::run_queue;
use bytes::Bytes;

const JOB: &str = "00000000000000aa";
const UPSTREAM: &str = "up-0";
const OTHER_UPSTREAM: &str = "up-1";
const HOME: (&str, Incarnation) = ("entry-a", Incarnation(1));

/// The first owner of the run, and those that take its upstream over.
const FIRST: usize = 0;
const SECOND: usize = 1;
const THIRD: usize = 2;

const HEARTBEAT_MS: u64 = 100;

/// How long an owner is silent before it counts as unreachable.
const UNREACHABLE_MS: u64 = 800;

/// How long after the last contact with its owner a run can go on.
const MAX_RUN_MS: u64 = 1_930;

#[derive(Debug)]
struct NoDecoder;

impl IntendedDecoder for NoDecoder {
    fn decode(&self, _: &[u8]) -> Option<IntendedState> {
        None
    }
}

/// Another instance, which owns upstreams.
struct Owner {
    name: &'static str,
    incarnation: Incarnation,
    /// Whether its messages arrive.
    is_reachable: bool,
    has_capacity: bool,
    held: Vec<u64>,
    highest_taken: u64,
}

/// A home without upstreams of its own, and the other instances.
struct Site {
    dispatcher: RunDispatcher,
    now_ms: u64,
    owners: [Owner; 3],
    /// The owners to which the home has sent batches since this was last asked, and whether each is to adopt
    /// runs.
    batches: Vec<(usize, bool)>,
    cancellations: Vec<(usize, Cancellation)>,
}

fn member(name: &str, incarnation: Incarnation, data_centre: &str) -> Member {
    Member {
        name: Arc::from(name),
        incarnation,
        data_centre: Arc::from(data_centre),
        peer_address: ([127, 0, 0, 1], 9_000).into(),
        leaving: false,
        processor_millicores: None,
        row_version: 1,
    }
}

fn owner(name: &'static str, incarnation: u64) -> Owner {
    Owner {
        name,
        incarnation: Incarnation(incarnation),
        is_reachable: true,
        has_capacity: false,
        held: Vec::new(),
        highest_taken: 0,
    }
}

fn run(run_number: u32) -> RunId {
    RunId {
        task: TaskName {
            job: JobId::parse(JOB).expect("a job id"),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run_number,
    }
}

impl Owner {
    fn digest(&self) -> RunDigest {
        let capacity = Resources {
            cpu_millicores: 16_000,
            memory_mb: 65_536,
            accelerators: 0,
        };
        let free = FreeUpstream {
            name_hash: 1,
            free_resources: capacity,
            slowness_percent: 100,
        };
        let load = RunLoad {
            service: Arc::from("work"),
            free: vec![free],
            total: capacity,
            queued_core_ms: 0,
            queued_tasks: 0,
            backlog: Vec::new(),
        };
        RunDigest {
            services: Vec::from_iter(self.has_capacity.then_some(load)),
            intended_version: 1,
            ..RunDigest::default()
        }
    }

    fn report(&self) -> RunMessage {
        RunMessage::Report(PeerReport {
            digest: self.digest(),
            held: self.held.clone(),
            highest_taken: self.highest_taken,
            open: Vec::new(),
            highest_sent: 0,
            delegation: DelegationReport::default(),
        })
    }
}

impl Site {
    /// A site whose home has placed the only task of a job at the first owner.
    fn with_placed_task() -> Self {
        Self::with_placed_tasks(1)
    }

    /// The same with a job of several tasks, which are in one batch.
    fn with_placed_tasks(tasks: u32) -> Self {
        let settings = RunSettings {
            instance: Arc::from(HOME.0),
            data_centre: Arc::from("a"),
            incarnation: HOME.1,
            overload: OverloadPolicy::ByArrival,
            limits: RunLimits::default(),
        };
        let owners = [
            owner("entry-b", 2),
            owner("entry-c", 3),
            owner("entry-d", 4),
        ];
        let others = owners
            .iter()
            .map(|owner| member(owner.name, owner.incarnation, "b"));
        let roster = Roster {
            version: 1,
            members: others.chain([member(HOME.0, HOME.1, "a")]).collect(),
        };
        let state = IntendedState {
            version: 1,
            queues: vec![Arc::new(run_queue("look", 0, 3))],
            services: vec![RunService {
                name: Arc::from("work"),
                enforces_capacity: true,
            }],
            limits: RequestLimits::default(),
        };
        let mut site = Site {
            dispatcher: RunDispatcher::new(settings, Box::new(NoDecoder)),
            now_ms: 10_000,
            owners,
            batches: Vec::new(),
            cancellations: Vec::new(),
        };
        site.handle(RunEvent::StoreRegained);
        site.handle(RunEvent::RosterRead(roster));
        site.handle(RunEvent::IntendedRead {
            state: Arc::new(state),
            body: Bytes::new(),
        });
        site.owners[FIRST].has_capacity = true;
        site.run_ms(1_000);
        site.handle(RunEvent::Requested {
            request: RequestId(1),
            host: "site.example".to_owned(),
            path: format!("/look/{JOB}"),
            kind: RequestKind::Submit(Arc::new(run_job(tasks, 1_000, 3_000))),
            wait: Some(Duration::from_secs(30)),
        });
        assert_eq!(site.take_batches(), [(FIRST, false)]);
        site.run_ms(300);
        site.owners[FIRST].has_capacity = false;
        site.owners[THIRD].has_capacity = true;
        site
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + Duration::from_millis(self.now_ms)
    }

    fn handle(&mut self, event: RunEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.dispatcher.handle(self.now(), event, &mut actions);
            for action in actions {
                match action {
                    RunAction::ReadInputs { as_of } => events.push(RunEvent::InputsRead { as_of }),
                    RunAction::SendPeer { instance, message } => {
                        self.record_sent(&instance, message.message);
                    }
                    _ => {}
                }
            }
        }
    }

    fn record_sent(&mut self, instance: &str, message: RunMessage) {
        let mut owners = self.owners.iter();
        let owner = owners.position(|owner| owner.name == instance);
        let owner = owner.expect("an owner");
        let (is_adoption, batch) = match message {
            RunMessage::Place(batch) => (false, batch),
            RunMessage::Adopt { batch, .. } => (true, batch),
            RunMessage::Cancel(cancellation) => {
                return self.cancellations.push((owner, cancellation));
            }
            _ => return,
        };
        self.owners[owner].held.push(batch.number);
        self.owners[owner].highest_taken = batch.number;
        self.batches.push((owner, is_adoption));
    }

    /// Returns and empties `batches`.
    fn take_batches(&mut self) -> Vec<(usize, bool)> {
        std::mem::take(&mut self.batches)
    }

    fn run_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += 10;
            self.handle(RunEvent::Tick);
            if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
                for owner in [FIRST, SECOND, THIRD] {
                    self.receive(owner, self.owners[owner].report());
                }
            }
        }
    }

    /// Delivers a message that was in flight for no time, unless its sender is unreachable.
    fn receive(&mut self, owner: usize, message: RunMessage) {
        let owner = &self.owners[owner];
        if !owner.is_reachable {
            return;
        }
        let sender = PeerIdentity {
            instance: Arc::from(owner.name),
            incarnation: owner.incarnation,
        };
        let message = Box::new(TimedRunMessage {
            receiver: HOME.1,
            sent_at: self.now(),
            echo: Some(self.now()),
            input_age: Duration::ZERO,
            message,
        });
        self.handle(RunEvent::PeerMessage { sender, message });
    }

    /// An owner announces that the run goes on on an upstream.
    fn announce(&mut self, owner: usize, upstream: &str) {
        self.receive(
            owner,
            RunMessage::Found {
                upstream: Arc::from(upstream),
                fence: 512,
                running: vec![run(1)],
                ended: Vec::new(),
            },
        );
    }

    /// An owner announces the end of a run of this name on an upstream.
    fn announce_end(&mut self, owner: usize, upstream: &str, done: bool) {
        let end = FoundEnd {
            run: run(1),
            done,
            failed: false,
        };
        self.receive(
            owner,
            RunMessage::Found {
                upstream: Arc::from(upstream),
                fence: 512,
                running: Vec::new(),
                ended: vec![end],
            },
        );
    }

    /// An owner reports how the run of its latest batch ended.
    fn report_end(&mut self, owner: usize, end: RunEnd) {
        let batch = self.owners[owner].held.pop().expect("a batch");
        let digest = self.owners[owner].digest();
        let ends = vec![EndedRun { run: run(1), end }];
        let ends = RunEnds {
            batch,
            ends,
            digest,
        };
        self.receive(owner, RunMessage::Ends(ends));
    }

    /// An owner reports that another one has taken the upstream of its latest batch over.
    fn report_taken_over(&mut self, owner: usize, upstream: &str) {
        let upstream = Arc::from(upstream);
        self.report_end(owner, RunEnd::TakenOver { upstream });
    }

    /// The first owner becomes unreachable, and the home claims the run from the second one.
    fn claim_from_second(&mut self) {
        self.owners[FIRST].is_reachable = false;
        self.run_ms(UNREACHABLE_MS);
        self.announce(SECOND, UPSTREAM);
        assert_eq!(self.take_batches(), [(SECOND, true)]);
    }
}

/// Guards against a contact with an owner that has crashed, by which a home dates a run that a later owner
/// has had since.
#[test]
fn run_that_is_handed_over_counts_from_then() {
    let mut site = Site::with_placed_task();
    site.claim_from_second();
    site.run_ms(200);
    site.report_taken_over(SECOND, UPSTREAM);
    site.run_ms(MAX_RUN_MS - 30);
    assert_eq!(site.take_batches(), []);
    site.run_ms(100);
    assert_eq!(site.take_batches(), [(THIRD, false)]);
}

/// Guards against a run that the next owner stops, since the home waits for the one that crashed.
#[test]
fn run_that_is_handed_over_is_claimed_from_the_next_owner() {
    for is_found_first in [false, true] {
        let mut site = Site::with_placed_task();
        site.claim_from_second();
        site.run_ms(200);
        if is_found_first {
            site.announce(THIRD, UPSTREAM);
            site.report_taken_over(SECOND, UPSTREAM);
        } else {
            site.report_taken_over(SECOND, UPSTREAM);
            site.announce(THIRD, UPSTREAM);
        }
        assert_eq!(site.take_batches(), [(THIRD, true)], "{is_found_first}");
    }
}

/// Guards against an end of an earlier attempt on another upstream in whose place the home forgets the run
/// that goes on.
#[test]
fn finding_on_another_upstream_replaces_no_other() {
    let mut site = Site::with_placed_task();
    site.announce(SECOND, UPSTREAM);
    site.announce_end(THIRD, OTHER_UPSTREAM, false);
    site.report_taken_over(FIRST, UPSTREAM);
    assert_eq!(site.take_batches(), [(SECOND, true)]);
}

/// Guards against a task that starts again at once because the owner of a claimed run has not adopted it
/// and its report of that was lost: the run may go on.
#[test]
fn claimed_run_that_its_owner_does_not_hold_may_go_on() {
    let mut site = Site::with_placed_task();
    site.claim_from_second();
    site.owners[SECOND].held.clear();
    site.owners[SECOND].is_reachable = false;
    site.run_ms(UNREACHABLE_MS);
    site.owners[SECOND].is_reachable = true;
    site.run_ms(HEARTBEAT_MS);
    assert_eq!(site.take_batches(), []);
    site.run_ms(MAX_RUN_MS - 200);
    assert_eq!(site.take_batches(), []);
    site.run_ms(400);
    assert_eq!(site.take_batches(), [(THIRD, false)]);
}

/// Guards against leases of an owner's first process that count as ended by what its second one reports.
#[test]
fn report_of_a_second_process_tells_nothing_of_the_first() {
    let mut site = Site::with_placed_task();
    site.owners[FIRST].incarnation = Incarnation(20);
    site.owners[FIRST].held.clear();
    site.owners[FIRST].highest_taken = 0;
    site.run_ms(HEARTBEAT_MS);
    let crash_seen_ms = site.now_ms;
    site.announce(FIRST, UPSTREAM);
    assert_eq!(site.take_batches(), [(FIRST, true)]);
    site.owners[FIRST].is_reachable = false;
    site.run_ms(UNREACHABLE_MS);
    site.owners[FIRST].is_reachable = true;
    site.run_ms(HEARTBEAT_MS);
    site.report_end(
        FIRST,
        RunEnd::Lost {
            upstream: Arc::from(UPSTREAM),
        },
    );
    site.run_ms(crash_seen_ms + MAX_RUN_MS - 100 - site.now_ms);
    assert_eq!(site.take_batches(), []);
    site.run_ms(200);
    assert_eq!(site.take_batches(), [(THIRD, false)]);
}

/// Guards against a run that goes on at an owner which was unreachable when another attempt's end ended the
/// task, beside those of its batch that are still wanted.
#[test]
fn task_that_was_done_meanwhile_is_cancelled_at_an_owner_that_returns() {
    let mut site = Site::with_placed_tasks(2);
    site.owners[FIRST].is_reachable = false;
    site.run_ms(UNREACHABLE_MS);
    site.announce_end(SECOND, OTHER_UPSTREAM, true);
    assert_eq!(site.cancellations, []);
    site.owners[FIRST].is_reachable = true;
    site.run_ms(HEARTBEAT_MS);
    let task = CancelledTask {
        batch: 1,
        step: 0,
        index: 0,
    };
    let cancellation = Cancellation {
        batches: Vec::new(),
        tasks: vec![task],
    };
    assert_eq!(site.cancellations, [(FIRST, cancellation)]);
    assert_eq!(site.take_batches(), []);
}

/// Guards against a job that ends without its runs at an owner that is reachable again.
#[test]
fn job_cancels_its_runs_at_an_owner_that_returned() {
    let mut site = Site::with_placed_tasks(2);
    site.owners[FIRST].is_reachable = false;
    site.run_ms(UNREACHABLE_MS);
    site.owners[FIRST].is_reachable = true;
    site.run_ms(HEARTBEAT_MS);
    assert_eq!(site.cancellations, []);
    site.handle(RunEvent::RequestDropped {
        request: RequestId(1),
    });
    let cancellation = Cancellation {
        batches: vec![1],
        tasks: Vec::new(),
    };
    assert_eq!(site.cancellations, [(FIRST, cancellation)]);
}
