//! The state of an upstream that this instance owns: its leases, its runs and whether it answers.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::crash_evidence::CrashEvidence;
use super::crash_report::CrashReport;
use super::crash_report::CrashedRun;
use super::learned_speed::LearnedSpeed;
use super::leased_run::LeasedRun;
use super::listed_upstream::ListedUpstream;
use super::resources::Resources;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_order::RunOutcome;
use super::upstream_clock::UpstreamClock;
use super::whole_ms::whole_ms;
use crate::health::UpstreamHealth;
use crate::time::Timestamp;

/// The maximum number of remembered ends of runs that this instance did not order: more than an
/// upstream runs at a time.
const MAX_UNCLAIMED_ENDS: usize = 64;

/// The number of fencing tokens for one roster version: an ownership begins with the first, and each
/// restart of the upstream raises it by one, up to the last.
const FENCES_PER_VERSION: u64 = 256;

/// The maximum time between an upstream's previous report and the sending of the order whose answer
/// lists an end, for the end's time to count as exact: in between no order waits for ends.
const MAX_EXACT_END_GAP: Duration = Duration::from_millis(20);

/// Whether an upstream answers its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It has sent no report since it was taken over or restarted.
    TakingOver,
    /// It answers.
    Reachable,
    /// It does not answer.
    Unreachable {
        /// When this was found.
        since: Timestamp,
    },
}

/// A run that the upstream lists and that this instance did not order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnclaimedRun {
    /// The first order sent after the run was first listed.
    pub(crate) since_order: OrderId,
    /// Whether homes were asked to claim it.
    pub(crate) is_announced: bool,
    /// Whether a stop was ordered that is not confirmed, and is repeated until it is.
    pub(crate) is_stopping: bool,
}

/// An upstream that this instance owns.
#[derive(Debug)]
pub(crate) struct LeasedUpstream {
    pub(crate) listed: Arc<ListedUpstream>,
    /// The fencing token of this instance's orders.
    pub(crate) fence: u64,
    /// Whether it is no longer assigned to this instance, so that nothing new starts there.
    pub(crate) is_released: bool,
    /// Whether its data centre is evacuated, so that nothing new starts there.
    pub(crate) is_evacuated: bool,
    pub(crate) contact: Contact,
    /// The last reading of its clock, for when leases have expired; none before its first answer.
    pub(crate) clock: Option<UpstreamClock>,
    /// The reading that shows how far its clock is, for the leases to order. Too high a reading does
    /// no harm: an upstream grants no lease longer than the maximum.
    pub(crate) furthest_clock: Option<UpstreamClock>,
    /// When its current incarnation began, where it reports that.
    pub(crate) born_unix_ms: Option<u64>,
    /// The first order sent after its current incarnation was known.
    pub(crate) incarnation_since: OrderId,
    /// The number of the last end that was handled.
    pub(crate) acknowledged_end: u64,
    /// The latest time on its clock until which a lease lasts.
    pub(crate) lease_until_ms: u64,
    /// The runs that this instance ordered or adopted.
    pub(crate) runs: IndexMap<RunId, LeasedRun>,
    /// The runs that it lists and that this instance did not order.
    pub(crate) unclaimed_runs: IndexMap<RunId, UnclaimedRun>,
    /// The last ends of runs that this instance did not order.
    pub(crate) unclaimed_ends: IndexMap<RunId, RunOutcome>,
    pub(crate) health: UpstreamHealth,
    pub(crate) speed: LearnedSpeed,
    /// When its last report arrived.
    pub(crate) last_report_at: Timestamp,
    /// What its clock showed in that report, in milliseconds.
    pub(crate) last_report_clock_ms: u64,
    /// Whether a renew order stayed unanswered since the last report.
    pub(crate) has_missed_renew: bool,
    /// Whether a renew order is unanswered so far.
    pub(crate) is_renew_pending: bool,
    /// Whether the last renew order extended no lease because of runs that no home had claimed.
    pub(crate) is_lease_withheld: bool,
    /// Whether only a task that has to run alone may start there.
    pub(crate) is_reserved: bool,
    /// What shows whether its process has ended.
    pub(crate) crash_evidence: CrashEvidence,
}

impl LeasedUpstream {
    /// An upstream that this instance owns according to the roster of this version.
    pub(crate) fn new(listed: Arc<ListedUpstream>, version: u64) -> Self {
        LeasedUpstream {
            listed,
            fence: version.saturating_mul(FENCES_PER_VERSION),
            is_released: false,
            is_evacuated: false,
            contact: Contact::TakingOver,
            clock: None,
            furthest_clock: None,
            born_unix_ms: None,
            incarnation_since: OrderId(0),
            acknowledged_end: 0,
            lease_until_ms: 0,
            runs: IndexMap::new(),
            unclaimed_runs: IndexMap::new(),
            unclaimed_ends: IndexMap::new(),
            health: UpstreamHealth::default(),
            speed: LearnedSpeed::default(),
            last_report_at: Timestamp::ZERO,
            last_report_clock_ms: 0,
            has_missed_renew: false,
            is_renew_pending: false,
            is_lease_withheld: false,
            is_reserved: false,
            crash_evidence: CrashEvidence::default(),
        }
    }

    /// The version of the roster that its ownership is derived from.
    pub(crate) fn roster_version(&self) -> u64 {
        self.fence / FENCES_PER_VERSION
    }

    /// Raises the fence for the next incarnation of the upstream, which remembers no fence: it must not
    /// accept a start that was sent to the previous one and arrives late.
    pub(crate) fn raise_fence(&mut self) {
        let is_last = self
            .fence
            .wrapping_add(1)
            .is_multiple_of(FENCES_PER_VERSION);
        self.fence += u64::from(!is_last);
    }

    /// The capacity that no run takes up.
    pub(crate) fn free(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used += run.resources;
        }
        self.listed.capacity.minus(used)
    }

    /// Whether a task may start there now, if it fits into the free capacity.
    pub(crate) fn can_take_work(&self, now: Timestamp) -> bool {
        let in_flight = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        let is_shared = !self.is_reserved && !self.has_lone_run();
        is_shared
            && self.is_usable()
            && self.unclaimed_runs.is_empty()
            && self.health.can_start(now, in_flight)
    }

    /// Whether a task that has to run alone may start there now, if it fits into the capacity.
    pub(crate) fn can_take_lone_run(&self, now: Timestamp) -> bool {
        let is_idle = self.runs.is_empty() && self.unclaimed_runs.is_empty();
        is_idle && self.is_usable() && self.health.can_start(now, 0)
    }

    /// Whether a run there has to be alone.
    pub(crate) fn has_lone_run(&self) -> bool {
        self.runs.values().any(|run| run.is_alone)
    }

    /// The report of a crash at this time.
    pub(crate) fn loss_report(&self, crashed_at: Timestamp) -> CrashReport {
        let runs = self.runs.iter().map(|(run, leased)| CrashedRun {
            run: *run,
            queue: leased.queue.clone(),
            age: crashed_at.since(leased.ordered_at),
        });
        CrashReport {
            upstream: self.listed.id.clone(),
            fence: self.fence,
            runs: runs.collect(),
            ago: Duration::ZERO,
            is_certain: true,
        }
    }

    /// When its last run is expected to end; zero without runs.
    pub(crate) fn expected_idle_at(&self) -> Timestamp {
        let ends = self
            .runs
            .values()
            .map(|run| run.ordered_at + run.expected_run_time);
        ends.max().unwrap_or(Timestamp::ZERO)
    }

    /// Whether it is reachable, and neither released, draining nor evacuated.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_in_service() && !self.is_evacuated
    }

    /// Whether it is reachable with a current entry, and neither released nor draining.
    pub(crate) fn is_in_service(&self) -> bool {
        self.contact == Contact::Reachable
            && self.has_current_entry()
            && !self.is_released
            && !self.listed.draining
    }

    /// Whether its entry is of the incarnation that answers; also while none has answered.
    ///
    /// An upstream may start again as another kind. Its entry is read later than its first report, and
    /// until then its service, capacity, labels and data centre are unknown.
    pub(crate) fn has_current_entry(&self) -> bool {
        self.born_unix_ms
            .is_none_or(|born_unix_ms| self.listed.born_unix_ms == Some(born_unix_ms))
    }

    /// Whether a report is of an earlier incarnation than the current one: it answers an order that was
    /// sent before the current one was known.
    pub(crate) fn is_outdated(&self, order: OrderId, born_unix_ms: Option<u64>) -> bool {
        born_unix_ms != self.born_unix_ms && order < self.incarnation_since
    }

    /// Records a reading of its clock.
    pub(crate) fn record_clock(&mut self, clock_ms: u64, now: Timestamp) {
        let reading = UpstreamClock::new(clock_ms, now);
        self.clock = Some(reading);
        let furthest = self.furthest_clock.map(|clock| clock.latest(reading));
        self.furthest_clock = Some(furthest.unwrap_or(reading));
    }

    /// Whether a run that ended after the last report ended when the clock showed `clock_ms`, as a
    /// report says that answers an order sent at `sent_at` and arrives now.
    ///
    /// A waiting order is answered as soon as a run ends. The order must have been sent soon after the
    /// last report, which must not have been read late itself.
    pub(crate) fn is_exact_end(&self, now: Timestamp, sent_at: Timestamp, clock_ms: u64) -> bool {
        let clock_gap_ms = clock_ms.saturating_sub(self.last_report_clock_ms);
        let own_gap_ms = whole_ms(now.since(self.last_report_at));
        sent_at.since(self.last_report_at) <= MAX_EXACT_END_GAP
            && clock_gap_ms <= own_gap_ms + whole_ms(MAX_EXACT_END_GAP)
    }

    /// When all its leases must have expired if no further order is sent; none without a clock reading.
    pub(crate) fn leases_expire_at(&self) -> Option<Timestamp> {
        self.clock
            .map(|clock| clock.certainly_passed_at(self.lease_until_ms))
    }

    /// Records a lease from now on and returns its end on the upstream's clock, in milliseconds; none
    /// without a clock reading. It is never longer than `lease`, however old the reading is.
    pub(crate) fn extend_lease(&mut self, now: Timestamp, lease: Duration) -> Option<u64> {
        let clock = self.furthest_clock?;
        let until_ms = clock.at_least_ms(now).saturating_add(whole_ms(lease));
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// How long the lease goes on at most that was ordered last, on the upstream's clock.
    pub(crate) fn lease_left(&self, now: Timestamp) -> Duration {
        self.time_until(now, self.lease_until_ms)
    }

    /// How much its clock has to advance at most until it shows this time; zero without a clock reading.
    pub(crate) fn time_until(&self, now: Timestamp, clock_ms: u64) -> Duration {
        let now_ms = self.furthest_clock.map(|clock| clock.at_least_ms(now));
        Duration::from_millis(now_ms.map_or(0, |now_ms| clock_ms.saturating_sub(now_ms)))
    }

    /// Remembers the end of a run that this instance did not order, and forgets the oldest one beyond
    /// the maximum.
    pub(crate) fn record_unclaimed_end(&mut self, run: RunId, how: RunOutcome) {
        self.unclaimed_ends.insert(run, how);
        if self.unclaimed_ends.len() > MAX_UNCLAIMED_ENDS {
            self.unclaimed_ends.shift_remove_index(0);
        }
    }
}
