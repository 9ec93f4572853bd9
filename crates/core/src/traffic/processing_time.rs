//! Mean processing times of a route's requests at the targets of a service.

use std::time;

/// How likely a target's cache is warm for an affinity key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// The target recently answered this host for the key.
    Known,
    /// The target is the key's preferred one, which other hosts may have used for the key.
    Likely,
    /// The target is another one, and did not recently answer this host for the key.
    None,
}

impl Warmth {
    /// Every grade of warmth, the warmest first.
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

    /// Returns the grade's position in [`Self::ALL`].
    #[must_use]
    pub const fn position(self) -> usize {
        match self {
            Self::Known => 0,
            Self::Likely => 1,
            Self::None => 2,
        }
    }
}

/// Processing times assumed before the first answer, as ratios of the objective, by warmth.
const DEFAULT_OBJECTIVE_RATIOS: [f64; Warmth::ALL.len()] = [0.35, 0.5, 0.9];

/// Divisor of the step from the mean to a shorter sample.
///
/// It is smaller than the divisor for longer samples because targets warm up faster than their
/// caches lose keys.
const SHORTER_STEP_DIVISOR: u32 = 3;
/// Divisor of the step from the mean to a longer sample.
const LONGER_STEP_DIVISOR: u32 = 12;

/// Moving averages of the processing times of one route, by the target's warmth.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessingTimes {
    means: [Option<time::Duration>; Warmth::ALL.len()],
}

impl ProcessingTimes {
    /// Records the time of a request without round trip and queueing.
    pub fn record(&mut self, warmth: Warmth, processing: time::Duration) {
        let mean = &mut self.means[warmth.position()];
        *mean = Some(mean.map_or(processing, |mean| adapt(mean, processing)));
    }

    /// Returns the expected processing time of a request.
    #[must_use]
    pub fn expected(&self, warmth: Warmth, objective: time::Duration) -> time::Duration {
        let position = warmth.position();
        self.means[position]
            .unwrap_or_else(|| objective.mul_f64(DEFAULT_OBJECTIVE_RATIOS[position]))
    }
}

/// Returns a mean moved toward a sample, faster if the sample is shorter.
fn adapt(mean: time::Duration, sample: time::Duration) -> time::Duration {
    let shorter = mean.saturating_sub(sample);
    let longer = sample.saturating_sub(mean);
    mean.saturating_sub(shorter / SHORTER_STEP_DIVISOR) + longer / LONGER_STEP_DIVISOR
}

/// Returns a duration in whole microseconds, saturated at the largest number.
#[must_use]
pub fn micros(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

/// Returns the integer part of a number that is not negative, saturated.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates at both ends"
)]
pub fn to_u64(number: f64) -> u64 {
    number as u64
}
