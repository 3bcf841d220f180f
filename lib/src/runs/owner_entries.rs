//! How an owner follows the entries of its upstreams.

use std::sync::Arc;

use super::held_batch::TaskIndex;
use super::listed_upstream::ListedUpstream;
use super::owner::Owner;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_message::NotStarted;
use super::run_message::RunEnd;
use crate::time::Timestamp;

impl Owner {
    /// Replaces the entry of an upstream, which may be that of a later incarnation.
    pub(crate) fn update_listed(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        listed: &Arc<ListedUpstream>,
    ) {
        let upstream = &mut self.upstreams[upstream_key];
        upstream.is_released = false;
        if upstream.listed == *listed {
            return;
        }
        if upstream.listed.draining != listed.draining {
            tracing::info!(upstream = %listed.id, draining = listed.draining, "upstream draining changed");
        }
        if !upstream.listed.is_alike(listed) {
            tracing::info!(upstream = %listed.id, labels = ?listed.labels, "upstream restarted as another kind");
            self.has_changed_kinds = true;
        }
        upstream.listed = listed.clone();
        upstream.is_evacuated = self.evacuated.contains(&listed.data_centre);
        if upstream.born_unix_ms.is_some() && listed.born_unix_ms > upstream.born_unix_ms {
            self.begin_incarnation(now, upstream_key, listed.born_unix_ms);
            self.renew(now, upstream_key);
        }
    }

    /// Returns the queued tasks to their homes that no upstream here could run any more, once one has
    /// started again as another kind.
    pub(crate) fn return_unservable(&mut self) {
        if !std::mem::take(&mut self.has_changed_kinds) {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        let (kept, returned): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .partition(|(batch_key, task)| self.is_servable(*batch_key, *task));
        self.queue = kept;
        for (batch_key, task) in returned {
            self.report(batch_key, task, RunEnd::NotStarted(NotStarted::NoUpstream));
        }
    }

    /// Whether an upstream here could run a queued task by its entry; also while an entry is unknown.
    fn is_servable(&self, batch_key: HeldBatchKey, task: TaskIndex) -> bool {
        let Some(batch) = self.batches.get(batch_key) else {
            return false;
        };
        let demand = batch.step_demand(task);
        let label = demand.required_label.as_deref();
        self.upstreams.values().any(|upstream| {
            let listed = &upstream.listed;
            let is_suitable = listed.service == batch.service
                && demand.resources.fits(listed.capacity)
                && label.is_none_or(|label| listed.has_label(label));
            !upstream.is_released && (is_suitable || !upstream.has_current_entry())
        })
    }
}
