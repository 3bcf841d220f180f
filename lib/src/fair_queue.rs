//! The queue policy that serves the job with the fewest remaining tasks, with fair shares for teams
//! and ageing.

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

/// The default of [`FairSettings::full_share_penalty_tasks`].
pub const FULL_SHARE_PENALTY_TASKS: u32 = 4_000;

/// The default of [`FairSettings::oldest_interval_starts`].
pub const OLDEST_INTERVAL_STARTS: u32 = 16;

/// The time constant of the exponential decay of recent service: it falls to 1/e in this time.
const SERVICE_DECAY_TIME: Duration = Duration::from_secs(2);

/// The minimum time between two updates of that decay, which visit every team.
const DECAY_INTERVAL: Duration = Duration::from_millis(40);

/// How strongly a [`FairQueue`] weighs fair shares and age against the order by remaining tasks.
#[value]
#[derive(Copy)]
pub struct FairSettings {
    /// The number of tasks by which a team's jobs count as larger when it had all recent service.
    pub full_share_penalty_tasks: u32,
    /// One start in this many goes to the job that arrived first; zero disables it.
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

/// The team and arrival number of a queued job, by which it is found in its team's queue.
#[derive(Clone, Copy, Debug)]
struct QueuedJob {
    team: TeamKey,
    arrival: u64,
}

/// A team's first job that a scan has not offered yet, ordered by its penalised sort key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TeamHead {
    penalised: OrderedJob,
    ordered: OrderedJob,
    team: TeamKey,
}

/// Serves the job with the fewest remaining tasks, with a penalty for its team's recent service.
///
/// A job is ranked by its remaining tasks plus a penalty, which is proportional to the square of
/// its team's share of the recent service; each share is divided by the team's weight. Only service
/// to jobs of the same size and smaller is counted: a team's large jobs do not delay its small ones,
/// and a team that floods the queue with small jobs ranks behind other teams' large jobs.
///
/// One start in [`FairSettings::oldest_interval_starts`] goes to the job that arrived first, so
/// that no job starves; how long a job has waited has no effect on the other starts.
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
    /// Creates an empty queue with these settings.
    pub fn new(settings: FairSettings) -> Self {
        FairQueue {
            settings,
            ..FairQueue::default()
        }
    }

    /// Applies the exponential decay of recent service up to `now`.
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

    /// The mean weight of all teams seen so far; division by it cancels the scale of the weights.
    fn mean_weight(&self) -> f64 {
        let total: f64 = self.teams.values().map(|team| f64::from(team.weight)).sum();
        total / self.teams.len().max(1) as f64
    }

    /// The job with the penalty for its team's recent service added to its rank.
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

    /// The job that arrived first, if the next start is due to it.
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

    /// The job with the lowest penalised sort key; ignores starts due to the oldest job.
    fn first(&self) -> Option<JobKey> {
        self.teams
            .values()
            .filter_map(|team| Some(self.penalised(team, team.fewest()?)))
            .min()
            .map(|ordered| ordered.job)
    }

    /// The first job that `fits` accepts; tries at most [`SCAN_LIMIT`] in the order of
    /// [`Self::first`].
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

    /// The job to start next: the oldest if due, otherwise the first in order that `fits` accepts.
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
        let weighted_cost_us = cost_us / relative_weight;
        let Some(team) = self.teams.get_mut(team) else {
            return;
        };
        team.charge(weighted_cost_us);
        let class = team.last_started_class;
        self.weighted_service_us += weighted_cost_us;
        self.recent_service.add(class, cost_us);
    }

    /// Assumes that jobs of the new job's size class and smaller ones start before it.
    fn backlog(&mut self, now: Timestamp, tasks: u32) -> QueueBacklog {
        self.decay(now);
        let class = SizeClass::of(u64::from(tasks));
        let overtaking_slots =
            self.recent_service.up_to_us(class) / 1e6 / SERVICE_DECAY_TIME.as_secs_f64();
        QueueBacklog {
            tasks_ahead: self.remaining_tasks.up_to(class),
            overtaking_slots: overtaking_slots as u32,
        }
    }

    fn job_count(&self) -> usize {
        self.jobs.len()
    }
}
