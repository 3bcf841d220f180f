//! The owner's side of runs: queues the tasks that homes place, starts them on the upstreams that
//! this instance owns, and reports how they end.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use slotmap::SlotMap;

use super::crash_report::CrashReport;
use super::evacuation::EvacuatedDataCentres;
use super::held_batch::HeldBatch;
use super::held_batch::TaskIndex;
use super::held_queue::LeastSlack;
use super::held_queue::QueueRanking;
use super::lease_bound::LeaseBound;
use super::leased_upstream::LeasedUpstream;
use super::listed_upstream::ListedUpstream;
use super::listing_knowledge::ListingKnowledge;
use super::overload::caller_cost::CallerCost;
use super::overload::recent_work::RecentWork;
use super::requester_contacts::RequesterContacts;
use super::resources::Resources;
use super::run_action::RunAction;
use super::run_digest::FreeUpstream;
use super::run_digest::LoadSummary;
use super::run_digest::RunLoad;
use super::run_digest::add_backlog;
use super::run_digest::name_hash;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_message::EndedRun;
use super::run_message::FoundEnd;
use super::upstream_choice::SlowestInTime;
use super::upstream_choice::UpstreamChoice;
use crate::ejection_gate::EjectionGate;
use crate::id::Incarnation;
use crate::time::Timestamp;
use crate::timer::TimerService;

/// The timers of an owner.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OwnerTimer {
    /// Send the next renew order to the upstream.
    Renew(LeasedUpstreamKey),
    /// Report the runs there as lost if the upstream is still unreachable and its leases have expired.
    LeaseExpiry(LeasedUpstreamKey),
    /// Stop the announced runs there that no home has claimed.
    ClaimTimeout(LeasedUpstreamKey),
    /// Order the run to stop again: the last stop was not carried out.
    StopRetry(LeasedUpstreamKey, RunId),
    /// Poll the upstream for the progress of a run that has just begun.
    Probe(LeasedUpstreamKey),
    /// A run that started at this time should have ended: poll the upstream if it has sent no report
    /// since.
    EndExpected(LeasedUpstreamKey, Timestamp),
    /// Make another pass through the queue: an upstream may take tasks again, or a queued task has
    /// waited too long.
    Dispatch,
}

/// What an owner reports to homes.
#[derive(Debug)]
pub(crate) enum OwnerNotice {
    /// Tasks of a batch ended, for the home that placed them.
    Ends {
        home: Incarnation,
        batch: u64,
        ends: Vec<EndedRun>,
    },
    /// Runs that this instance did not start were found on an upstream, for all homes.
    Found {
        upstream: Arc<str>,
        fence: u64,
        running: Vec<RunId>,
        ended: Vec<FoundEnd>,
    },
    /// An upstream crashed, for all instances.
    Crash(CrashReport),
}

/// An order that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) upstream: LeasedUpstreamKey,
    pub(crate) sent_at: Timestamp,
    pub(crate) kind: PendingKind,
}

/// A start in flight to an upstream that has a newer owner by now.
#[derive(Debug)]
pub(crate) struct SupersededStart {
    pub(crate) task: (HeldBatchKey, TaskIndex),
    pub(crate) upstream: Arc<str>,
}

/// What an unanswered order asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PendingKind {
    Start(RunId),
    Stop(RunId),
    Renew,
    /// A renew order that extends no lease and is answered at once, sent beside the waiting one.
    Probe,
}

/// The upstreams that this instance owns and the batches that it holds for homes.
#[derive(Debug)]
pub(crate) struct Owner {
    /// How long leases may last.
    pub(crate) lease_bound: LeaseBound,
    /// The number of orders whose lease lasted longer.
    pub(crate) unbounded_leases: u64,
    pub(crate) upstreams: SlotMap<LeasedUpstreamKey, LeasedUpstream>,
    pub(crate) by_id: IndexMap<Arc<str>, LeasedUpstreamKey>,
    pub(crate) batches: SlotMap<HeldBatchKey, HeldBatch>,
    /// The held batches by home and number.
    pub(crate) by_number: IndexMap<(Incarnation, u64), HeldBatchKey>,
    /// The highest number of an accepted batch, by home.
    pub(crate) highest_taken: IndexMap<Incarnation, u64>,
    /// How recently each requester was heard of.
    pub(crate) requesters: RequesterContacts,
    /// The tasks that wait for free capacity.
    pub(crate) queue: Vec<(HeldBatchKey, TaskIndex)>,
    /// Batches with runs that may go on under a newer owner, and when these must have ended.
    pub(crate) possibly_running: IndexMap<(Incarnation, u64), Timestamp>,
    /// The orders that are not answered yet.
    pub(crate) orders: IndexMap<OrderId, PendingOrder>,
    /// Starts in flight to upstreams that have a newer owner.
    pub(crate) superseded_starts: IndexMap<OrderId, SupersededStart>,
    pub(crate) next_order_id: u64,
    /// Upstreams relinquished to a newer owner, with the roster version of the lost ownership; only a
    /// newer roster makes this instance their owner again.
    pub(crate) relinquished: IndexMap<Arc<str>, u64>,
    /// The data centres on whose upstreams nothing new starts.
    pub(crate) evacuated: EvacuatedDataCentres,
    /// Which changes of the upstreams' entries are known, for logs.
    pub(crate) known_listing: ListingKnowledge,
    pub(crate) ranking: Box<dyn QueueRanking>,
    /// The ranking of tasks of the services in `by_priority`.
    pub(crate) cost_ranking: Box<dyn QueueRanking>,
    /// The services whose overload is handled by the priorities of their queues.
    pub(crate) by_priority: IndexSet<Arc<str>>,
    /// The work that lately came in for these services.
    pub(crate) recent_demand: RecentWork,
    /// The work that was lately started for them.
    pub(crate) recent_starts: RecentWork,
    pub(crate) choice: Box<dyn UpstreamChoice>,
    pub(crate) timers: TimerService<OwnerTimer>,
    pub(crate) actions: Vec<RunAction>,
    pub(crate) notices: Vec<OwnerNotice>,
    pub(crate) is_leaving: bool,
    /// Whether the queue needs another pass: something changed that may let a task start.
    pub(crate) is_dirty: bool,
    /// Whether an upstream started again as another kind since the last pass.
    pub(crate) has_changed_kinds: bool,
}

impl Owner {
    pub(crate) fn new(lease_bound: LeaseBound) -> Self {
        Owner {
            lease_bound,
            unbounded_leases: 0,
            upstreams: SlotMap::with_key(),
            by_id: IndexMap::new(),
            batches: SlotMap::with_key(),
            by_number: IndexMap::new(),
            highest_taken: IndexMap::new(),
            requesters: RequesterContacts::default(),
            queue: Vec::new(),
            possibly_running: IndexMap::new(),
            orders: IndexMap::new(),
            superseded_starts: IndexMap::new(),
            next_order_id: 1,
            relinquished: IndexMap::new(),
            evacuated: EvacuatedDataCentres::default(),
            known_listing: ListingKnowledge::default(),
            ranking: Box::new(LeastSlack),
            cost_ranking: Box::new(CallerCost),
            by_priority: IndexSet::new(),
            recent_demand: RecentWork::default(),
            recent_starts: RecentWork::default(),
            choice: Box::new(SlowestInTime),
            timers: TimerService::default(),
            actions: Vec::new(),
            notices: Vec::new(),
            is_leaving: false,
            is_dirty: false,
            has_changed_kinds: false,
        }
    }

    /// Takes over the assigned upstreams that are not owned yet, and releases the others.
    ///
    /// `version` is the version of the roster that the assignment is derived from. Fences are derived
    /// from it, so that upstreams refuse the orders of former owners.
    pub(crate) fn reassign(
        &mut self,
        now: Timestamp,
        assigned: &[Arc<ListedUpstream>],
        version: u64,
    ) {
        for listed in assigned {
            match self.by_id.get(&listed.id) {
                Some(upstream_key) => self.update_listed(now, *upstream_key, listed),
                None => self.take_over(now, listed, version),
            }
        }
        let is_assigned = |id: &str| assigned.iter().any(|listed| &*listed.id == id);
        let others = self.by_id.iter().filter(|(id, _)| !is_assigned(id));
        let others: Vec<LeasedUpstreamKey> =
            others.map(|(_, upstream_key)| *upstream_key).collect();
        for upstream_key in others {
            self.release(upstream_key);
        }
        self.is_dirty = true;
    }

    fn take_over(&mut self, now: Timestamp, listed: &Arc<ListedUpstream>, version: u64) {
        if self
            .relinquished
            .get(&listed.id)
            .is_some_and(|relinquished| *relinquished >= version)
        {
            return;
        }
        self.relinquished.swap_remove(&listed.id);
        tracing::info!(upstream = %listed.id, roster_version = version, "upstream taken over");
        let mut upstream = LeasedUpstream::new(listed.clone(), version);
        upstream.is_evacuated = self.evacuated.contains(&listed.data_centre);
        let upstream_key = self.upstreams.insert(upstream);
        self.by_id.insert(listed.id.clone(), upstream_key);
        self.renew(now, upstream_key);
    }

    fn release(&mut self, upstream_key: LeasedUpstreamKey) {
        let upstream = &mut self.upstreams[upstream_key];
        if !upstream.is_released {
            upstream.is_released = true;
            let runs = upstream.runs.len();
            tracing::info!(upstream = %upstream.listed.id, runs, "upstream released");
        }
        self.drop_if_released(upstream_key);
    }

    /// Removes a released upstream once none of this owner's runs is left there.
    pub(crate) fn drop_if_released(&mut self, upstream_key: LeasedUpstreamKey) {
        let upstream = &self.upstreams[upstream_key];
        if upstream.is_released && upstream.runs.is_empty() {
            self.remove(upstream_key);
        }
    }

    pub(crate) fn remove(&mut self, upstream_key: LeasedUpstreamKey) -> Option<LeasedUpstream> {
        let upstream = self.upstreams.remove(upstream_key)?;
        self.by_id.swap_remove(&upstream.listed.id);
        self.is_dirty = true;
        Some(upstream)
    }

    /// Releases an upstream that is no longer listed: nothing new starts there, and its runs are
    /// followed to their ends.
    pub(crate) fn release_unlisted(&mut self, id: &str) {
        if let Some(upstream_key) = self.by_id.get(id).copied() {
            self.release(upstream_key);
        }
    }

    /// The id of the next order. Reports that answer this order or a later one include everything that
    /// upstreams have confirmed so far.
    pub(crate) fn next_order_id(&self) -> OrderId {
        OrderId(self.next_order_id)
    }

    /// Makes the next [`Self::start_queued`] pass through the queue.
    pub(crate) fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Reverts the ejections of a service's upstreams that the ejection gate does not allow.
    pub(crate) fn review_ejections(&mut self, now: Timestamp, service: &str) {
        let of_service = self.upstreams.values_mut();
        let of_service = of_service.filter(|upstream| &*upstream.listed.service == service);
        EjectionGate.review(now, of_service.map(|upstream| &mut upstream.health));
    }

    /// The load of each service with usable upstreams here; none while leaving.
    pub(crate) fn loads(&self, now: Timestamp) -> Vec<RunLoad> {
        let mut loads: IndexMap<Arc<str>, RunLoad> = IndexMap::new();
        for upstream in self.upstreams.values() {
            if !upstream.is_usable() || self.is_leaving {
                continue;
            }
            let service = upstream.listed.service.clone();
            let load = loads.entry(service.clone()).or_insert_with(|| RunLoad {
                service,
                free: Vec::new(),
                total: Resources::default(),
                queued_core_ms: 0,
                queued_tasks: 0,
                backlog: Vec::new(),
            });
            load.total += upstream.listed.capacity;
            if upstream.can_take_work(now) {
                load.free.push(FreeUpstream {
                    name_hash: name_hash(&upstream.listed.id),
                    free_resources: upstream.free(),
                    slowness_percent: upstream.speed.slowness_percent(),
                });
            }
        }
        for (batch_key, task) in &self.queue {
            let batch = &self.batches[*batch_key];
            if let Some(load) = loads.get_mut(&batch.service) {
                load.queued_tasks = load.queued_tasks.saturating_add(1);
                load.queued_core_ms = load.queued_core_ms.saturating_add(batch.core_ms(*task));
                if self.by_priority.contains(&batch.service) {
                    add_backlog(&mut load.backlog, batch.priority, batch.core_ms(*task));
                }
            }
        }
        for load in loads.values_mut() {
            self.add_reserves(now, load);
        }
        loads.into_values().collect()
    }

    /// The figures that decide whether a changed load is reported, without the digest itself.
    pub(crate) fn load_summary(&self, now: Timestamp) -> LoadSummary {
        let mut summary = LoadSummary::default();
        if self.is_leaving {
            return summary;
        }
        let usable = || self.upstreams.values().filter(|up| up.is_usable());
        for upstream in usable() {
            let total = &mut summary.total_millicores;
            *total = total.saturating_add(upstream.listed.capacity.cpu_millicores);
            if upstream.can_take_work(now) {
                let free = &mut summary.free_millicores;
                *free = free.saturating_add(upstream.free().cpu_millicores);
            }
        }
        summary.has_queue = self.queue.iter().any(|(batch_key, _)| {
            let service = &self.batches[*batch_key].service;
            usable().any(|upstream| upstream.listed.service == *service)
        });
        summary
    }

    /// Whether no batch is held.
    pub(crate) fn is_idle(&self) -> bool {
        self.batches.is_empty()
    }

    /// The number of tasks that wait for free capacity.
    pub(crate) fn queued_tasks(&self) -> usize {
        self.queue.len()
    }
}
