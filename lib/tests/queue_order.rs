//! The order of each queue policy, fair shares of teams, and the backlog for admission.

use std::time::Duration;

use almondhead_lib::fair_queue::FairQueue;
use almondhead_lib::fair_queue::FairSettings;
use almondhead_lib::keys::JobKey;
use almondhead_lib::keys::TeamKey;
use almondhead_lib::policies::QueuePolicy;
use almondhead_lib::queue::JobQueue;
use almondhead_lib::queue::QueueEntry;
use almondhead_lib::queue::SCAN_LIMIT;
use almondhead_lib::queue::queue_for;
use almondhead_lib::time::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SlotMap;

const POLICIES: [QueuePolicy; 3] = [
    QueuePolicy::FairFewestRemaining,
    QueuePolicy::Fifo,
    QueuePolicy::EarliestDeadline,
];

struct Keys {
    jobs: SlotMap<JobKey, ()>,
    teams: SlotMap<TeamKey, ()>,
}

impl Keys {
    fn new() -> Self {
        Keys {
            jobs: SlotMap::with_key(),
            teams: SlotMap::with_key(),
        }
    }

    fn team(&mut self) -> TeamKey {
        self.teams.insert(())
    }

    fn entry(&mut self, team: TeamKey, remaining: u32, deadline_us: u64) -> QueueEntry {
        QueueEntry {
            job: self.jobs.insert(()),
            team,
            weight: 1,
            remaining,
            deadline: Timestamp::from_us(deadline_us),
        }
    }
}

fn any_job(_: JobKey) -> bool {
    true
}

fn without_ageing() -> FairQueue {
    FairQueue::new(FairSettings {
        oldest_interval_starts: 0,
        ..FairSettings::default()
    })
}

#[test]
fn each_policy_has_its_order() {
    // Remaining tasks and deadline of three jobs in order of arrival; each case has the index of
    // the job that starts first.
    let jobs = [(5, 900), (1, 700), (3, 500)];
    let cases = [
        (QueuePolicy::FairFewestRemaining, 1),
        (QueuePolicy::Fifo, 0),
        (QueuePolicy::EarliestDeadline, 2),
    ];
    for (policy, expected) in cases {
        let mut keys = Keys::new();
        let team = keys.team();
        let entries = jobs.map(|(remaining, deadline_us)| keys.entry(team, remaining, deadline_us));
        let mut queue = queue_for(policy);
        for (at_us, entry) in (0..).zip(entries) {
            queue.insert(Timestamp::from_us(at_us), entry);
        }
        let first = queue.next(Timestamp::from_us(10), &mut any_job);
        assert_eq!(first, Some(entries[expected].job), "{policy:?}");
    }
}

#[test]
fn update_reorders_a_job() {
    let mut keys = Keys::new();
    let team = keys.team();
    let large = keys.entry(team, 10, 1_000);
    let small = keys.entry(team, 5, 1_000);
    let mut queue = without_ageing();
    queue.insert(Timestamp::ZERO, large);
    queue.insert(Timestamp::ZERO, small);
    assert_eq!(queue.next(Timestamp::ZERO, &mut any_job), Some(small.job));
    queue.update(large.job, 4);
    assert_eq!(queue.next(Timestamp::ZERO, &mut any_job), Some(large.job));
}

#[test]
fn removed_jobs_are_gone() {
    for policy in POLICIES {
        let mut keys = Keys::new();
        let team = keys.team();
        let entry = keys.entry(team, 1, 1_000);
        let mut queue = queue_for(policy);
        queue.insert(Timestamp::ZERO, entry);
        queue.insert(Timestamp::ZERO, entry);
        assert_eq!(queue.job_count(), 1, "{policy:?}");
        queue.remove(entry.job);
        queue.remove(entry.job);
        queue.update(entry.job, 1);
        assert_eq!(queue.job_count(), 0, "{policy:?}");
        assert_eq!(
            queue.next(Timestamp::ZERO, &mut any_job),
            None,
            "{policy:?}"
        );
    }
}

#[test]
fn scan_is_bounded() {
    for policy in POLICIES {
        let mut keys = Keys::new();
        let team = keys.team();
        let mut queue = queue_for(policy);
        for _ in 0..10 * SCAN_LIMIT {
            let entry = keys.entry(team, 1, 1_000);
            queue.insert(Timestamp::ZERO, entry);
        }
        let mut offered = 0;
        let found = queue.next(Timestamp::ZERO, &mut |_| {
            offered += 1;
            false
        });
        assert_eq!(found, None, "{policy:?}");
        assert!(offered <= SCAN_LIMIT + 1, "{policy:?}: {offered}");
    }
}

#[test]
fn jobs_are_offered_in_order() {
    let mut keys = Keys::new();
    let mut queue = without_ageing();
    let mut expected = Vec::new();
    for number in 0..SCAN_LIMIT as u32 {
        let team = keys.team();
        let entry = keys.entry(team, number * 7 % 480 + 1, 1_000);
        queue.insert(Timestamp::ZERO, entry);
        expected.push((entry.remaining, entry.job));
    }
    expected.sort();
    let mut offered = Vec::new();
    queue.next(Timestamp::ZERO, &mut |job| {
        offered.push(job);
        false
    });
    let expected: Vec<JobKey> = expected.into_iter().map(|(_, job)| job).collect();
    assert_eq!(offered, expected[..offered.len()]);
    assert!(offered.len() >= SCAN_LIMIT - 1);
}

#[test]
fn a_job_that_does_not_fit_is_skipped() {
    for policy in POLICIES {
        let mut keys = Keys::new();
        let teams = [keys.team(), keys.team()];
        let first = keys.entry(teams[0], 1, 1_000);
        let second = keys.entry(teams[1], 2, 2_000);
        let mut queue = queue_for(policy);
        queue.insert(Timestamp::ZERO, first);
        queue.insert(Timestamp::ZERO, second);
        let found = queue.next(Timestamp::ZERO, &mut |job| job != first.job);
        assert_eq!(found, Some(second.job), "{policy:?}");
    }
}

/// A team with a job that never ends, and the minimum number of starts that it must get.
#[derive(Debug)]
struct BusyTeam {
    weight: u32,
    remaining: u32,
    min_starts: usize,
}

const fn busy_team(weight: u32, remaining: u32, min_starts: usize) -> BusyTeam {
    BusyTeam {
        weight,
        remaining,
        min_starts,
    }
}

fn starts_by_team(teams: &[BusyTeam], starts: usize) -> Vec<usize> {
    let mut keys = Keys::new();
    let mut queue = FairQueue::default();
    let mut entries = Vec::new();
    for busy_team in teams {
        let team = keys.team();
        let mut entry = keys.entry(team, busy_team.remaining, 1_000_000);
        entry.weight = busy_team.weight;
        queue.insert(Timestamp::ZERO, entry);
        entries.push(entry);
    }
    let mut counts = vec![0; teams.len()];
    for start in 0..starts {
        let now = Timestamp::from_us(start as u64 * 1_000);
        let job = queue.next(now, &mut any_job).expect("jobs wait");
        let index = entries.iter().position(|entry| entry.job == job);
        let index = index.expect("the job is one of ours");
        counts[index] += 1;
        let entry = entries[index];
        queue.charge(entry.team, entry.weight, Duration::from_millis(100));
    }
    counts
}

#[test]
fn teams_share_by_weight() {
    let cases: [&[BusyTeam]; 4] = [
        &[busy_team(1, 3, 2_950), busy_team(1, 3, 2_950)],
        &[busy_team(100, 9, 1_900), busy_team(200, 9, 3_900)],
        &[
            busy_team(1, 1, 900),
            busy_team(2, 1, 1_900),
            busy_team(3, 1, 2_900),
        ],
        &[busy_team(1, 1, 3_000), busy_team(1, 480, 2_500)],
    ];
    for teams in cases {
        let counts = starts_by_team(teams, 6_000);
        for (count, busy_team) in counts.iter().zip(teams) {
            assert!(*count >= busy_team.min_starts, "{teams:?}: {counts:?}");
        }
    }
}

#[test]
fn large_jobs_do_not_delay_small_jobs_of_their_team() {
    let mut keys = Keys::new();
    let teams = [keys.team(), keys.team()];
    let mut queue = without_ageing();
    let large = keys.entry(teams[0], 480, 1_000_000);
    queue.insert(Timestamp::ZERO, large);
    for _ in 0..100 {
        assert_eq!(queue.next(Timestamp::ZERO, &mut any_job), Some(large.job));
        queue.charge(teams[0], 1, Duration::from_millis(100));
    }
    let other = keys.entry(teams[1], 2, 1_000_000);
    let single = keys.entry(teams[0], 1, 1_000_000);
    queue.insert(Timestamp::ZERO, other);
    queue.insert(Timestamp::ZERO, single);
    assert_eq!(queue.next(Timestamp::ZERO, &mut any_job), Some(single.job));
}

#[test]
fn an_idle_team_saves_up_little_share() {
    let mut keys = Keys::new();
    let teams = [keys.team(), keys.team()];
    let mut queue = without_ageing();
    let busy = keys.entry(teams[0], 1, 1_000);
    let returning = keys.entry(teams[1], 1, 1_000);
    queue.insert(Timestamp::ZERO, busy);
    let mut returning_starts = 0;
    for start in 0..1_100 {
        if start == 1_000 {
            queue.insert(Timestamp::ZERO, returning);
        }
        let now = Timestamp::from_us(start * 100_000);
        let job = queue.next(now, &mut any_job);
        let is_returning = job == Some(returning.job);
        returning_starts += usize::from(is_returning);
        queue.charge(
            teams[usize::from(is_returning)],
            1,
            Duration::from_millis(100),
        );
    }
    assert!((45..=65).contains(&returning_starts), "{returning_starts}");
}

#[test]
fn no_job_starves() {
    let mut keys = Keys::new();
    let team = keys.team();
    let mut queue = FairQueue::default();
    let large = keys.entry(team, 480, 1_000_000);
    queue.insert(Timestamp::ZERO, large);
    let mut starts = 0;
    let mut left = 480;
    while left > 0 {
        let single = keys.entry(team, 1, 1_000_000);
        queue.insert(Timestamp::ZERO, single);
        let job = queue
            .next(Timestamp::ZERO, &mut any_job)
            .expect("jobs wait");
        starts += 1;
        if job == large.job {
            left -= 1;
        } else {
            queue.remove(job);
        }
        queue.charge(team, 1, Duration::from_millis(100));
        assert!(
            starts <= 480 * 17,
            "the large job still has {left} tasks left after {starts} starts"
        );
    }
}

#[test]
fn random_operations_keep_the_job_count() {
    let mut rng = StdRng::seed_from_u64(7);
    for policy in POLICIES {
        let mut keys = Keys::new();
        let teams: Vec<TeamKey> = (0..5).map(|_| keys.team()).collect();
        let mut queue = queue_for(policy);
        let mut held: Vec<QueueEntry> = Vec::new();
        for step in 0..5_000 {
            let now = Timestamp::from_us(step);
            match rng.random_range(0..4) {
                0 | 1 => {
                    let team = teams[rng.random_range(0..teams.len())];
                    let entry = keys.entry(team, rng.random_range(1..480), step + 1_000);
                    queue.insert(now, entry);
                    held.push(entry);
                }
                2 if !held.is_empty() => {
                    let entry = held[rng.random_range(0..held.len())];
                    queue.update(entry.job, rng.random_range(1..480));
                }
                _ => {
                    let found = queue.next(now, &mut any_job);
                    assert_eq!(found.is_some(), !held.is_empty(), "{policy:?}");
                    let Some(job) = found else { continue };
                    let index = held.iter().position(|entry| entry.job == job);
                    let entry = held.swap_remove(index.expect("the job is held"));
                    queue.charge(entry.team, 1, Duration::from_millis(50));
                    queue.remove(job);
                }
            }
            assert_eq!(queue.job_count(), held.len(), "{policy:?}");
        }
    }
}

#[test]
fn backlog_counts_tasks_ahead() {
    // The tasks ahead of a job of 10 tasks while jobs of 1, 9 and 480 tasks are queued.
    let cases = [
        (QueuePolicy::FairFewestRemaining, 1 + 9),
        (QueuePolicy::Fifo, 1 + 9 + 480),
        (QueuePolicy::EarliestDeadline, 1 + 9 + 480),
    ];
    for (policy, expected) in cases {
        let mut keys = Keys::new();
        let team = keys.team();
        let mut queue = queue_for(policy);
        let entries = [1, 9, 480].map(|remaining| keys.entry(team, remaining, 1_000));
        for entry in entries {
            queue.insert(Timestamp::ZERO, entry);
        }
        let backlog = queue.backlog(Timestamp::ZERO, 10);
        assert_eq!(backlog.tasks_ahead, expected, "{policy:?}");
        queue.update(entries[2].job, 2);
        queue.remove(entries[1].job);
        let backlog = queue.backlog(Timestamp::ZERO, 10);
        assert_eq!(backlog.tasks_ahead, 3, "{policy:?}");
        assert_eq!(backlog.overtaking_slots, 0, "{policy:?}");
    }
}

#[test]
fn backlog_shows_slots_used_by_overtaking_jobs() {
    let mut keys = Keys::new();
    let team = keys.team();
    let mut queue = without_ageing();
    let single = keys.entry(team, 1, 1_000);
    queue.insert(Timestamp::ZERO, single);
    // Tasks of 100 ms that start every 10 ms keep ten slots busy.
    for step in 0..2_000 {
        queue.next(Timestamp::from_us(step * 10_000), &mut any_job);
        queue.charge(team, 1, Duration::from_millis(100));
    }
    let now = Timestamp::from_us(20_000_000);
    let overtaking_slots = queue.backlog(now, 100).overtaking_slots;
    assert!((9..=10).contains(&overtaking_slots), "{overtaking_slots}");
    let later = Timestamp::from_us(30_000_000);
    assert_eq!(queue.backlog(later, 100).overtaking_slots, 0);
}
