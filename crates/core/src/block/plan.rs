//! Which sites serve each group of clients, in order of preference.

use super::Group;

/// Sites that a plan names for each group.
pub const SITES_PER_GROUP: usize = 4;

/// Index of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Site(u16);

impl Site {
    /// Creates a site from its index.
    #[must_use]
    pub const fn new(index: u16) -> Self {
        Self(index)
    }

    /// Returns the index.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// The sites of every group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    sites: Vec<[Site; SITES_PER_GROUP]>,
}

impl Plan {
    /// Creates a plan that sends every group to the first site.
    #[must_use]
    pub fn new(groups: u16) -> Self {
        Self {
            sites: vec![[Site::default(); SITES_PER_GROUP]; usize::from(groups)],
        }
    }

    /// Changes the sites of one group; an unknown group is ignored.
    pub fn set(&mut self, group: Group, sites: [Site; SITES_PER_GROUP]) {
        if let Some(slot) = self.sites.get_mut(usize::from(group.get())) {
            *slot = sites;
        }
    }

    /// Returns the sites of a group, the best first.
    #[must_use]
    pub fn get(&self, group: Group) -> Option<&[Site; SITES_PER_GROUP]> {
        self.sites.get(usize::from(group.get()))
    }
}
