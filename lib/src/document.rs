//! The operators' document: the whole intended state of one firm's site.

use almondhead_macros::document;

use crate::data_centre::DataCentre;
use crate::instance::Instance;
use crate::policies::Policies;
use crate::service::Service;
use crate::team::Team;
use crate::upstream::Upstream;

/// The whole intended state: what runs where, who may use it, and what leaves when.
///
/// Names are unique within each list; references between lists are by name. The
/// checker in [`crate::check`] enforces both.
#[document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The name of the firm that operates the site.
    pub firm: String,
    /// The policies by which every entry instance decides.
    #[serde(default)]
    pub policies: Policies,
    /// The data centres and the one-way times between them.
    pub data_centres: Vec<DataCentre>,
    /// The entry instances that are meant to run.
    #[serde(default)]
    pub instances: Vec<Instance>,
    /// The services that callers may submit tasks to.
    pub services: Vec<Service>,
    /// The upstreams that run the tasks of the services.
    pub upstreams: Vec<Upstream>,
    /// The teams that share the services, with their quotas.
    pub teams: Vec<Team>,
}
