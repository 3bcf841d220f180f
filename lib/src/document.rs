//! The document that operators write: the complete intended state of one firm's site.

use almondhead_macros::document;

use crate::data_centre::DataCentre;
use crate::document_limits::MAX_DATA_CENTRES;
use crate::document_limits::MAX_INSTANCES;
use crate::document_limits::MAX_NAME_CHARS;
use crate::document_limits::MAX_SERVICES;
use crate::document_limits::MAX_TEAMS;
use crate::document_limits::MAX_UPSTREAMS;
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
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub firm: String,
    /// The policies by which every entry instance decides.
    #[serde(default)]
    pub policies: Policies,
    /// The data centres and the one-way times between them.
    #[schemars(length(min = 1, max = MAX_DATA_CENTRES))]
    pub data_centres: Vec<DataCentre>,
    /// The entry instances that are meant to run.
    #[serde(default)]
    #[schemars(length(max = MAX_INSTANCES))]
    pub instances: Vec<Instance>,
    /// The services that callers may submit tasks to.
    #[schemars(length(max = MAX_SERVICES))]
    pub services: Vec<Service>,
    /// The upstreams that run the tasks of the services.
    #[schemars(length(max = MAX_UPSTREAMS))]
    pub upstreams: Vec<Upstream>,
    /// The teams that share the services, with their quotas.
    #[schemars(length(max = MAX_TEAMS))]
    pub teams: Vec<Team>,
}
