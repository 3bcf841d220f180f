//! The parts of the document that have forms.

use almondhead_macros::key;

/// A list of the document whose elements have a form each.
#[key]
pub(crate) enum Section {
    /// The services.
    Services,
    /// The data centres.
    DataCentres,
    /// The entry instances.
    Instances,
    /// The upstreams.
    Upstreams,
    /// The teams.
    Teams,
}

impl Section {
    /// Every section, in the order of the navigation.
    pub(crate) const ALL: [Self; 5] = [
        Self::Services,
        Self::DataCentres,
        Self::Instances,
        Self::Upstreams,
        Self::Teams,
    ];

    /// The list's key in the document, also its name in addresses.
    pub(crate) fn list(self) -> &'static str {
        match self {
            Self::Services => "services",
            Self::DataCentres => "data_centres",
            Self::Instances => "instances",
            Self::Upstreams => "upstreams",
            Self::Teams => "teams",
        }
    }

    /// The heading of the list.
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::Services => "Services",
            Self::DataCentres => "Data centres",
            Self::Instances => "Entry instances",
            Self::Upstreams => "Upstreams",
            Self::Teams => "Teams",
        }
    }

    /// One element of the list.
    pub(crate) fn singular(self) -> &'static str {
        match self {
            Self::Services => "service",
            Self::DataCentres => "data centre",
            Self::Instances => "entry instance",
            Self::Upstreams => "upstream",
            Self::Teams => "team",
        }
    }

    /// The section of a list's key.
    pub(crate) fn parse(list: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.list() == list)
    }

    /// The JSON pointer of the list.
    pub(crate) fn pointer(self) -> String {
        format!("/{}", self.list())
    }
}
