//! Runs that the new owner of an upstream found there and that homes claim.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::runs::delegation::report::Delegator;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::listed_upstream::ListedUpstream;
use almondhead_lib::runs::listed_upstream::ListingChange;
use almondhead_lib::runs::listed_upstream::ListingRead;
use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_lib::runs::resources::Resources;
use almondhead_lib::runs::roster::Member;
use almondhead_lib::runs::roster::Roster;
use almondhead_lib::runs::run_action::RunAction;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_id::JobId;
use almondhead_lib::runs::run_id::RunId;
use almondhead_lib::runs::run_id::TaskName;
use almondhead_lib::runs::run_message::Cancellation;
use almondhead_lib::runs::run_message::PlacedTask;
use almondhead_lib::runs::run_message::RunBatch;
use almondhead_lib::runs::run_message::RunEnd;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_lib::runs::run_message::StepDemand;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::runs::run_order::OrderAnswer;
use almondhead_lib::runs::run_order::RenewReport;
use almondhead_lib::runs::run_order::RunOrder;
use almondhead_lib::runs::run_order::RunningRow;
use almondhead_lib::runs::run_settings::RunLimits;
use almondhead_lib::runs::run_settings::RunSettings;
use almondhead_lib::time::Timestamp;

const UPSTREAM: &str = "up-0";
const OWNER: (&str, Incarnation) = ("entry-a", Incarnation(1));
const HOME: (&str, Incarnation) = ("entry-b", Incarnation(2));
const OTHER_HOME: (&str, Incarnation) = ("entry-c", Incarnation(3));

const SMALL: Resources = Resources {
    cpu_millicores: 500,
    memory_mb: 64,
    accelerators: 0,
};

#[derive(Debug)]
struct NoDecoder;

impl IntendedDecoder for NoDecoder {
    fn decode(&self, _: &[u8]) -> Option<IntendedState> {
        None
    }
}

fn member((name, incarnation): (&str, Incarnation), data_centre: &str) -> Member {
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

fn listed() -> ListingChange {
    let upstream = ListedUpstream {
        id: Arc::from(UPSTREAM),
        service: Arc::from("work"),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000)),
        data_centre: Arc::from("a"),
        draining: false,
        capacity: Resources {
            cpu_millicores: 16_000,
            memory_mb: 65_536,
            accelerators: 0,
        },
        labels: Vec::new(),
        born_unix_ms: Some(1),
    };
    ListingChange {
        id: Arc::from(UPSTREAM),
        version: 1,
        upstream: Some(Arc::new(upstream)),
    }
}

fn run() -> RunId {
    RunId {
        task: TaskName {
            job: JobId::parse("00000000000000aa").expect("a job id"),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run_number: 1,
    }
}

/// A new owner that has found the run on its upstream.
struct Owner {
    dispatcher: RunDispatcher,
    now: Timestamp,
}

impl Owner {
    fn with_found_run() -> Self {
        Self::with_found_run_after(Duration::from_secs(1))
    }

    /// The same, by a process that started this long ago.
    fn with_found_run_after(uptime: Duration) -> Self {
        let settings = RunSettings {
            instance: Arc::from(OWNER.0),
            data_centre: Arc::from("a"),
            incarnation: OWNER.1,
            overload: OverloadPolicy::ByArrival,
            limits: RunLimits::default(),
        };
        let mut owner = Owner {
            dispatcher: RunDispatcher::new(settings, Box::new(NoDecoder)),
            now: Timestamp::ZERO + uptime,
        };
        let members = vec![
            member(OWNER, "a"),
            member(HOME, "b"),
            member(OTHER_HOME, "b"),
        ];
        owner.handle(RunEvent::StoreRegained);
        owner.handle(RunEvent::RosterRead(Roster {
            version: 1,
            members,
        }));
        let actions = owner.handle(RunEvent::ListingRead(ListingRead {
            all_ids: Some(vec![Arc::from(UPSTREAM)]),
            version: 1,
            changes: vec![listed()],
            as_of: Some(owner.now),
        }));
        let renew = actions.into_iter().find_map(|action| match action {
            RunAction::Order {
                order,
                addressed_order,
            } if matches!(addressed_order.order, RunOrder::Renew { .. }) => Some(order),
            _ => None,
        });
        let report = RenewReport {
            clock_ms: 5_000,
            born_unix_ms: Some(1),
            running: vec![RunningRow {
                run: run(),
                percent: 10,
            }],
            ended: Vec::new(),
        };
        let actions = owner.handle(RunEvent::OrderAnswered {
            order: renew.expect("an order to the upstream"),
            answer: OrderAnswer::Renewed(report),
        });
        let is_found = |action: &RunAction| match action {
            RunAction::SendPeer { message, .. } => {
                matches!(message.message, RunMessage::Found { .. })
            }
            _ => false,
        };
        assert!(actions.iter().any(is_found), "the run was not announced");
        owner
    }

    fn handle(&mut self, event: RunEvent) -> Vec<RunAction> {
        self.now = self.now + Duration::from_millis(1);
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    /// Handles a message that was in flight for a millisecond; returns the ends that it reports.
    fn receive(
        &mut self,
        (instance, incarnation): (&str, Incarnation),
        message: RunMessage,
    ) -> Vec<RunEnd> {
        let sender = PeerIdentity {
            instance: Arc::from(instance),
            incarnation,
        };
        let message = Box::new(TimedRunMessage {
            receiver: OWNER.1,
            sent_at: self.now,
            echo: Some(self.now),
            input_age: Duration::ZERO,
            message,
        });
        let actions = self.handle(RunEvent::PeerMessage { sender, message });
        let ends = actions.into_iter().filter_map(|action| match action {
            RunAction::SendPeer { message, .. } => match message.message {
                RunMessage::Ends(ends) => Some(ends.ends),
                _ => None,
            },
            _ => None,
        });
        ends.flatten().map(|ended| ended.end).collect()
    }

    fn receive_claim(&mut self, home: (&str, Incarnation), number: u64) -> Vec<RunEnd> {
        self.receive_delegated_claim(home, number, None)
    }

    fn receive_delegated_claim(
        &mut self,
        home: (&str, Incarnation),
        number: u64,
        delegated_by: Option<Delegator>,
    ) -> Vec<RunEnd> {
        let batch = RunBatch {
            number,
            job: run().task.job,
            service: Arc::from("work"),
            payload: Arc::from("spec"),
            priority: 0,
            objective_left_us: 1_000_000,
            deadline_left: Duration::from_secs(5),
            demands: vec![StepDemand {
                step: 0,
                resources: SMALL,
                expected_run_time: Duration::from_millis(500),
                declared_run_time: Duration::from_millis(500),
                required_label: None,
                data_rack: None,
                max_tasks_per_upstream: None,
            }],
            tasks: vec![PlacedTask {
                step: 0,
                index: 0,
                run_number: 1,
                known_run_time: None,
                avoid: Vec::new(),
                is_alone: false,
            }],
            has_begun: true,
            queue: Arc::from("look"),
            delegated_by,
        };
        let upstream = Arc::from(UPSTREAM);
        self.receive(home, RunMessage::Adopt { upstream, batch })
    }
}

fn taken_over() -> RunEnd {
    RunEnd::TakenOver {
        upstream: Arc::from(UPSTREAM),
    }
}

/// Guards against a home that is told that its run is lost, and retries the task, while the run goes on
/// for another home of the same job.
#[test]
fn run_that_another_home_has_claimed_is_not_lost() {
    let mut owner = Owner::with_found_run();
    assert_eq!(owner.receive_claim(HOME, 1), []);
    assert_eq!(owner.receive_claim(OTHER_HOME, 1), [taken_over()]);
}

/// Guards against a home that is told that its run is lost, and retries the task, before the run has
/// stopped.
#[test]
fn claimed_run_that_is_being_stopped_is_not_lost_yet() {
    let mut owner = Owner::with_found_run();
    assert_eq!(owner.receive_claim(HOME, 1), []);
    let cancel = RunMessage::Cancel(Cancellation {
        batches: vec![1],
        tasks: Vec::new(),
    });
    assert_eq!(owner.receive(HOME, cancel), []);
    assert_eq!(owner.receive_claim(HOME, 2), [taken_over()]);
}

/// Guards against a word of a delegating instance that is older than the owner's process and counts as as
/// recent as that: the lease of the run would outlast the caller's pause.
#[test]
fn claim_counts_by_a_word_from_before_the_process_started() {
    for (age_ms, ends) in [(100, vec![]), (300, vec![taken_over()])] {
        let mut owner = Owner::with_found_run_after(Duration::from_millis(20));
        let delegator = Delegator {
            incarnation: Incarnation(9),
            age: Duration::from_millis(age_ms),
        };
        let claimed = owner.receive_delegated_claim(HOME, 1, Some(delegator));
        assert_eq!(claimed, ends, "a word of {age_ms} ms before");
    }
}
