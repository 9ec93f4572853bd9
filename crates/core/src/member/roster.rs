//! Roster: the row of the table that names the members, with its quorums.

use crate::name;
use crate::unit;

use super::Member;
use super::Predecessor;

/// Key of the roster's row in the shared table.
pub const ROSTER_KEY: &str = "roster";

/// Returns how many of `size` members may fail while the others still form a read quorum.
///
/// A version is accepted as soon as one member more than this has it in force.
#[must_use]
pub const fn tolerance(size: usize) -> usize {
    size.saturating_sub(1) / 3
}

/// The hosts that confirm the newest version, one for each availability zone.
///
/// Each change of members makes a new generation. Members confirm versions to each
/// other only within one generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Roster {
    /// Number that rises with each change of members.
    pub generation: u64,
    /// Newest version when this generation was written; members below it confirm nothing.
    pub floor: unit::Version,
    /// Members, at most one for each availability zone.
    pub members: Vec<Member>,
    /// Earlier rosters that are not sealed yet.
    pub past: Vec<Predecessor>,
}

/// The version that one member is known to have in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Incarnation of the member.
    pub incarnation: name::Incarnation,
    /// Generation of the newest roster that it knows.
    pub generation: u64,
    /// Version of the records that it has in force.
    pub version: unit::Version,
}

impl Roster {
    /// Returns the number of members that must confirm a version together.
    #[must_use]
    pub fn read_quorum(&self) -> usize {
        self.members.len() - tolerance(self.members.len())
    }

    /// Returns the number of members that must have a version in force for it to be accepted.
    #[must_use]
    pub fn write_quorum(&self) -> usize {
        tolerance(self.members.len()) + 1
    }

    /// Returns the member with this incarnation.
    #[must_use]
    pub fn member(&self, incarnation: &name::Incarnation) -> Option<&Member> {
        self.members.iter().find(|m| m.incarnation == *incarnation)
    }

    /// Returns the member of an availability zone.
    #[must_use]
    pub fn zone_member(&self, zone: &name::Zone) -> Option<&Member> {
        self.members.iter().find(|m| m.zone == *zone)
    }

    /// Returns whether all earlier rosters are sealed, so that none can form a read quorum.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.past.is_empty()
    }

    /// Returns whether this is the same generation with fewer members left in earlier rosters.
    #[must_use]
    pub fn is_further_sealed(&self, other: &Self) -> bool {
        let remaining =
            |roster: &Self| roster.past.iter().map(|p| p.remaining.len()).sum::<usize>();
        self.generation == other.generation && remaining(self) < remaining(other)
    }

    /// Returns the next generation with `member` in place of its zone's present member.
    ///
    /// `head` is the newest version; the write must be conditional on its row.
    /// Earlier incarnations on the member's host are removed from earlier rosters:
    /// they ended before the member could bind the host's address.
    #[must_use]
    pub fn with_member(&self, member: Member, head: unit::Version) -> Self {
        let mut next = self.next_generation(head);
        next.members
            .retain(|m| m.zone != member.zone && m.host != member.host);
        next.remove_from_past(|earlier| earlier.host == member.host);
        next.members.push(member);
        next
    }

    /// Returns the next generation without a member that is silent.
    #[must_use]
    pub fn without_member(&self, incarnation: &name::Incarnation, head: unit::Version) -> Self {
        let mut next = self.next_generation(head);
        next.members.retain(|m| m.incarnation != *incarnation);
        next
    }

    /// Returns this generation without a member in the rosters before `generation`.
    ///
    /// The member must have left these rosters for good.
    #[must_use]
    pub fn with_departed(&self, incarnation: &name::Incarnation, generation: u64) -> Self {
        let mut next = self.clone();
        for past in &mut next.past {
            if past.generation < generation {
                past.remove(|earlier| earlier.incarnation == *incarnation);
            }
        }
        next.past.retain(|past| !past.is_sealed());
        next
    }

    /// Returns this generation without the members of stopped hosts in earlier rosters.
    #[must_use]
    pub fn with_ended_hosts(&self, ended: &[name::Host]) -> Self {
        let mut next = self.clone();
        next.remove_from_past(|earlier| ended.contains(&earlier.host));
        next
    }

    /// Returns whether a write quorum of this settled roster has the version in force.
    ///
    /// This roster must have been read after the reports.
    #[must_use]
    pub fn is_accepted(&self, version: unit::Version, reports: &[Report]) -> bool {
        let has_version = |member: &&Member| {
            reports.iter().any(|report| {
                report.incarnation == member.incarnation
                    && report.generation == self.generation
                    && report.version >= version
            })
        };
        let count = self.members.iter().filter(has_version).count();
        self.is_settled() && count >= self.write_quorum()
    }

    fn next_generation(&self, head: unit::Version) -> Self {
        let mut next = self.clone();
        if !self.members.is_empty() {
            next.past.push(self.as_predecessor());
        }
        next.generation += 1;
        next.floor = self.floor.max(head);
        next
    }

    fn as_predecessor(&self) -> Predecessor {
        Predecessor {
            generation: self.generation,
            size: self.members.len(),
            remaining: self.members.clone(),
        }
    }

    fn remove_from_past(&mut self, has_left: impl Fn(&Member) -> bool) {
        for past in &mut self.past {
            past.remove(&has_left);
        }
        self.past.retain(|past| !past.is_sealed());
    }
}
