//! Which upstreams and owners may take the tasks of a step, as its home sees it.

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::job_spec::StepSpec;
use super::listed_upstream::ListedUpstream;
use super::owner_choice::OwnerRef;
use super::run_digest::name_hash;

/// Where the tasks of one step may go; by default anywhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepConstraints {
    /// The upstreams that have the label, by their short names; none when any will do.
    labelled: Option<IndexSet<u32>>,
    /// The upstreams in the rack where the data is; none when there is no such rack.
    near_data: Option<IndexSet<u32>>,
    /// How many more tasks each owner can take; none when their upstreams do not bound it.
    left: Option<IndexMap<OwnerRef, u32>>,
}

impl StepConstraints {
    /// Works out the reach of a step from the upstreams of its service with their owners.
    ///
    /// `placed` are the owners of the step's tasks that have one.
    pub(crate) fn new<'a>(
        step: &StepSpec,
        upstreams: impl Iterator<Item = (&'a ListedUpstream, Option<OwnerRef>)>,
        placed: impl Iterator<Item = OwnerRef>,
    ) -> Self {
        let label = step.required_label.as_deref();
        let rack = step.data_rack.as_deref();
        let most = step.most_per_upstream.unwrap_or(u32::MAX);
        let mut labelled = IndexSet::new();
        let mut near_data = IndexSet::new();
        let mut left: IndexMap<OwnerRef, u32> = IndexMap::new();
        for (upstream, owner) in upstreams {
            if rack.is_some_and(|rack| upstream.has_label(rack)) {
                near_data.insert(name_hash(&upstream.id));
            }
            if !label.is_none_or(|label| upstream.has_label(label)) {
                continue;
            }
            labelled.insert(name_hash(&upstream.id));
            let can_take = !upstream.draining && step.demand.fits(upstream.capacity);
            if let Some(owner) = owner.filter(|_| can_take) {
                let left = left.entry(owner).or_default();
                *left = left.saturating_add(most);
            }
        }
        for owner in placed.filter(|_| step.most_per_upstream.is_some()) {
            if let Some(left) = left.get_mut(&owner) {
                *left = left.saturating_sub(1);
            }
        }
        let is_bounded = label.is_some() || step.most_per_upstream.is_some();
        StepConstraints {
            labelled: label.map(|_| labelled),
            near_data: rack.map(|_| near_data),
            left: is_bounded.then_some(left),
        }
    }

    /// Whether a step asks for anything that makes upstreams differ.
    pub(crate) fn is_needed(step: &StepSpec) -> bool {
        step.required_label.is_some()
            || step.data_rack.is_some()
            || step.most_per_upstream.is_some()
    }

    /// Whether an owner can take one more task.
    pub(crate) fn has_remaining(&self, owner: OwnerRef) -> bool {
        let left = self.left.as_ref();
        left.is_none_or(|left| left.get(&owner).is_some_and(|left| *left > 0))
    }

    /// Counts a task that an owner gets.
    pub(crate) fn count_task(&mut self, owner: OwnerRef) {
        if let Some(left) = self.left.as_mut().and_then(|left| left.get_mut(&owner)) {
            *left = left.saturating_sub(1);
        }
    }

    /// Whether the upstream of this short name has what the step asks for.
    pub(crate) fn allows(&self, upstream: u32) -> bool {
        let labelled = self.labelled.as_ref();
        labelled.is_none_or(|labelled| labelled.contains(&upstream))
    }

    /// Whether the upstream of this short name is away from the step's data.
    pub(crate) fn is_far_from_data(&self, upstream: u32) -> bool {
        let near = self.near_data.as_ref();
        near.is_some_and(|near| !near.contains(&upstream))
    }
}
