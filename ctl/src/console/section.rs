//! The lists of the document that the console shows.

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

    /// Returns the list's key in the document, which is also its name in URL paths.
    pub(crate) fn key(self) -> &'static str {
        match self {
            Self::Services => "services",
            Self::DataCentres => "data_centres",
            Self::Instances => "instances",
            Self::Upstreams => "upstreams",
            Self::Teams => "teams",
        }
    }

    /// Returns the heading of the list.
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::Services => "Services",
            Self::DataCentres => "Data centres",
            Self::Instances => "Entry instances",
            Self::Upstreams => "Upstreams",
            Self::Teams => "Teams",
        }
    }

    /// Returns the term for one element of the list.
    pub(crate) fn singular(self) -> &'static str {
        match self {
            Self::Services => "service",
            Self::DataCentres => "data centre",
            Self::Instances => "entry instance",
            Self::Upstreams => "upstream",
            Self::Teams => "team",
        }
    }

    /// Returns the section with this key in the document.
    pub(crate) fn parse(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.key() == key)
    }

    /// Returns the JSON pointer of the list.
    pub(crate) fn pointer(self) -> String {
        format!("/{}", self.key())
    }
}
