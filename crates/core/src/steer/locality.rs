//! Localities: groups of targets that are equally near to an entry host.

use std::time;

use crate::catalog;
use crate::name;
use crate::record;

use super::tier;

/// Group of a service's targets in one region at one distance, by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Distance class of the targets.
    pub nearness: tier::Nearness,
    /// Region of the targets.
    pub region: name::Region,
    /// One-way delay to the targets, in microseconds.
    pub delay: u32,
    /// Indexes of all targets of the group.
    pub targets: Vec<u32>,
    /// Indexes of the targets that accept new requests.
    pub usable: Vec<u32>,
}

impl Locality {
    /// Groups a service's targets by distance to an availability zone, nearest first.
    #[must_use]
    pub fn group(
        catalog: &catalog::Catalog,
        zone: &name::Zone,
        targets: &[&record::Target],
    ) -> Vec<Self> {
        let mut localities: Vec<Self> = Vec::new();
        for (index, target) in (0..).zip(targets) {
            let Some((nearness, region, delay)) = locate(catalog, zone, &target.zone) else {
                continue;
            };
            let existing = localities
                .iter_mut()
                .find(|locality| locality.nearness == nearness && locality.region == *region);
            match existing {
                Some(locality) => locality.targets.push(index),
                None => localities.push(Self {
                    nearness,
                    region: region.clone(),
                    delay,
                    targets: vec![index],
                    usable: Vec::new(),
                }),
            }
        }
        localities.sort_by(|a, b| {
            (a.nearness, a.delay, &a.region).cmp(&(b.nearness, b.delay, &b.region))
        });
        localities
    }
}

fn locate<'a>(
    catalog: &'a catalog::Catalog,
    from: &name::Zone,
    to: &name::Zone,
) -> Option<(tier::Nearness, &'a name::Region, u32)> {
    let own_region = catalog.zones.get(from)?;
    let region = catalog.zones.get(to)?;
    if from == to {
        return Some((tier::Nearness::SameZone, region, 0));
    }
    if own_region == region {
        let delay = catalog
            .regions
            .get(region)
            .map_or(0, |region| micros(region.delay.get()));
        return Some((tier::Nearness::SameRegion, region, delay));
    }
    let link = catalog
        .links
        .iter()
        .find(|link| link.between.contains(own_region) && link.between.contains(region))?;
    Some((
        tier::Nearness::OtherRegion,
        region,
        micros(link.delay.get()),
    ))
}

fn micros(span: time::Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
