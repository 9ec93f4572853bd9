//! The targets of one service that are equally near to an entry host.

use std::time;

use crate::catalog;
use crate::name;
use crate::record;

use super::tier;

/// A tier of a service's targets, by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// How near the targets are.
    pub nearness: tier::Nearness,
    /// Region of the targets.
    pub region: name::Region,
    /// One-way delay to the targets, in microseconds.
    pub delay: u32,
    /// All targets of the tier.
    pub targets: Vec<u32>,
    /// Those that may get new work.
    pub usable: Vec<u32>,
}

impl Locality {
    /// Groups a service's targets by nearness to an availability zone, nearest first.
    #[must_use]
    pub fn group(
        catalog: &catalog::Catalog,
        zone: &name::Zone,
        targets: &[&record::Target],
    ) -> Vec<Self> {
        let mut places: Vec<Self> = Vec::new();
        for (index, target) in (0..).zip(targets) {
            let Some((nearness, region, delay)) = distance(catalog, zone, &target.zone) else {
                continue;
            };
            let known = places
                .iter_mut()
                .find(|place| place.nearness == nearness && place.region == *region);
            match known {
                Some(place) => place.targets.push(index),
                None => places.push(Self {
                    nearness,
                    region: region.clone(),
                    delay,
                    targets: vec![index],
                    usable: Vec::new(),
                }),
            }
        }
        places.sort_by(|a, b| {
            (a.nearness, a.delay, &a.region).cmp(&(b.nearness, b.delay, &b.region))
        });
        places
    }
}

fn distance<'a>(
    catalog: &'a catalog::Catalog,
    from: &name::Zone,
    to: &name::Zone,
) -> Option<(tier::Nearness, &'a name::Region, u32)> {
    let home = catalog.zones.get(from)?;
    let region = catalog.zones.get(to)?;
    if from == to {
        return Some((tier::Nearness::SameZone, region, 0));
    }
    if home == region {
        let delay = catalog
            .regions
            .get(region)
            .map_or(0, |r| micros(r.delay.get()));
        return Some((tier::Nearness::SameRegion, region, delay));
    }
    let link = catalog
        .links
        .iter()
        .find(|link| link.between.contains(home) && link.between.contains(region))?;
    Some((
        tier::Nearness::OtherRegion,
        region,
        micros(link.delay.get()),
    ))
}

fn micros(span: time::Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
