//! Earlier rosters whose members may still confirm versions to each other.

use super::Member;

/// An earlier roster whose members may still confirm versions to each other.
///
/// It is sealed as soon as so many members have left it for good that the others
/// can no longer form a read quorum.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Predecessor {
    /// Generation of the earlier roster.
    pub generation: u64,
    /// Number of members that the earlier roster had.
    pub size: usize,
    /// Members that may still confirm versions in it.
    #[serde(rename = "open")]
    pub remaining: Vec<Member>,
}

impl Predecessor {
    /// Returns whether the remaining members are too few for a read quorum.
    #[must_use]
    pub fn is_sealed(&self) -> bool {
        self.size - self.remaining.len() > super::tolerance(self.size)
    }

    /// Removes the members that confirm versions in this roster no more.
    pub fn remove(&mut self, has_left: impl Fn(&Member) -> bool) {
        self.remaining.retain(|member| !has_left(member));
    }
}
