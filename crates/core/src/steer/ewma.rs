//! A moving mean of times.

const GAIN: u64 = 8;

/// An exponentially weighted mean of times, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ewma(Option<u64>);

impl Ewma {
    /// Returns the mean, or `otherwise` before the first time.
    #[must_use]
    pub fn value_or(&self, otherwise: u32) -> u32 {
        self.value().unwrap_or(otherwise)
    }

    /// Returns the mean, none before the first time.
    #[must_use]
    pub fn value(&self) -> Option<u32> {
        self.0.map(|mean| u32::try_from(mean).unwrap_or(u32::MAX))
    }

    /// Adds a time, in microseconds.
    pub fn update(&mut self, time: u64) {
        self.0 = Some(match self.0 {
            None => time,
            Some(mean) => (mean * (GAIN - 1) + time) / GAIN,
        });
    }

    /// Forgets all times.
    pub fn clear(&mut self) {
        self.0 = None;
    }
}
