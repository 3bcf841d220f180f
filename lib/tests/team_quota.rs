//! The limits of a team's quota and the retry times of its refusals.

use std::time::Duration;

use almondhead_lib::quota::TeamQuota;
use almondhead_lib::time::Timestamp;

/// A job submitted to a quota of 1,000 open tasks and 100 tasks per second.
#[derive(Debug)]
struct SubmittedJob {
    at_ms: u64,
    tasks: u32,
    /// The refusal's retry time; `None` when the job is admitted.
    retry_after_ms: Option<u64>,
}

const fn admitted(at_ms: u64, tasks: u32) -> SubmittedJob {
    SubmittedJob {
        at_ms,
        tasks,
        retry_after_ms: None,
    }
}

const fn refused(at_ms: u64, tasks: u32, retry_after_ms: u64) -> SubmittedJob {
    SubmittedJob {
        at_ms,
        tasks,
        retry_after_ms: Some(retry_after_ms),
    }
}

#[test]
fn rate_limit_and_its_retry_times_are_exact() {
    let cases: [&[SubmittedJob]; 4] = [
        &[admitted(0, 100), refused(0, 1, 10), admitted(10, 1)],
        &[
            admitted(0, 60),
            refused(0, 60, 200),
            refused(199, 60, 1),
            admitted(200, 60),
        ],
        // A job of 480 tasks takes the bucket to -380; it is full again after 4.8 s.
        &[
            admitted(0, 480),
            refused(0, 1, 3_810),
            refused(0, 480, 4_800),
            admitted(4_800, 480),
        ],
        &[admitted(0, 50), refused(0, 480, 500), admitted(500, 480)],
    ];
    for jobs in cases {
        let mut quota = TeamQuota::new(1_000, 100);
        for job in jobs {
            let now = Timestamp::from_us(job.at_ms * 1_000);
            let refusal = quota.admit(now, job.tasks).err();
            let retry_after = refusal.map(|refusal| refusal.retry_after);
            let expected = job.retry_after_ms.map(Duration::from_millis);
            assert_eq!(retry_after, expected, "{job:?}");
        }
    }
}

#[test]
fn open_tasks_are_bounded() {
    let mut quota = TeamQuota::new(10, 1_000_000);
    assert!(quota.admit(Timestamp::ZERO, 10).is_ok());
    let refusal = quota.admit(Timestamp::ZERO, 1).unwrap_err();
    assert!(refusal.retry_after > Duration::ZERO);
    quota.on_task_ended(1);
    assert!(quota.admit(Timestamp::ZERO, 1).is_ok());
    assert_eq!(quota.open_tasks(), 10);
}

#[test]
fn retry_time_for_open_tasks_follows_their_end_rate() {
    let mut quota = TeamQuota::new(100, 1_000_000);
    assert!(quota.admit(Timestamp::ZERO, 100).is_ok());
    quota.on_task_ended(20);
    let refusal = quota.admit(Timestamp::from_us(1_000_000), 30).unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_millis(500));
}

#[test]
fn a_job_above_the_limit_is_admitted_alone() {
    let mut quota = TeamQuota::new(10, 1_000_000);
    assert!(quota.admit(Timestamp::ZERO, 1).is_ok());
    assert!(quota.admit(Timestamp::ZERO, 20).is_err());
    quota.on_task_ended(1);
    assert!(quota.admit(Timestamp::ZERO, 20).is_ok());
    assert!(quota.admit(Timestamp::ZERO, 1).is_err());
}

#[test]
fn new_limits_keep_usage() {
    let mut quota = TeamQuota::new(10, 10);
    assert!(quota.admit(Timestamp::ZERO, 10).is_ok());
    quota.set_limits(20, 1_000);
    assert_eq!(quota.open_tasks(), 10);
    let refusal = quota.admit(Timestamp::ZERO, 1).unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_millis(1));
    quota.set_limits(20, 0);
    assert!(quota.admit(Timestamp::from_us(5_000_000), 1).is_err());
}
