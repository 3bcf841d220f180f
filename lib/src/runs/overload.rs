//! What is delayed or refused when upstreams have too little capacity.

pub(crate) mod caller_cost;
pub(crate) mod free_for_tasks;
mod policy;
mod recent_tasks;
pub(crate) mod recent_work;
pub(crate) mod return_spread;
pub(crate) mod task_size;

pub use policy::OverloadPolicy;
