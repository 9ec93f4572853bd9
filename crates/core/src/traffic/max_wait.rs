//! How much a request may lengthen the wait of more urgent ones.

use std::collections;
use std::time;

use crate::name;

use super::pool;
use super::processing_time;
use super::rules;

/// Part of a more urgent request's spare time that less urgent ones may fill.
const YIELDED_PART: f64 = 0.4;

/// Returns the longest wait that requests of each rank may add to.
///
/// A less urgent request may fill only a part of the time that the more urgent
/// ones of the service can spare.
pub(super) fn by_priority(
    rules: Option<&rules::Rules>,
    service: &name::Service,
    pool: &pool::Pool,
) -> collections::BTreeMap<u8, time::Duration> {
    let mut spare: collections::BTreeMap<u8, time::Duration> = collections::BTreeMap::new();
    let routes = rules.into_iter().flat_map(|rules| rules.routes_to(service));
    for route in routes {
        let work = pool
            .times(&route.name)
            .expected(processing_time::Warmth::Known, route.objective);
        let left = route.objective.saturating_sub(work);
        let least = spare.entry(route.priority).or_insert(left);
        *least = (*least).min(left);
    }
    let ranks: Vec<u8> = spare.keys().copied().collect();
    let limits = ranks.iter().filter_map(|rank| {
        let urgent = spare.range(..rank).map(|(_rank, left)| *left).min()?;
        Some((*rank, urgent.mul_f64(YIELDED_PART)))
    });
    limits.collect()
}
