//! Processor time of the dispatcher for a job from submission to answer, by the number of tasks and
//! of upstreams.

#![allow(missing_docs)]

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::action::Action;
use almondhead_lib::dispatcher::Dispatcher;
use almondhead_lib::dispatcher::DispatcherConfig;
use almondhead_lib::dispatcher::DispatcherLimits;
use almondhead_lib::document::Document;
use almondhead_lib::event::Event;
use almondhead_lib::id::Incarnation;
use almondhead_lib::id::JobAddress;
use almondhead_lib::id::RequestId;
use almondhead_lib::outcome::AttemptEnd;
use almondhead_lib::submission::Needs;
use almondhead_lib::submission::Submission;
use almondhead_lib::time::Timestamp;
use almondhead_lib::upstream::Upstream;
use almondhead_testsupport::core_fakes::DOCUMENT;
use bytes::Bytes;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;

const JOB_TASKS: [usize; 3] = [1, 17, 480];

const UPSTREAMS: [usize; 3] = [7, 50, 350];

/// A dispatcher without siblings, and the time and number of its latest event and request.
struct Bench {
    dispatcher: Dispatcher,
    now: Timestamp,
    request: u64,
}

impl Bench {
    /// Returns a dispatcher whose document lists `upstreams` upstreams of eight slots.
    fn new(upstreams: usize) -> Self {
        let mut dispatcher = Dispatcher::new(DispatcherConfig {
            instance: Arc::from("a"),
            data_centre: Arc::from("east"),
            incarnation: Incarnation(1),
            seed: 1,
            limits: DispatcherLimits::default(),
        });
        let document = document(upstreams);
        let now = Timestamp::from_us(1);
        let installed = Event::DocumentInstalled {
            revision: 1,
            document: Arc::new(document),
            text: Bytes::new(),
        };
        dispatcher.handle(now, installed, &mut Vec::new());
        Bench {
            dispatcher,
            now,
            request: 0,
        }
    }

    /// Runs one job whose tasks all finish; returns the number of events handled.
    fn run_job(&mut self, tasks: usize) -> usize {
        let mut actions = Vec::new();
        let mut open = Vec::new();
        let mut events = 1;
        self.request += 1;
        let submitted = Event::Submitted {
            request: RequestId(self.request),
            address: JobAddress::Single,
            submission: Arc::new(submission(tasks)),
        };
        self.handle(submitted, &mut actions);
        loop {
            for action in actions.drain(..) {
                if let Action::StartAttempt(attempt) = action {
                    open.push(attempt.attempt);
                }
            }
            let Some(attempt) = open.pop() else {
                return events;
            };
            let body = Bytes::from_static(b"{}");
            let end = AttemptEnd::Finished { body };
            self.handle(Event::AttemptEnded { attempt, end }, &mut actions);
            events += 1;
        }
    }

    fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now + Duration::from_millis(1);
        self.dispatcher.handle(self.now, event, actions);
    }
}

fn document(upstreams: usize) -> Document {
    let parsed = almondhead_lib::check::check_document(DOCUMENT);
    let mut document = parsed.expect("the document is valid");
    let template = document.upstreams[0].clone();
    let copies = (0..upstreams).map(|index| Upstream {
        name: format!("u{index}"),
        slots: 8,
        ..template.clone()
    });
    document.upstreams = copies.collect();
    document.teams[0].max_open_tasks = u32::MAX;
    document.teams[0].max_tasks_per_second = u32::MAX;
    document
}

fn submission(tasks: usize) -> Submission {
    Submission {
        service: Arc::from("lookup"),
        team: Arc::from("sales"),
        timeout: None,
        idempotent: false,
        needs: Needs::default(),
        declared_run_time: None,
        inputs: vec![Bytes::from_static(b"{\"run_ms\":1}"); tasks],
        traceparent: None,
    }
}

fn by_job_size(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dispatcher/job_tasks");
    for tasks in JOB_TASKS {
        let mut bench = Bench::new(UPSTREAMS[0]);
        group.throughput(Throughput::Elements(tasks as u64));
        group.bench_function(BenchmarkId::from_parameter(tasks), |bencher| {
            bencher.iter(|| black_box(bench.run_job(tasks)));
        });
    }
    group.finish();
}

fn by_upstreams(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dispatcher/upstreams");
    for upstreams in UPSTREAMS {
        let mut bench = Bench::new(upstreams);
        group.throughput(Throughput::Elements(17));
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| black_box(bench.run_job(17)));
        });
    }
    group.finish();
}

criterion_group!(benches, by_job_size, by_upstreams);
criterion_main!(benches);
