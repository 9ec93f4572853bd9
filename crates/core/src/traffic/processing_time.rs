//! Times that requests of one route take at a service's targets.

use std::time;

/// What a host knows of a target's warmth for an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// The target answered this host for the object lately.
    Known,
    /// It is the object's own target, so that other hosts may have sent it there.
    Likely,
    /// Neither.
    None,
}

impl Warmth {
    /// Every grade, the warmest first.
    pub const ALL: [Self; 3] = [Self::Known, Self::Likely, Self::None];

    /// Returns the grade's name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Likely => "likely",
            Self::None => "none",
        }
    }

    /// Returns the grade's place in [`Self::ALL`].
    #[must_use]
    pub const fn position(self) -> usize {
        match self {
            Self::Known => 0,
            Self::Likely => 1,
            Self::None => 2,
        }
    }
}

/// Parts of the objective that are reckoned with before any answer, by warmth.
const FIRST_PARTS: [f64; Warmth::ALL.len()] = [0.35, 0.5, 0.9];

/// Part by which a shorter sample moves the mean; targets warm up faster than they forget.
const FASTER: u32 = 3;
/// Part by which a longer sample moves the mean.
const SLOWER: u32 = 12;

/// Times that requests of one route take, by the target's warmth.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessingTimes {
    means: [Option<time::Duration>; Warmth::ALL.len()],
}

impl ProcessingTimes {
    /// Adds the time of a request without the way and the wait.
    pub fn record(&mut self, warmth: Warmth, work: time::Duration) {
        let mean = &mut self.means[warmth.position()];
        *mean = Some(mean.map_or(work, |mean| adapt(mean, work)));
    }

    /// Returns the time that a request is expected to take.
    #[must_use]
    pub fn expected(&self, warmth: Warmth, objective: time::Duration) -> time::Duration {
        let position = warmth.position();
        self.means[position].unwrap_or_else(|| objective.mul_f64(FIRST_PARTS[position]))
    }
}

/// Moves a mean toward a sample, faster where the sample is shorter.
fn adapt(mean: time::Duration, sample: time::Duration) -> time::Duration {
    let shorter = mean.saturating_sub(sample);
    let longer = sample.saturating_sub(mean);
    mean.saturating_sub(shorter / FASTER) + longer / SLOWER
}

/// Returns a duration in whole microseconds, as far as they fit.
#[must_use]
pub fn micros(span: time::Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

/// Returns the whole part of a number that is not negative.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates at both ends"
)]
pub fn whole(number: f64) -> u64 {
    number as u64
}
