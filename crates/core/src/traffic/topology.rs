//! The availability zones of the deployment and their regions.

use std::collections;

use crate::name;

/// The region of each availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    zones: collections::BTreeMap<name::Zone, name::Region>,
}

impl Topology {
    /// Creates a topology from availability zones with their regions.
    #[must_use]
    pub fn new(zones: impl IntoIterator<Item = (name::Zone, name::Region)>) -> Self {
        Self {
            zones: zones.into_iter().collect(),
        }
    }

    /// Returns the region of an availability zone, if the zone is known.
    #[must_use]
    pub fn region(&self, zone: &name::Zone) -> Option<&name::Region> {
        self.zones.get(zone)
    }

    /// Returns every region once, in order of their names.
    #[must_use]
    pub fn regions(&self) -> Vec<&name::Region> {
        let all: collections::BTreeSet<_> = self.zones.values().collect();
        all.into_iter().collect()
    }

    /// Returns the ratio of all availability zones that are in a region.
    #[must_use]
    pub fn zone_ratio(&self, region: &name::Region) -> f64 {
        let count = |zones: usize| f64::from(u32::try_from(zones).unwrap_or(u32::MAX));
        count(self.zones(region).count()) / count(self.zones.len().max(1))
    }

    /// Returns the availability zones of a region.
    pub fn zones<'a>(&'a self, region: &'a name::Region) -> impl Iterator<Item = &'a name::Zone> {
        let all = self.zones.iter();
        all.filter(move |(_zone, of)| *of == region)
            .map(|(zone, _of)| zone)
    }
}
