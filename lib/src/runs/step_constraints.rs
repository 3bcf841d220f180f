//! The constraints on which upstreams and owners may get the tasks of a step, as its home knows
//! them.

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::job_spec::StepSpec;
use super::listed_upstream::ListedUpstream;
use super::owner_choice::OwnerRef;
use super::run_digest::name_hash;

/// Where the tasks of one step may be placed; by default anywhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepConstraints {
    /// The upstreams with the required label, by the hashes of their names; none when the step
    /// requires no label.
    labelled: Option<IndexSet<u32>>,
    /// The upstreams in the rack that holds the step's data; none when the step names no rack.
    near_data: Option<IndexSet<u32>>,
    /// How many more tasks each owner can get; none when the step bounds neither its upstreams nor
    /// its tasks on each.
    remaining: Option<IndexMap<OwnerRef, u32>>,
}

impl StepConstraints {
    /// The constraints of a step, from the upstreams of its service with their owners.
    ///
    /// `placed` are the owners of the step's placed tasks, one for each task.
    pub(crate) fn new<'a>(
        step: &StepSpec,
        upstreams: impl Iterator<Item = (&'a ListedUpstream, Option<OwnerRef>)>,
        placed: impl Iterator<Item = OwnerRef>,
    ) -> Self {
        let label = step.required_label.as_deref();
        let rack = step.data_rack.as_deref();
        let max_tasks = step.max_tasks_per_upstream.unwrap_or(u32::MAX);
        let mut labelled = IndexSet::new();
        let mut near_data = IndexSet::new();
        let mut remaining: IndexMap<OwnerRef, u32> = IndexMap::new();
        for (upstream, owner) in upstreams {
            if rack.is_some_and(|rack| upstream.has_label(rack)) {
                near_data.insert(name_hash(&upstream.id));
            }
            if !label.is_none_or(|label| upstream.has_label(label)) {
                continue;
            }
            labelled.insert(name_hash(&upstream.id));
            let can_take = !upstream.draining && step.resources.fits(upstream.capacity);
            if let Some(owner) = owner.filter(|_| can_take) {
                let remaining = remaining.entry(owner).or_default();
                *remaining = remaining.saturating_add(max_tasks);
            }
        }
        for owner in placed.filter(|_| step.max_tasks_per_upstream.is_some()) {
            if let Some(remaining) = remaining.get_mut(&owner) {
                *remaining = remaining.saturating_sub(1);
            }
        }
        let is_bounded = label.is_some() || step.max_tasks_per_upstream.is_some();
        StepConstraints {
            labelled: label.map(|_| labelled),
            near_data: rack.map(|_| near_data),
            remaining: is_bounded.then_some(remaining),
        }
    }

    /// Whether a step asks for anything that not all upstreams satisfy equally.
    pub(crate) fn is_needed(step: &StepSpec) -> bool {
        step.required_label.is_some()
            || step.data_rack.is_some()
            || step.max_tasks_per_upstream.is_some()
    }

    /// Whether an owner can get one more task.
    pub(crate) fn has_remaining(&self, owner: OwnerRef) -> bool {
        let remaining = self.remaining.as_ref();
        remaining.is_none_or(|remaining| {
            remaining
                .get(&owner)
                .is_some_and(|remaining| *remaining > 0)
        })
    }

    /// Counts a task that is placed at an owner.
    pub(crate) fn count_task(&mut self, owner: OwnerRef) {
        if let Some(remaining) = self
            .remaining
            .as_mut()
            .and_then(|remaining| remaining.get_mut(&owner))
        {
            *remaining = remaining.saturating_sub(1);
        }
    }

    /// Whether the upstream with this name hash has the required label.
    pub(crate) fn allows(&self, upstream: u32) -> bool {
        let labelled = self.labelled.as_ref();
        labelled.is_none_or(|labelled| labelled.contains(&upstream))
    }

    /// Whether the upstream with this name hash is outside the rack that holds the step's data.
    pub(crate) fn is_far_from_data(&self, upstream: u32) -> bool {
        let near = self.near_data.as_ref();
        near.is_some_and(|near| !near.contains(&upstream))
    }
}
