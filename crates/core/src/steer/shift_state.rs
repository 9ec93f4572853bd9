//! Current state of a traffic shift, as it applies to one request.

use super::draw;

/// Fraction of a region's traffic that a shift moves at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ShiftState {
    /// Fraction of the requests that move, in basis points.
    pub part: u32,
    /// Whether the rate cap of the shift allows one more request.
    pub is_allowed: bool,
}

impl ShiftState {
    /// Returns whether the request with this seed moves.
    #[must_use]
    pub fn moves(&self, seed: draw::Seed) -> bool {
        self.is_allowed && seed.basis_point() < self.part
    }
}
