//! Guarantees for jobs under random events with lost and duplicate messages, delays and restarts.

use std::time::Duration;

use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::TableEnd;
use almondhead_testsupport::core_fakes::UpstreamEnd;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

const SEED: u64 = 20_261_203;
const CASES: u64 = 4_000;
const STEPS: usize = 200;

/// A time after which no answer is kept any more.
const AFTER_RETENTION: Duration = Duration::from_secs(61);

/// A random step; its choices are taken modulo the number of options.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    instance: u8,
    pick: u16,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Step {
            kind: u8::arbitrary(g),
            instance: u8::arbitrary(g),
            pick: u16::arbitrary(g),
        }
    }
}

fn pick<T>(items: &[T], step: Step) -> Option<usize> {
    (!items.is_empty()).then(|| usize::from(step.pick) % items.len())
}

fn apply_step(fakes: &mut CoreFakes, step: Step) {
    let instance = usize::from(step.instance) % fakes.dispatchers.len();
    let tasks = 1 + usize::from(step.pick) % 12;
    let message = pick(&fakes.messages, step);
    let attempt = pick(&fakes.attempts, step);
    let claim = pick(&fakes.claims, step);
    let job = pick(&fakes.jobs, step);
    match (step.kind % 32, message, attempt, claim, job) {
        (0 | 1, ..) => drop(fakes.submit_in_session(instance, tasks)),
        (2 | 3, ..) => drop(fakes.submit_by_key(instance, tasks)),
        (4..=6, .., Some(job)) => fakes.submit_again(job, instance),
        (7, .., Some(job)) => fakes.cancel(job, instance),
        (8..=15, Some(message), ..) => fakes.deliver(message, false),
        (16, Some(message), ..) => fakes.deliver(message, true),
        (17, Some(message), ..) => drop(fakes.messages.remove(message)),
        (18..=21, _, Some(attempt), ..) => fakes.end_attempt(attempt, UpstreamEnd::Finish),
        (22, _, Some(attempt), ..) => fakes.end_attempt(attempt, UpstreamEnd::Fail),
        (23, _, Some(attempt), ..) => fakes.end_attempt(attempt, UpstreamEnd::Refuse),
        (24, _, Some(attempt), ..) => fakes.end_attempt(attempt, UpstreamEnd::Lose),
        (25 | 26, _, _, Some(claim), _) => fakes.end_claim(claim, TableEnd::Answer),
        (27, _, _, Some(claim), _) => fakes.end_claim(claim, TableEnd::ApplyAndLose),
        (28, _, _, Some(claim), _) => fakes.end_claim(claim, TableEnd::Unavailable),
        (29, ..) => fakes.advance(Duration::from_millis(u64::from(step.pick) % 3_000)),
        (30, ..) => fakes.advance(Duration::from_millis(u64::from(step.pick) % 200)),
        (31, ..) if step.pick.is_multiple_of(4) => fakes.restart(instance),
        (31, ..) if step.pick.is_multiple_of(3) => fakes.advance(AFTER_RETENTION),
        (31, ..) => fakes.skip_numbers(instance, u64::from(step.pick) % 16),
        _ => {}
    }
}

fn guarantees_hold(steps: Vec<Step>) -> TestResult {
    let mut fakes = CoreFakes::new();
    for step in steps {
        apply_step(&mut fakes, step);
        let broken = fakes.guarantee_violations();
        if !broken.is_empty() {
            return TestResult::error(broken);
        }
    }
    TestResult::passed()
}

#[test]
fn random_events_keep_guarantees() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(CASES)
        .quickcheck(guarantees_hold as fn(Vec<Step>) -> TestResult);
}

/// Checks that the random events cause all kinds of messages and answers.
#[test]
fn random_events_cover_all_messages() {
    let mut g = Gen::from_size_and_seed(STEPS, SEED);
    let mut counts = Vec::new();
    let mut answers = [0; 3];
    for _ in 0..100 {
        let mut fakes = CoreFakes::new();
        for step in Vec::<Step>::arbitrary(&mut g) {
            apply_step(&mut fakes, step);
        }
        counts.extend(fakes.dispatchers.iter().map(|d| d.status().messages));
        for job in &fakes.jobs {
            answers[0] += job.complete_answers;
            answers[1] += job.failed_answers;
            answers[2] += job.not_run_answers;
        }
    }
    assert!(counts.iter().any(|count| count.batches > 0));
    assert!(counts.iter().any(|count| count.batch_answers > 0));
    assert!(counts.iter().any(|count| count.forwards > 0));
    assert!(counts.iter().any(|count| count.forward_answers > 0));
    assert!(counts.iter().any(|count| count.retries > 0));
    assert!(counts.iter().any(|count| count.cancels > 0));
    assert!(answers.iter().all(|count| *count > 0), "{answers:?}");
}

/// Without faults, every job is completed, whichever instances it is submitted to.
#[test]
fn jobs_complete_without_faults() {
    let mut fakes = CoreFakes::new();
    for instance in 0..3 {
        fakes.submit_in_session(instance, 20);
        let job = fakes.submit_by_key(instance, 5);
        fakes.submit_again(job, (instance + 1) % 3);
    }
    for _ in 0..1_000 {
        while !fakes.claims.is_empty() {
            fakes.end_claim(0, TableEnd::Answer);
        }
        fakes.advance(Duration::from_millis(10));
        fakes.deliver_all();
        if !fakes.attempts.is_empty() {
            fakes.end_attempt(0, UpstreamEnd::Finish);
        }
    }
    assert_eq!(fakes.guarantee_violations(), "");
    for job in &fakes.jobs {
        assert_eq!(job.open_requests, 0, "{:?}", job.address);
        assert_eq!(job.not_run_answers, 0, "{:?}", job.address);
    }
}
