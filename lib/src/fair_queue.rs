//! The job with the fewest remaining tasks, with fair shares for teams and ageing.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use almondhead_macros::value;
use slotmap::SecondaryMap;

use crate::keys::JobKey;
use crate::keys::TeamKey;
use crate::ordered_jobs::OrderedJob;
use crate::ordered_jobs::SortKey;
use crate::queue::JobQueue;
use crate::queue::QueueBacklog;
use crate::queue::QueueEntry;
use crate::queue::SCAN_LIMIT;
use crate::recent_service::RecentService;
use crate::remaining_tasks::RemainingTasks;
use crate::size_class::SizeClass;
use crate::team_queue::TeamQueue;
use crate::time::Timestamp;

/// The tasks by which a team's jobs are put back when it has had all recent service.
pub const FULL_SHARE_PENALTY_TASKS: u32 = 4_000;

/// Every how many starts the job that waits longest goes first.
pub const OLDEST_INTERVAL_STARTS: u32 = 16;

/// The time in which the memory of service falls to a factor of 1/e.
const SERVICE_DECAY_TIME: Duration = Duration::from_secs(2);

/// The time between two steps of that decay.
const DECAY_INTERVAL: Duration = Duration::from_millis(40);

/// How much a [`FairQueue`] gives up of one order for another.
#[value]
#[derive(Copy)]
pub struct FairSettings {
    /// The tasks by which a team's jobs are put back when it has had all recent service.
    pub full_share_penalty_tasks: u32,
    /// Every how many starts the job that waits longest goes first; zero for never.
    pub oldest_interval_starts: u32,
}

impl Default for FairSettings {
    fn default() -> Self {
        FairSettings {
            full_share_penalty_tasks: FULL_SHARE_PENALTY_TASKS,
            oldest_interval_starts: OLDEST_INTERVAL_STARTS,
        }
    }
}

/// Where a queued job is to be found.
#[derive(Clone, Copy, Debug)]
struct QueuedJob {
    team: TeamKey,
    arrival: u64,
}

/// A team's first job that was not offered yet, by its sort_key among all teams' jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TeamHead {
    penalised: OrderedJob,
    ordered: OrderedJob,
    team: TeamKey,
}

/// Serves the job with the fewest remaining tasks, put back by what its team was served of late.
///
/// A job counts as larger than it is by the square of its team's share of the recent service, each
/// share divided by the team's weight. Only service to jobs of this size and smaller ones is
/// counted, so a team's large jobs do not hold up its small ones, and a team that floods with
/// small jobs falls behind the others' large ones.
///
/// One start in [`FairSettings::oldest_interval_starts`] goes to the job that arrived first, so no job
/// starves, and the rest of the starts are not slowed down by jobs that wait long.
#[derive(Debug, Default)]
pub struct FairQueue {
    settings: FairSettings,
    jobs: SecondaryMap<JobKey, QueuedJob>,
    teams: SecondaryMap<TeamKey, TeamQueue>,
    remaining_tasks: RemainingTasks,
    recent_service: RecentService,
    weighted_service_us: f64,
    decayed_at: Timestamp,
    arrivals: u64,
    starts: u32,
}

impl FairQueue {
    /// An empty queue with these settings.
    pub fn new(settings: FairSettings) -> Self {
        FairQueue {
            settings,
            ..FairQueue::default()
        }
    }

    /// Lets the memory of service fade up to `now`.
    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        let factor = (-elapsed.as_secs_f64() / SERVICE_DECAY_TIME.as_secs_f64()).exp();
        for team in self.teams.values_mut() {
            team.recent_service.decay(factor);
        }
        self.recent_service.decay(factor);
        self.weighted_service_us *= factor;
        self.decayed_at = now;
    }

    /// The mean weight of the teams seen, by which the weights' scale cancels out.
    fn mean_weight(&self) -> f64 {
        let total: f64 = self.teams.values().map(|team| f64::from(team.weight)).sum();
        total / self.teams.len().max(1) as f64
    }

    /// The sort_key of a team's job among the jobs of all teams.
    fn penalised(&self, team: &TeamQueue, ordered: OrderedJob) -> OrderedJob {
        let class = SizeClass::of(ordered.sort_key.rank);
        let share = team.recent_service.up_to_us(class) / self.weighted_service_us.max(1.0);
        let penalty = share * share * f64::from(self.settings.full_share_penalty_tasks);
        let sort_key = SortKey {
            rank: ordered.sort_key.rank.saturating_add(penalty as u64),
            ..ordered.sort_key
        };
        OrderedJob {
            sort_key,
            ..ordered
        }
    }

    /// The job that arrived first, when this start is one for it.
    fn oldest_if_due(&self) -> Option<JobKey> {
        if self.starts == 0
            || !self
                .starts
                .is_multiple_of(self.settings.oldest_interval_starts)
        {
            return None;
        }
        let oldest = self.teams.values().filter_map(TeamQueue::oldest).min()?;
        Some(oldest.job)
    }

    /// The first job in order, apart from turns of the oldest.
    fn first(&self) -> Option<JobKey> {
        self.teams
            .values()
            .filter_map(|team| Some(self.penalised(team, team.fewest()?)))
            .min()
            .map(|ordered| ordered.job)
    }

    /// The first of at most [`SCAN_LIMIT`] jobs that `fits`, in the order of [`Self::first`].
    fn scan(&self, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey> {
        let mut heads: BinaryHeap<Reverse<TeamHead>> = self
            .teams
            .iter()
            .filter_map(|(key, team)| Some(Reverse(self.team_head(key, team, team.fewest()?))))
            .collect();
        for _ in 0..SCAN_LIMIT {
            let Reverse(head) = heads.pop()?;
            if fits(head.ordered.job) {
                return Some(head.ordered.job);
            }
            let team = &self.teams[head.team];
            let next = team.after(head.ordered);
            heads.extend(next.map(|ordered| Reverse(self.team_head(head.team, team, ordered))));
        }
        None
    }

    fn team_head(&self, key: TeamKey, team: &TeamQueue, ordered: OrderedJob) -> TeamHead {
        TeamHead {
            penalised: self.penalised(team, ordered),
            ordered,
            team: key,
        }
    }

    /// The first job that `fits`, whoever's turn it is.
    fn first_fitting(&self, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey> {
        if let Some(oldest) = self.oldest_if_due()
            && fits(oldest)
        {
            return Some(oldest);
        }
        let first = self.first()?;
        if fits(first) {
            return Some(first);
        }
        self.scan(&mut |job| job != first && fits(job))
    }
}

impl JobQueue for FairQueue {
    fn insert(&mut self, _now: Timestamp, entry: QueueEntry) {
        self.remove(entry.job);
        self.arrivals += 1;
        let sort_key = SortKey {
            rank: u64::from(entry.remaining),
            arrival: self.arrivals,
        };
        if !self.teams.contains_key(entry.team) {
            self.teams.insert(entry.team, TeamQueue::default());
        }
        let team = &mut self.teams[entry.team];
        team.weight = entry.weight.max(1);
        team.insert(entry.job, sort_key);
        self.remaining_tasks.set(entry.job, entry.remaining);
        let queued = QueuedJob {
            team: entry.team,
            arrival: self.arrivals,
        };
        self.jobs.insert(entry.job, queued);
    }

    fn update(&mut self, job: JobKey, remaining: u32) {
        let Some(queued) = self.jobs.get(job) else {
            return;
        };
        let sort_key = SortKey {
            rank: u64::from(remaining),
            arrival: queued.arrival,
        };
        self.teams[queued.team].update(job, sort_key);
        self.remaining_tasks.set(job, remaining);
    }

    fn remove(&mut self, job: JobKey) {
        let Some(queued) = self.jobs.remove(job) else {
            return;
        };
        self.teams[queued.team].remove(job);
        self.remaining_tasks.remove(job);
    }

    fn next(&mut self, now: Timestamp, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey> {
        self.decay(now);
        let job = self.first_fitting(fits)?;
        self.starts = self.starts.wrapping_add(1);
        let team = self.jobs[job].team;
        self.teams[team].record_start(job);
        Some(job)
    }

    fn charge(&mut self, team: TeamKey, weight: u32, cost: Duration) {
        let relative_weight = f64::from(weight.max(1)) / self.mean_weight().max(1.0);
        let cost_us = cost.as_secs_f64() * 1e6;
        let share_us = cost_us / relative_weight;
        let Some(team) = self.teams.get_mut(team) else {
            return;
        };
        team.charge(share_us);
        let class = team.last_started_class;
        self.weighted_service_us += share_us;
        self.recent_service.add(class, cost_us);
    }

    /// Jobs of its size class and smaller ones go before a new job.
    fn backlog(&mut self, now: Timestamp, tasks: u32) -> QueueBacklog {
        self.decay(now);
        let class = SizeClass::of(u64::from(tasks));
        let taken = self.recent_service.up_to_us(class) / 1e6 / SERVICE_DECAY_TIME.as_secs_f64();
        QueueBacklog {
            tasks_ahead: self.remaining_tasks.up_to(class),
            overtaking_slots: taken as u32,
        }
    }

    fn job_count(&self) -> usize {
        self.jobs.len()
    }
}
