//! Limits on the delay that less urgent requests may add to more urgent ones.

use std::collections;
use std::time;

use crate::name;

use super::pool;
use super::processing_time;
use super::rules;

/// Ratio of a more urgent request's spare time that less urgent requests may use.
const USABLE_RATIO: f64 = 0.4;

/// Returns the longest wait at a target to which requests of each priority may add.
///
/// A less urgent request may use only a part of the time that more urgent requests to the
/// service can spare. The most urgent priority has no limit.
pub(super) fn by_priority(
    rules: Option<&rules::Rules>,
    service: &name::Service,
    pool: &pool::Pool,
) -> collections::BTreeMap<u8, time::Duration> {
    let mut spare_times: collections::BTreeMap<u8, time::Duration> = collections::BTreeMap::new();
    let routes = rules.into_iter().flat_map(|rules| rules.routes_to(service));
    for route in routes {
        let processing = pool
            .times(&route.name)
            .expected(processing_time::Warmth::Known, route.objective);
        let spare = route.objective.saturating_sub(processing);
        let least = spare_times.entry(route.priority).or_insert(spare);
        *least = (*least).min(spare);
    }
    let priorities: Vec<u8> = spare_times.keys().copied().collect();
    let limits = priorities.iter().filter_map(|priority| {
        let urgent_spare = spare_times
            .range(..priority)
            .map(|(_priority, spare)| *spare)
            .min()?;
        Some((*priority, urgent_spare.mul_f64(USABLE_RATIO)))
    });
    limits.collect()
}
