//! Where an instance learned a fact of the platform's store, for logs.

use std::sync::Arc;

use almondhead_macros::value;
use derive_more::Display;

/// Where an instance learned what is stored.
#[value]
#[derive(Default, Display)]
pub(crate) enum FactOrigin {
    /// Nowhere yet.
    #[default]
    #[display("nowhere")]
    Unknown,
    /// From the store.
    #[display("store")]
    Store,
    /// From another instance.
    #[display("{_0}")]
    Instance(Arc<str>),
}
