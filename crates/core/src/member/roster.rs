//! The row that names the hosts which vouch for the newest version.

use crate::name;
use crate::unit;

use super::Member;
use super::Predecessor;

/// Key of the roster's row in the table.
pub const ROSTER_KEY: &str = "roster";

/// Returns how many members of a roster may be silent without stopping its read quorums.
///
/// A version counts as accepted once one member more than this has it in force.
#[must_use]
pub const fn tolerance(size: usize) -> usize {
    size.saturating_sub(1) / 3
}

/// The hosts that vouch for the newest version, one for each availability zone.
///
/// Each change of members makes a new generation. Members vouch for each other
/// only within one generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Roster {
    /// Number that rises with each change of members.
    pub generation: u64,
    /// The newest version when this generation was written.
    pub floor: unit::Version,
    /// The members.
    pub members: Vec<Member>,
    /// Earlier rosters that are not sealed yet.
    pub past: Vec<Predecessor>,
}

/// What one member is known to have in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The member.
    pub incarnation: name::Incarnation,
    /// Generation of the roster that it knows.
    pub generation: u64,
    /// Version that it has in force.
    pub version: unit::Version,
}

impl Roster {
    /// Returns the members that must vouch for a version together.
    #[must_use]
    pub fn read_quorum(&self) -> usize {
        self.members.len() - tolerance(self.members.len())
    }

    /// Returns the members that must have a version in force for it to be accepted.
    #[must_use]
    pub fn write_quorum(&self) -> usize {
        tolerance(self.members.len()) + 1
    }

    /// Returns the member with an incarnation.
    #[must_use]
    pub fn member(&self, incarnation: &name::Incarnation) -> Option<&Member> {
        self.members.iter().find(|m| m.incarnation == *incarnation)
    }

    /// Returns the member of an availability zone.
    #[must_use]
    pub fn zone_member(&self, zone: &name::Zone) -> Option<&Member> {
        self.members.iter().find(|m| m.zone == *zone)
    }

    /// Returns whether no earlier roster can form a read quorum any more.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.past.is_empty()
    }

    /// Returns whether this is another roster's generation with fewer members left open.
    #[must_use]
    pub fn is_further_sealed(&self, other: &Self) -> bool {
        let open = |roster: &Self| roster.past.iter().map(|p| p.remaining.len()).sum::<usize>();
        self.generation == other.generation && open(self) < open(other)
    }

    /// Forms the next generation with a member in place of its zone's present one.
    ///
    /// `head` is the newest version; the write must be conditional on its row.
    /// Earlier lives on the member's host are struck out of earlier rosters:
    /// they ended before the member could bind the host's address.
    #[must_use]
    pub fn with_member(&self, member: Member, head: unit::Version) -> Self {
        let mut next = self.next(head);
        next.members
            .retain(|m| m.zone != member.zone && m.host != member.host);
        next.close_where(|open| open.host == member.host);
        next.members.push(member);
        next
    }

    /// Forms the next generation without a member that has gone silent.
    #[must_use]
    pub fn without_member(&self, gone: &name::Incarnation, head: unit::Version) -> Self {
        let mut next = self.next(head);
        next.members.retain(|m| m.incarnation != *gone);
        next
    }

    /// Strikes a member out of the rosters before a generation that it is known to have left.
    #[must_use]
    pub fn with_departed(&self, incarnation: &name::Incarnation, generation: u64) -> Self {
        let mut next = self.clone();
        for past in &mut next.past {
            if past.generation < generation {
                past.close(|open| open.incarnation == *incarnation);
            }
        }
        next.past.retain(|past| !past.is_sealed());
        next
    }

    /// Strikes hosts that are off for good out of earlier rosters.
    #[must_use]
    pub fn with_ended_hosts(&self, ended: &[name::Host]) -> Self {
        let mut next = self.clone();
        next.close_where(|open| ended.contains(&open.host));
        next
    }

    /// Returns whether a version is accepted, given what members are known to have in force.
    ///
    /// This roster must have been read after the reports.
    #[must_use]
    pub fn is_accepted(&self, version: unit::Version, reports: &[Report]) -> bool {
        let holds = |member: &&Member| {
            reports.iter().any(|report| {
                report.incarnation == member.incarnation
                    && report.generation == self.generation
                    && report.version >= version
            })
        };
        let count = self.members.iter().filter(holds).count();
        self.is_settled() && count >= self.write_quorum()
    }

    fn next(&self, head: unit::Version) -> Self {
        let mut next = self.clone();
        if !self.members.is_empty() {
            next.past.push(self.as_past());
        }
        next.generation += 1;
        next.floor = self.floor.max(head);
        next
    }

    fn as_past(&self) -> Predecessor {
        Predecessor {
            generation: self.generation,
            size: self.members.len(),
            remaining: self.members.clone(),
        }
    }

    fn close_where(&mut self, has_ended: impl Fn(&Member) -> bool) {
        for past in &mut self.past {
            past.close(&has_ended);
        }
        self.past.retain(|past| !past.is_sealed());
    }
}
