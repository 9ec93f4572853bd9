//! A traffic shift as one request meets it.

use super::draw;

/// The part of a region's traffic that a shift moves at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ShiftState {
    /// Part of the requests that move, in basis points.
    pub part: u32,
    /// Whether the shift's cap allows one more request.
    pub is_allowed: bool,
}

impl ShiftState {
    /// Returns whether the request of this seed moves.
    #[must_use]
    pub fn moves(&self, seed: draw::Seed) -> bool {
        self.is_allowed && seed.basis_point() < self.part
    }
}
