//! How often relays tell other availability zones of their own one.

/// Rounds between two summaries to another region.
const FAR_ROUNDS: u32 = 2;
/// Times by which the second relay's summaries come less often.
const SECOND_ROUNDS: u32 = 2;

/// Why summaries may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cadence {
    /// There is news, which no relay puts off.
    News,
    /// A round of reports, by number.
    Round(u32),
}

impl Cadence {
    /// Returns whether the host at a place of its zone's order sends to a relay now.
    ///
    /// Bytes between regions cost most, so that summaries go there less often.
    #[must_use]
    pub const fn is_due(self, place: usize, is_near: bool) -> bool {
        let near = if is_near { 1 } else { FAR_ROUNDS };
        let every = match place {
            0 => near,
            1 => near * SECOND_ROUNDS,
            _ => return false,
        };
        match self {
            Self::News => true,
            Self::Round(number) => number.is_multiple_of(every),
        }
    }
}
