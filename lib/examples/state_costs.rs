//! Prints the memory used by each kind of state at three sizes, and the control traffic of one
//! instance.
//!
//! Memory is measured as the growth of the process's resident set, so run it in release mode and on
//! its own:
//! `cargo run --release -p almondhead-lib --example state_costs`.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::action::Action;
use almondhead_lib::check::check_document;
use almondhead_lib::dispatcher::Dispatcher;
use almondhead_lib::dispatcher::DispatcherConfig;
use almondhead_lib::dispatcher::DispatcherLimits;
use almondhead_lib::document::Document;
use almondhead_lib::event::Event;
use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::id::JobAddress;
use almondhead_lib::id::RequestId;
use almondhead_lib::membership::Membership;
use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_envelope::EnvelopeSealer;
use almondhead_lib::submission::Needs;
use almondhead_lib::submission::Submission;
use almondhead_lib::time::Timestamp;
use almondhead_testsupport::core_fakes::DOCUMENT;
use bytes::Bytes;

const PAGE_BYTES: u64 = 4_096;

/// The size of a task's input.
const INPUT_BYTES: usize = 200;

/// The simulated time over which control traffic is counted.
const TRAFFIC_SECONDS: u64 = 10;

fn main() {
    print_memory_per_item("session", &[10_000, 20_000, 40_000], |count| {
        let mut dispatcher = dispatcher(count, 3, 1);
        resident_growth(|| {
            for _ in 0..count {
                let session = dispatcher.open_session(Timestamp::from_us(2));
                session.expect("the dispatcher opens a session");
            }
            dispatcher
        })
    });
    for tasks in [1, 17, 480] {
        let counts = [9_600 / tasks, 19_200 / tasks, 38_400 / tasks];
        let name = format!("queued job of {tasks} tasks, {INPUT_BYTES} bytes each");
        print_memory_per_item(&name, &counts, |count| queued_jobs_growth(count, tasks));
    }
    print_memory_per_item("upstream", &[350, 700, 1_400], |count| {
        resident_growth(|| dispatcher(1, count, 1))
    });
    print_memory_per_item("team", &[18, 36, 72], |count| {
        resident_growth(|| dispatcher(1, 3, count))
    });
    for siblings in [6, 50, 199] {
        print_control_traffic(siblings);
    }
}

/// Prints the memory at each count, and the memory per item between the smallest and the largest.
fn print_memory_per_item(name: &str, counts: &[usize], measure: impl Fn(usize) -> u64) {
    let bytes: Vec<u64> = counts.iter().map(|count| measure(*count)).collect();
    let grown = bytes[bytes.len() - 1].saturating_sub(bytes[0]);
    let more = counts[counts.len() - 1] - counts[0];
    let each = grown / more as u64;
    println!("{name}: {counts:?} take {bytes:?} bytes, {each} bytes each");
}

/// Returns the growth of the resident set in bytes while `make` runs.
///
/// The value that it returns is never freed, so that later measurements cannot reuse its memory.
fn resident_growth<T>(make: impl FnOnce() -> T) -> u64 {
    let before = resident_bytes();
    let value = make();
    let after = resident_bytes();
    std::mem::forget(value);
    after.saturating_sub(before)
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("read /proc/self/statm");
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

fn dispatcher(sessions: usize, upstreams: usize, teams: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherConfig {
        instance: Arc::from("a"),
        data_centre: Arc::from("east"),
        incarnation: Incarnation(1),
        seed: 1,
        limits: DispatcherLimits {
            sessions,
            ..DispatcherLimits::default()
        },
    });
    let document = Arc::new(document(upstreams, teams));
    let installed = Event::DocumentInstalled {
        revision: 1,
        document,
        text: Bytes::new(),
    };
    dispatcher.handle(Timestamp::from_us(1), installed, &mut Vec::new());
    dispatcher
}

fn document(upstreams: usize, teams: usize) -> Document {
    let mut document = check_document(DOCUMENT).expect("the document is valid");
    let upstream = document.upstreams[0].clone();
    let mut team = document.teams[0].clone();
    team.max_open_tasks = u32::MAX;
    team.max_tasks_per_second = u32::MAX;
    document.policies.max_queued_tasks = u32::MAX;
    document.upstreams = vec![upstream; upstreams];
    for (index, upstream) in document.upstreams.iter_mut().enumerate() {
        upstream.name = format!("upstream-{index}");
    }
    document.teams = vec![team; teams];
    for (index, team) in document.teams.iter_mut().enumerate().skip(1) {
        team.name = format!("team-{index}");
    }
    document.policies.admission = almondhead_lib::policies::AdmissionPolicy::QueueLength;
    document
}

/// Returns the growth of the resident set in bytes by `count` queued jobs, including their inputs.
fn queued_jobs_growth(count: usize, tasks: usize) -> u64 {
    let mut dispatcher = dispatcher(1, 1, 1);
    resident_growth(|| {
        for request in 0..count {
            let inputs = (0..tasks).map(|_| Bytes::from(vec![b'x'; INPUT_BYTES]));
            let submission = Submission {
                service: Arc::from("lookup"),
                team: Arc::from("sales"),
                timeout: None,
                idempotent: false,
                needs: Needs::default(),
                declared_run_time: None,
                inputs: inputs.collect(),
                traceparent: None,
            };
            let submitted = Event::Submitted {
                request: RequestId(request as u64),
                address: JobAddress::Single,
                submission: Arc::new(submission),
            };
            dispatcher.handle(Timestamp::from_us(2), submitted, &mut Vec::new());
        }
        assert_eq!(dispatcher.status().open_jobs, count);
        dispatcher
    })
}

/// Prints the rate of the digests that one idle instance sends to its siblings.
fn print_control_traffic(siblings: usize) {
    let mut dispatcher = dispatcher(1, 7, 1);
    let listed = (0..siblings).map(|index| Sibling {
        name: Arc::from(format!("sibling-{index}")),
        data_centre: Arc::from("east"),
        peer_address: "127.0.0.1:1".parse().expect("the address is valid"),
        incarnation: None,
        leaving: false,
    });
    let membership = Membership {
        siblings: listed.collect(),
        ..Membership::default()
    };
    let mut actions = Vec::new();
    let changed = Event::MembershipChanged(membership);
    dispatcher.handle(Timestamp::from_us(2), changed, &mut actions);
    actions.clear();
    let sealer = EnvelopeSealer::new(&[7; 32]);
    let sender = PeerIdentity {
        instance: Arc::from("an-entry-instance"),
        incarnation: Incarnation(u64::MAX),
    };
    let (mut messages, mut bytes) = (0, 0);
    let end = Timestamp::from_us(2) + Duration::from_secs(TRAFFIC_SECONDS);
    while let Some(due) = dispatcher.next_wakeup().filter(|due| *due <= end) {
        dispatcher.handle(due, Event::Tick, &mut actions);
        for action in actions.drain(..) {
            if let Action::SendPeer { message, .. } = action {
                let envelope = Envelope {
                    sender: sender.clone(),
                    message,
                };
                let sealed = sealer.seal(&envelope);
                let sealed = sealed.expect("the message fits an envelope");
                messages += 1;
                bytes += sealed.len() as u64;
            }
        }
    }
    println!(
        "digests with {siblings} siblings, idle: {} messages/s, {} bytes/s",
        messages / TRAFFIC_SECONDS,
        bytes / TRAFFIC_SECONDS
    );
}
