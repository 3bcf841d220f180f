//! Quotas of teams.

use std::time::Duration;

use almondhead_lib::quota::TeamQuota;
use almondhead_lib::time::Timestamp;

/// A job offered to a quota of 1,000 open tasks and 100 tasks a second.
#[derive(Debug)]
struct Offer {
    at_ms: u64,
    tasks: u32,
    /// When the refusal says to come back, none when the job is admitted.
    retry_after_ms: Option<u64>,
}

const fn taken(at_ms: u64, tasks: u32) -> Offer {
    Offer {
        at_ms,
        tasks,
        retry_after_ms: None,
    }
}

const fn refused(at_ms: u64, tasks: u32, retry_after_ms: u64) -> Offer {
    Offer {
        at_ms,
        tasks,
        retry_after_ms: Some(retry_after_ms),
    }
}

#[test]
fn rate_is_bounded_exactly() {
    let cases: [&[Offer]; 4] = [
        &[taken(0, 100), refused(0, 1, 10), taken(10, 1)],
        &[
            taken(0, 60),
            refused(0, 60, 200),
            refused(199, 60, 1),
            taken(200, 60),
        ],
        // A job of 480 tasks takes the bucket to -380, which 480 tasks of time fill again.
        &[
            taken(0, 480),
            refused(0, 1, 3_810),
            refused(0, 480, 4_800),
            taken(4_800, 480),
        ],
        &[taken(0, 50), refused(0, 480, 500), taken(500, 480)],
    ];
    for offers in cases {
        let mut quota = TeamQuota::new(1_000, 100);
        for offer in offers {
            let now = Timestamp::from_us(offer.at_ms * 1_000);
            let refusal = quota.admit(now, offer.tasks).err();
            let retry_after = refusal.map(|refusal| refusal.retry_after);
            let expected = offer.retry_after_ms.map(Duration::from_millis);
            assert_eq!(retry_after, expected, "{offer:?}");
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
fn wait_for_open_tasks_follows_their_ends() {
    let mut quota = TeamQuota::new(100, 1_000_000);
    assert!(quota.admit(Timestamp::ZERO, 100).is_ok());
    quota.on_task_ended(20);
    let refusal = quota.admit(Timestamp::from_us(1_000_000), 30).unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_millis(500));
}

#[test]
fn a_job_above_the_bound_runs_alone() {
    let mut quota = TeamQuota::new(10, 1_000_000);
    assert!(quota.admit(Timestamp::ZERO, 1).is_ok());
    assert!(quota.admit(Timestamp::ZERO, 20).is_err());
    quota.on_task_ended(1);
    assert!(quota.admit(Timestamp::ZERO, 20).is_ok());
    assert!(quota.admit(Timestamp::ZERO, 1).is_err());
}

#[test]
fn new_bounds_keep_what_is_used() {
    let mut quota = TeamQuota::new(10, 10);
    assert!(quota.admit(Timestamp::ZERO, 10).is_ok());
    quota.set_bounds(20, 1_000);
    assert_eq!(quota.open_tasks(), 10);
    let refusal = quota.admit(Timestamp::ZERO, 1).unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_millis(1));
    quota.set_bounds(20, 0);
    assert!(quota.admit(Timestamp::from_us(5_000_000), 1).is_err());
}
