//! The texts that logs contain for messages between instances, by which they can be searched.

use std::sync::Arc;

use almondhead_lib::runs::run_id::JobId;
use almondhead_lib::runs::run_id::RunId;
use almondhead_lib::runs::run_id::TaskName;
use almondhead_lib::runs::run_message::FoundEnd;
use almondhead_lib::runs::run_message::RunMessage;

const JOB: &str = "00000000000000ab";

fn job() -> JobId {
    JobId::parse(JOB).expect("16 hexadecimal digits")
}

#[test]
fn found_runs_are_counted_and_not_spelled_out() {
    let run = RunId {
        task: TaskName {
            job: job(),
            occurrence: 0,
            step: 0,
            index: 1,
        },
        run_number: 1,
    };
    let end = FoundEnd {
        run,
        done: true,
        failed: false,
    };
    let found = RunMessage::Found {
        fence: 7,
        upstream: Arc::from("i-1"),
        running: vec![run],
        ended: vec![end; 300],
    };
    assert_eq!(found.to_string(), "1 runs and 300 ends found on i-1");
}

#[test]
fn job_is_named_as_its_caller_names_it() {
    let cancelled = RunMessage::CancelJob { job: job() };
    assert_eq!(cancelled.to_string(), format!("job {JOB} cancelled"));
}
