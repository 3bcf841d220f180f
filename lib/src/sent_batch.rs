//! The batches of tasks that were forwarded to siblings.

use indexmap::IndexMap;

use crate::id::BatchId;
use crate::id::TaskId;
use crate::keys::JobKey;
use crate::keys::SiblingKey;

/// A batch that was sent to a sibling and has not ended.
#[derive(Debug)]
pub(crate) struct SentBatch {
    pub(crate) job: JobKey,
    /// The index in the job of each of its tasks that have not ended.
    pub(crate) open: IndexMap<TaskId, u32>,
}

/// All batches that have not ended, by receiving sibling and number.
#[derive(Debug, Default)]
pub(crate) struct SentBatches {
    batches: IndexMap<(SiblingKey, BatchId), SentBatch>,
}

impl SentBatches {
    pub(crate) fn insert(&mut self, sibling: SiblingKey, batch: BatchId, sent: SentBatch) {
        self.batches.insert((sibling, batch), sent);
    }

    pub(crate) fn get_mut(
        &mut self,
        sibling: SiblingKey,
        batch: BatchId,
    ) -> Option<&mut SentBatch> {
        self.batches.get_mut(&(sibling, batch))
    }

    pub(crate) fn remove(&mut self, sibling: SiblingKey, batch: BatchId) -> Option<SentBatch> {
        self.batches.swap_remove(&(sibling, batch))
    }

    /// Removes all batches sent to a sibling.
    pub(crate) fn remove_all_of(&mut self, sibling: SiblingKey) -> Vec<SentBatch> {
        let of_sibling = |(key, _): &(SiblingKey, BatchId)| *key == sibling;
        let keys: Vec<_> = self.batches.keys().copied().filter(of_sibling).collect();
        keys.iter()
            .filter_map(|key| self.batches.swap_remove(key))
            .collect()
    }

    /// Removes all batches of a job and returns their siblings and numbers.
    pub(crate) fn remove_of_job(&mut self, job: JobKey) -> Vec<(SiblingKey, BatchId)> {
        let batches = self.batches.iter();
        let keys: Vec<_> = batches
            .filter(|(_, sent)| sent.job == job)
            .map(|(key, _)| *key)
            .collect();
        for key in &keys {
            self.batches.swap_remove(key);
        }
        keys
    }
}
