//! Which relay passes other zones' sums on to its own zone.

use std::collections;
use std::time;

use skylark_core::instant;
use skylark_core::name;

use super::state;

/// Time without what the first relay passes on, after which the second one does.
const SILENCE: time::Duration = time::Duration::from_millis(800);

/// When another relay last passed on each zone's sum.
#[derive(Debug, Default)]
pub(crate) struct Passing {
    heard: collections::HashMap<name::Zone, instant::Instant>,
}

impl Passing {
    /// Notes that another relay passed on a zone's sum.
    pub(crate) fn hear(&mut self, zone: &name::Zone, now: instant::Instant) {
        self.heard.insert(zone.clone(), now);
    }

    /// Returns whether this host is to pass a zone's sum on to its own zone.
    pub(crate) fn is_due(
        &self,
        state: &state::State,
        zone: &name::Zone,
        now: instant::Instant,
    ) -> bool {
        let known = state.knowledge();
        let fleet = known.desk().fleet();
        if fleet.place_in(&state.identity.zone, &state.identity.host, now) == 0 {
            return true;
        }
        let heard = self.heard.get(zone);
        heard.is_none_or(|at| now.since(*at) >= SILENCE)
    }
}
