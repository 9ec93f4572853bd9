//! Steering plan: the sites that serve each client group, in order of preference.

use super::Group;

/// Number of sites that a plan lists for each client group.
pub const SITES_PER_GROUP: usize = 4;

/// A site that serves clients, by its index.
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

/// The sites of every client group, in order of preference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    sites: Vec<[Site; SITES_PER_GROUP]>,
}

impl Plan {
    /// Creates a plan in which every group has only the site of index 0.
    #[must_use]
    pub fn new(groups: u16) -> Self {
        Self {
            sites: vec![[Site::default(); SITES_PER_GROUP]; usize::from(groups)],
        }
    }

    /// Sets the sites of one group; a group outside the plan is ignored.
    pub fn set(&mut self, group: Group, sites: [Site; SITES_PER_GROUP]) {
        if let Some(slot) = self.sites.get_mut(usize::from(group.get())) {
            *slot = sites;
        }
    }

    /// Returns the sites of a group, the most preferred first.
    #[must_use]
    pub fn get(&self, group: Group) -> Option<&[Site; SITES_PER_GROUP]> {
        self.sites.get(usize::from(group.get()))
    }
}
