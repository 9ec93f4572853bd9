//! Exponentially weighted moving average of times.

/// Each sample has a weight of one eighth.
const WEIGHT_DIVISOR: u64 = 8;

/// Exponentially weighted moving average of times, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ewma(Option<u64>);

impl Ewma {
    /// Returns the average, or `default` before the first sample.
    #[must_use]
    pub fn value_or(&self, default: u32) -> u32 {
        self.value().unwrap_or(default)
    }

    /// Returns the average, or `None` before the first sample.
    #[must_use]
    pub fn value(&self) -> Option<u32> {
        self.0.map(|mean| u32::try_from(mean).unwrap_or(u32::MAX))
    }

    /// Adds a sample, in microseconds.
    pub fn update(&mut self, time: u64) {
        self.0 = Some(match self.0 {
            None => time,
            Some(mean) => (mean * (WEIGHT_DIVISOR - 1) + time) / WEIGHT_DIVISOR,
        });
    }

    /// Discards all samples.
    pub fn clear(&mut self) {
        self.0 = None;
    }
}
