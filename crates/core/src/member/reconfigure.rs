//! Membership reconfiguration: when a host replaces the roster.

use crate::name;
use crate::unit;

use super::Member;
use super::Roster;

/// Factor by which members of other zones wait longer than hosts of the silent member's zone.
const OTHER_ZONE_FACTOR: u32 = 2;

/// Returns the roster that a host should write in place of `roster`, if any.
///
/// A host joins if its zone has no member, if the member is an earlier incarnation
/// on the same host, or if the zone's member is silent. A member removes a silent
/// member, and removes itself from earlier rosters that it has left.
///
/// `known` is the generation by which the host itself acts. `is_silent` returns
/// whether a member was silent for a multiple of the usual time-out. `ended` are
/// hosts that an operator declared stopped for good: they are removed from earlier
/// rosters and never join. The write must be conditional on the rows of both the
/// roster and the newest version (`head`).
#[must_use]
pub fn reconfigure(
    roster: &Roster,
    me: &Member,
    known: u64,
    head: unit::Version,
    is_silent: impl Fn(&Member, u32) -> bool,
    ended: &[name::Host],
) -> Option<Roster> {
    if ended.contains(&me.host) {
        return None;
    }
    if roster.member(&me.incarnation).is_none() {
        let zone_member = roster.zone_member(&me.zone);
        let can_join = zone_member.is_none_or(|m| m.host == me.host || is_silent(m, 1));
        return can_join.then(|| roster.with_member(me.clone(), head));
    }
    let mut others = roster.members.iter();
    let silent =
        others.find(|m| m.incarnation != me.incarnation && is_silent(m, OTHER_ZONE_FACTOR));
    if let Some(silent) = silent {
        return Some(roster.without_member(&silent.incarnation, head));
    }
    let sealed = roster
        .with_departed(&me.incarnation, known)
        .with_ended_hosts(ended);
    (sealed != *roster).then_some(sealed)
}
