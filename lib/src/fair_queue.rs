//! Teams by their fair share, then the job with the fewest remaining tasks, with ageing.

use std::time::Duration;

use almondhead_macros::value;
use slotmap::SecondaryMap;

use crate::keys::JobKey;
use crate::keys::TeamKey;
use crate::ordered_jobs::Place;
use crate::ordered_jobs::PlacedJob;
use crate::queue::JobQueue;
use crate::queue::QueueEntry;
use crate::queue::SCAN_LIMIT;
use crate::team_share::TeamShare;
use crate::time::Timestamp;

/// The run time by which a team may be ahead of the one furthest behind, at equal weights.
pub const SHARE_LAG: Duration = Duration::from_secs(1);

/// Every how many starts the job that waits longest goes first.
pub const OLDEST_EVERY: u32 = 16;

/// How much a [`FairQueue`] gives up of one order for another.
#[value]
#[derive(Copy)]
pub struct FairSettings {
    /// The run time by which a team may be ahead of the one furthest behind, at equal weights.
    pub share_lag: Duration,
    /// Every how many starts the job that waits longest goes first; zero for never.
    pub oldest_every: u32,
}

impl Default for FairSettings {
    fn default() -> Self {
        FairSettings {
            share_lag: SHARE_LAG,
            oldest_every: OLDEST_EVERY,
        }
    }
}

/// Where a queued job is to be found.
#[derive(Clone, Copy, Debug)]
struct QueuedJob {
    team: TeamKey,
    arrival: u64,
}

/// Serves the job with the fewest remaining tasks among the teams that are within their share.
///
/// Each team carries a virtual time: the run time it was charged, divided by its weight. Teams
/// within [`FairSettings::share_lag`] of the lowest one compete by remaining tasks alone; a team
/// further ahead is served only when nothing of the others fits.
///
/// One start in [`FairSettings::oldest_every`] goes to the job of those teams that arrived first,
/// so no job starves, and the rest of the starts are not slowed down by jobs that wait long.
#[derive(Debug, Default)]
pub struct FairQueue {
    settings: FairSettings,
    jobs: SecondaryMap<JobKey, QueuedJob>,
    teams: SecondaryMap<TeamKey, TeamShare>,
    floor_us: u64,
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

    /// Lifts the floor to the lowest virtual time among teams with queued jobs.
    fn raise_floor(&mut self) {
        let lowest_us = self
            .teams
            .values()
            .filter(|team| team.is_active())
            .map(|team| team.virtual_us)
            .min();
        self.floor_us = self.floor_us.max(lowest_us.unwrap_or(0));
    }

    /// The virtual time up to which a team is within its share.
    fn limit_us(&self) -> u64 {
        let lag_us = u64::try_from(self.settings.share_lag.as_micros()).unwrap_or(u64::MAX);
        self.floor_us.saturating_add(lag_us)
    }

    /// The mean weight of the teams seen, which makes the lag independent of the weights' scale.
    fn mean_weight(&self) -> u64 {
        let count = self.teams.len().max(1) as u64;
        let total: u64 = self.teams.values().map(|team| u64::from(team.weight)).sum();
        (total / count).max(1)
    }

    /// Whether this start is one for the job that waits longest.
    fn is_turn_of_oldest(&self) -> bool {
        self.starts != 0 && self.starts.is_multiple_of(self.settings.oldest_every)
    }

    /// The job that arrived first, among teams within their share.
    fn oldest(&self) -> Option<JobKey> {
        let limit_us = self.limit_us();
        self.teams
            .values()
            .filter(|team| team.virtual_us <= limit_us)
            .filter_map(TeamShare::oldest)
            .min()
            .map(|oldest| oldest.job)
    }

    /// The job with the fewest remaining tasks, those of teams within their share before others.
    fn fewest(&self) -> Option<PlacedJob> {
        let limit_us = self.limit_us();
        self.teams
            .values()
            .filter_map(|team| Some((team.virtual_us > limit_us, team.fewest()?)))
            .min()
            .map(|(_, placed)| placed)
    }

    /// The first of at most [`SCAN_LIMIT`] jobs that `fits`, in the order of [`Self::fewest`].
    fn scan(&self, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey> {
        let limit_us = self.limit_us();
        let mut cursors: Vec<_> = self
            .teams
            .values()
            .filter(|team| team.is_active())
            .map(|team| (team.virtual_us > limit_us, team.jobs().peekable()))
            .collect();
        for _ in 0..SCAN_LIMIT {
            let (_, cursor) = cursors
                .iter_mut()
                .filter_map(|(ahead, cursor)| Some(((*ahead, *cursor.peek()?), cursor)))
                .min_by_key(|(order, _)| *order)?;
            let job = cursor.next()?.job;
            if fits(job) {
                return Some(job);
            }
        }
        None
    }

    /// The first job that `fits`, whoever's turn it is.
    fn first_fitting(&self, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey> {
        if self.is_turn_of_oldest() {
            let oldest = self.oldest()?;
            if fits(oldest) {
                return Some(oldest);
            }
        }
        let fewest = self.fewest()?;
        if fits(fewest.job) {
            return Some(fewest.job);
        }
        self.scan(&mut |job| job != fewest.job && fits(job))
    }
}

impl JobQueue for FairQueue {
    fn insert(&mut self, _now: Timestamp, entry: QueueEntry) {
        self.remove(entry.job);
        self.raise_floor();
        self.arrivals += 1;
        let place = Place {
            rank: u64::from(entry.remaining),
            arrival: self.arrivals,
        };
        if !self.teams.contains_key(entry.team) {
            self.teams.insert(entry.team, TeamShare::default());
        }
        let team = &mut self.teams[entry.team];
        team.weight = entry.weight;
        team.insert(entry.job, place, self.floor_us);
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
        let place = Place {
            rank: u64::from(remaining),
            arrival: queued.arrival,
        };
        self.teams[queued.team].update(job, place);
    }

    fn remove(&mut self, job: JobKey) {
        let Some(queued) = self.jobs.remove(job) else {
            return;
        };
        self.teams[queued.team].remove(job);
    }

    fn next(&mut self, _now: Timestamp, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey> {
        self.raise_floor();
        let job = self.first_fitting(fits)?;
        self.starts = self.starts.wrapping_add(1);
        Some(job)
    }

    fn charge(&mut self, team: TeamKey, weight: u32, cost: Duration) {
        let mean_weight = self.mean_weight();
        let limit_us = self.limit_us();
        let cost_us = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX);
        let share_us = cost_us.saturating_mul(mean_weight) / u64::from(weight.max(1));
        if let Some(team) = self.teams.get_mut(team) {
            team.charge(share_us, limit_us);
        }
    }

    fn jobs(&self) -> usize {
        self.jobs.len()
    }
}
