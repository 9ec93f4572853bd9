//! When a host changes the roster.

use crate::name;
use crate::unit;

use super::Member;
use super::Roster;

/// How many times longer members of other zones wait than hosts of the silent member's zone.
const OTHER_ZONE_PATIENCE: u32 = 2;

/// Returns the roster that a host should write in place of the one it read.
///
/// A host joins for a zone that has no member, in place of an earlier life of
/// its own, or in place of a silent member of its zone. A member removes a
/// silent member, and seals earlier rosters by what it knows itself to have
/// left. `known` is the generation that the host itself goes by, and
/// `is_silent` tells whether a member was silent for a multiple of the usual
/// patience. `ended` are hosts that are off for good, by the operator's word: they
/// seal earlier rosters and never join. The write must be conditional on the rows
/// of roster and head.
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
        let seated = roster.zone_member(&me.zone);
        let may_join = seated.is_none_or(|m| m.host == me.host || is_silent(m, 1));
        return may_join.then(|| roster.with_member(me.clone(), head));
    }
    let mut others = roster.members.iter();
    let silent =
        others.find(|m| m.incarnation != me.incarnation && is_silent(m, OTHER_ZONE_PATIENCE));
    if let Some(silent) = silent {
        return Some(roster.without_member(&silent.incarnation, head));
    }
    let sealed = roster
        .with_departed(&me.incarnation, known)
        .with_ended_hosts(ended);
    (sealed != *roster).then_some(sealed)
}
