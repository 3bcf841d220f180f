//! The wire form of delegated jobs, their answers and their withdrawals.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::id::Incarnation;
use almondhead_lib::runs::delegation::message::DelegatedJob;
use almondhead_lib::runs::delegation::message::DelegationOutcome;
use almondhead_lib::runs::delegation::report::DelegationReport;
use almondhead_lib::runs::delegation::report::Delegator;
use almondhead_lib::runs::job_spec::StepSpec;
use almondhead_lib::runs::run_answer::GivenUp;
use almondhead_lib::runs::run_answer::JobEnd;
use almondhead_lib::runs::run_answer::NotRun;
use almondhead_lib::runs::run_digest::RunDigest;
use almondhead_lib::runs::run_id::JobId;
use almondhead_lib::runs::run_message::PeerReport;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_testsupport::round_trip::assert_arrives_as_sent;
use almondhead_testsupport::run_site::run_job;

#[test]
fn delegated_job_arrives_as_it_was_sent() {
    let mut spec = run_job(8, 6_800, 51);
    spec.steps.push(StepSpec {
        tasks: 1,
        after: vec![0],
        required_label: Some(Arc::from("kind-a")),
        data_rack: Some(Arc::from("rack-3")),
        max_tasks_per_upstream: Some(2),
        ..StepSpec::default()
    });
    assert_arrives_as_sent(RunMessage::Delegate(DelegatedJob {
        number: 12,
        job: JobId::parse("00000000000000aa").expect("a job id"),
        queue: Arc::from("look"),
        service: Arc::from("work"),
        wait: Duration::from_millis(1_499),
        spec: Arc::new(spec),
    }));
    assert_arrives_as_sent(RunMessage::WithdrawDelegated { number: 12 });
}

#[test]
fn every_outcome_arrives_as_it_was_sent() {
    let not_run = [
        NotRun::NoIntendedState,
        NotRun::NeedsNoUpstreamHas,
        NotRun::NoUpstreamInReach,
        NotRun::Overloaded,
        NotRun::WaitedTooLong,
        NotRun::QueueSuspended,
        NotRun::TooManyJobs,
        NotRun::Stopping,
    ];
    let not_run = not_run.map(|reason| DelegationOutcome::NotRun {
        reason,
        retry_after: Some(Duration::from_secs(1)),
    });
    let ends = [JobEnd::Completed, JobEnd::Failed, JobEnd::Cancelled];
    let given_up = [
        GivenUp::Deadline,
        GivenUp::OwnerLost,
        GivenUp::Cancelled,
        GivenUp::Stopping,
        GivenUp::HomeLost,
        GivenUp::RunsLost,
    ];
    let mut outcomes = vec![DelegationOutcome::Declined];
    outcomes.extend(not_run);
    outcomes.extend(ends.map(DelegationOutcome::Ended));
    outcomes.extend(given_up.map(DelegationOutcome::GivenUp));
    for outcome in outcomes {
        let number = 1 << 40;
        assert_arrives_as_sent(RunMessage::Delegated { number, outcome });
    }
}

#[test]
fn report_names_the_delegated_jobs() {
    assert_arrives_as_sent(RunMessage::Report(PeerReport {
        digest: RunDigest::default(),
        held: vec![1],
        highest_taken: 2,
        open: vec![3],
        highest_sent: 4,
        delegation: DelegationReport {
            held: vec![5, 6],
            highest_taken: 7,
            open: vec![8, 9],
            highest_sent: 10,
            delegators: vec![Delegator {
                incarnation: Incarnation(1 << 63),
                age: Duration::from_millis(150),
            }],
        },
    }));
}
