//! An earlier roster whose members may still vouch for each other.

use super::Member;

/// An earlier roster whose members may still vouch for each other.
///
/// It is sealed once so many members have left it for good that the others
/// can no longer form a read quorum.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Predecessor {
    /// Generation of the earlier roster.
    pub generation: u64,
    /// Members that the earlier roster had.
    pub size: usize,
    /// Members that may still vouch in it.
    #[serde(rename = "open")]
    pub remaining: Vec<Member>,
}

impl Predecessor {
    /// Returns whether the members left can form no read quorum.
    #[must_use]
    pub fn is_sealed(&self) -> bool {
        self.size - self.remaining.len() > super::tolerance(self.size)
    }

    /// Strikes out the members that vouch in this roster no more.
    pub fn close(&mut self, has_left: impl Fn(&Member) -> bool) {
        self.remaining.retain(|member| !has_left(member));
    }
}
