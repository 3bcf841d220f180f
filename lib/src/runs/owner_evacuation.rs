//! How an owner treats upstreams in evacuated data centres: their runs go on, and nothing new starts there.

use super::evacuation::EvacuatedDataCentres;
use super::held_batch::TaskIndex;
use super::owner::Owner;
use super::run_id::HeldBatchKey;
use super::run_message::NotStarted;
use super::run_message::RunEnd;

impl Owner {
    /// Takes over a changed set of evacuated data centres.
    pub(crate) fn set_evacuated(&mut self, evacuated: EvacuatedDataCentres) {
        for upstream in self.upstreams.values_mut() {
            let is_evacuated = evacuated.contains(&upstream.listed.data_centre);
            if upstream.is_evacuated != is_evacuated {
                upstream.is_evacuated = is_evacuated;
                let (upstream, runs) = (&upstream.listed.id, upstream.runs.len());
                tracing::info!(%upstream, runs, is_evacuated, "upstream evacuation changed");
            }
        }
        self.evacuated = evacuated;
        self.mark_dirty();
    }

    /// Returns the queued tasks to their homes that only evacuated upstreams here could run.
    pub(crate) fn return_evacuated(&mut self) {
        if !self
            .upstreams
            .values()
            .any(|upstream| upstream.is_evacuated)
        {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        let (returned, kept) = queue
            .into_iter()
            .partition(|(batch_key, task)| self.has_only_evacuated(*batch_key, *task));
        self.queue = kept;
        let returned: Vec<(HeldBatchKey, TaskIndex)> = returned;
        if !returned.is_empty() {
            let tasks = returned.len();
            tracing::info!(tasks, "queued tasks returned: data centre evacuated");
        }
        for (batch_key, task) in returned {
            self.report(batch_key, task, RunEnd::NotStarted(NotStarted::NoUpstream));
        }
    }

    fn has_only_evacuated(&self, batch_key: HeldBatchKey, task: TaskIndex) -> bool {
        let Some(batch) = self.batches.get(batch_key) else {
            return false;
        };
        let demand = batch.step_demand(task);
        let label = demand.required_label.as_deref();
        let suitable = self.upstreams.values().filter(|upstream| {
            !upstream.is_released
                && !upstream.listed.draining
                && upstream.has_current_entry()
                && upstream.listed.service == batch.service
                && demand.resources.fits(upstream.listed.capacity)
                && label.is_none_or(|label| upstream.listed.has_label(label))
        });
        let mut suitable = suitable.peekable();
        suitable.peek().is_some() && suitable.all(|upstream| upstream.is_evacuated)
    }
}
