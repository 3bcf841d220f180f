//! How an owner keeps contact with its upstreams: renews leases, and gives up what an unreachable, restarted or lost upstream ran.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::crash_evidence::CrashEvidence;
use super::held_batch::TaskIndex;
use super::leased_run::RunPhase;
use super::leased_upstream::Contact;
use super::owner::Owner;
use super::owner::OwnerTimer;
use super::owner::PendingKind;
use super::owner::SupersededStart;
use super::peer_table::MAX_MESSAGE_AGE;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_message::RunEnd;
use super::run_order::RunOrder;
use crate::time::Timestamp;

/// How long a renew order may wait for an end while something runs.
///
/// Most are answered sooner, by an end. A lost answer delays the reports of ends by this time.
pub(crate) const BUSY_RENEW_WAIT: Duration = Duration::from_millis(120);

/// How long a renew order may wait for an end while nothing runs. A task that starts meanwhile needs
/// no renewal before the answer: the lease that it starts with lasts longer.
pub(crate) const IDLE_RENEW_WAIT: Duration = Duration::from_millis(500);

/// How long after an unanswered renew order the next one is sent to an unreachable upstream with runs.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long after an unanswered renew order the next one is sent to an unreachable upstream without
/// runs.
const IDLE_UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// How long after a refused connection the next one is attempted to an upstream that may have
/// crashed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(5);

impl Owner {
    /// How long a run that no home claims may go on under a newer owner, which extends no lease for it; the
    /// last lease of this owner may reach the upstream as late as a message may be.
    fn max_run_under_newer_owner(&self) -> Duration {
        self.lease_bound.longest_lease() + MAX_MESSAGE_AGE
    }

    /// Reports that a run may go on under a newer owner.
    ///
    /// The report may get lost, so its batch counts as held until the run must have ended.
    pub(crate) fn hand_over(
        &mut self,
        now: Timestamp,
        task: (HeldBatchKey, TaskIndex),
        upstream: &Arc<str>,
    ) {
        let (batch_key, index) = task;
        if let Some(batch) = self.batches.get(batch_key) {
            let name = (batch.home, batch.number);
            self.possibly_running
                .insert(name, now + self.max_run_under_newer_owner());
        }
        let upstream = upstream.clone();
        self.report(batch_key, index, RunEnd::TakenOver { upstream });
    }

    /// Sends an order that renews the leases on an upstream and waits for ends, unless one is pending.
    pub(crate) fn renew(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else {
            return;
        };
        if upstream.is_renew_pending {
            return;
        }
        upstream.is_renew_pending = true;
        let wait = match upstream.contact {
            Contact::Reachable if upstream.has_missed_renew => Duration::ZERO,
            Contact::Reachable if !upstream.unclaimed_runs.is_empty() => BUSY_RENEW_WAIT,
            Contact::Reachable if upstream.runs.is_empty() => IDLE_RENEW_WAIT,
            Contact::Reachable => BUSY_RENEW_WAIT,
            _ => Duration::ZERO,
        };
        let (unclaimed, claimed) = (upstream.unclaimed_runs.len(), upstream.runs.len());
        let was_withheld = std::mem::replace(&mut upstream.is_lease_withheld, unclaimed > 0);
        if unclaimed > 0 && claimed > 0 && !was_withheld {
            let id = &upstream.listed.id;
            tracing::info!(upstream = %id, unclaimed, claimed, "lease not extended beside unclaimed runs");
        }
        // Leases are not renewed on an upstream that does not answer, so that they expire in time.
        let is_renewed = upstream.contact == Contact::Reachable && !upstream.has_missed_renew;
        // A run that starts on an idle upstream brings its own lease.
        let lease_until_ms = match is_renewed {
            true => self.extend_lease(now, upstream_key, None),
            false => None,
        };
        let upstream = &self.upstreams[upstream_key];
        let order = RunOrder::Renew {
            lease_until_ms,
            fence: upstream.fence,
            acknowledged_end: upstream.acknowledged_end,
            wait,
        };
        self.send_order(now, upstream_key, PendingKind::Renew, order);
    }

    /// Polls an upstream for an immediate report, beside a waiting renew order.
    pub(crate) fn probe(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        self.send_probe(now, upstream_key, None);
    }

    /// Polls an upstream for an immediate report, and extends its leases to `lease_until_ms` on its clock.
    pub(crate) fn send_probe(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        lease_until_ms: Option<u64>,
    ) {
        let Some(upstream) = self.upstreams.get(upstream_key) else {
            return;
        };
        let order = RunOrder::Renew {
            lease_until_ms,
            fence: upstream.fence,
            acknowledged_end: upstream.acknowledged_end,
            wait: Duration::ZERO,
        };
        self.send_order(now, upstream_key, PendingKind::Probe, order);
    }

    /// Marks an upstream that does not answer as unreachable, and schedules the next renew order and
    /// the expiry of its leases.
    pub(crate) fn mark_unreachable(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else {
            return;
        };
        // A restarted upstream that still has runs from before its restart may be unreachable too.
        let has_runs = !upstream.runs.is_empty();
        if upstream.contact == Contact::Reachable
            || (upstream.contact == Contact::TakingOver && has_runs)
        {
            let runs = upstream.runs.len();
            tracing::warn!(upstream = %upstream.listed.id, runs, "upstream unreachable");
            upstream.contact = Contact::Unreachable { since: now };
        }
        if !upstream.runs.is_empty()
            && let Some(at) = upstream.leases_expire_at()
        {
            self.timers
                .subscribe(at.max(now), OwnerTimer::LeaseExpiry(upstream_key));
        }
        let retry = match upstream.runs.is_empty() {
            _ if upstream.crash_evidence.needs_check(now) => CRASH_CHECK_DELAY,
            true => IDLE_UNREACHABLE_RETRY_DELAY,
            false => UNREACHABLE_RETRY_DELAY,
        };
        self.timers
            .subscribe(now + retry, OwnerTimer::Renew(upstream_key));
    }

    /// Reports all runs of an upstream as lost if it is still unreachable and its leases have expired.
    pub(crate) fn expire_leases(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let Some(upstream) = self.upstreams.get(upstream_key) else {
            return;
        };
        let is_unreachable = matches!(upstream.contact, Contact::Unreachable { .. });
        match upstream.leases_expire_at() {
            Some(at) if is_unreachable && at <= now => {
                self.report_silent_loss(now, upstream_key);
                self.on_all_runs_lost(upstream_key, "lease_over");
                self.drop_if_released(upstream_key);
            }
            Some(at) if is_unreachable && !upstream.runs.is_empty() => {
                self.timers
                    .subscribe(at, OwnerTimer::LeaseExpiry(upstream_key));
            }
            _ => {}
        }
    }

    /// Resets what is known of an upstream that has restarted.
    ///
    /// Runs of the previous incarnation have ended, but a start in flight may have reached the new one:
    /// runs that its next report does not list are lost.
    pub(crate) fn begin_incarnation(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        born_unix_ms: Option<u64>,
    ) {
        self.report_crash(now, upstream_key, "restarted");
        let next_order = self.next_order_id();
        let upstream = &mut self.upstreams[upstream_key];
        upstream.crash_evidence = CrashEvidence::default();
        let id = &upstream.listed.id;
        tracing::warn!(upstream = %id, ?born_unix_ms, "upstream restarted");
        upstream.born_unix_ms = born_unix_ms;
        upstream.incarnation_since = next_order;
        upstream.raise_fence();
        upstream.acknowledged_end = 0;
        upstream.furthest_clock = None;
        upstream.contact = Contact::TakingOver;
        upstream.unclaimed_runs.clear();
        upstream.unclaimed_ends.clear();
        for leased in upstream.runs.values_mut() {
            leased.has_seen_restart = true;
        }
    }

    /// Handles an upstream at whose address another one answers: all its runs are lost.
    pub(crate) fn on_upstream_replaced(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        self.report_crash(now, upstream_key, "replaced");
        self.on_all_runs_lost(upstream_key, "upstream_replaced");
        self.mark_unreachable(now, upstream_key);
    }

    /// Relinquishes an upstream that another instance owns under this fence, if it is the higher one.
    pub(crate) fn relinquish_upstream(&mut self, now: Timestamp, id: &str, fence: u64) {
        let Some(upstream_key) = self.by_id.get(id).copied() else {
            return;
        };
        if self.upstreams[upstream_key].fence < fence {
            self.relinquish_to_newer_owner(now, upstream_key);
        }
    }

    /// Relinquishes an upstream to the instance that owns it under a higher fence: hands its runs over,
    /// except starts in flight, whose answers tell whether they run.
    pub(crate) fn relinquish_to_newer_owner(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
    ) {
        let Some(upstream) = self.remove(upstream_key) else {
            return;
        };
        let id = upstream.listed.id.clone();
        let (fence, version) = (upstream.fence, upstream.roster_version());
        let runs = upstream.runs.len();
        tracing::warn!(upstream = %id, fence, runs, "upstream has a newer owner");
        self.relinquished.insert(id, version);
        self.possibly_running.retain(|_, until| *until > now);
        let starts = self
            .orders
            .iter()
            .filter_map(|(order, pending)| match pending.kind {
                PendingKind::Start(run) if pending.upstream == upstream_key => Some((run, *order)),
                _ => None,
            });
        let starts: IndexMap<RunId, OrderId> = starts.collect();
        for (run, leased) in upstream.runs {
            if let Some(dropped) = leased.dropped {
                let ends_at = now + self.max_run_under_newer_owner();
                self.possibly_running.insert(dropped.batch, ends_at);
            }
            let Some(task) = leased.task else {
                continue;
            };
            let upstream = upstream.listed.id.clone();
            match starts.get(&run) {
                // The answer will tell whether the run started.
                Some(order) if leased.phase == RunPhase::Starting => {
                    let superseded = SupersededStart { task, upstream };
                    self.superseded_starts.insert(*order, superseded);
                }
                _ => self.hand_over(now, task, &upstream),
            }
        }
    }
}
