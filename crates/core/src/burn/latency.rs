//! Percentiles of latency.

/// Percentiles of the latency of answered requests, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Latency {
    /// Half of the answers came within this time.
    #[serde(rename = "p50_us")]
    pub p50: u64,
    /// 90% of the answers came within this time.
    #[serde(rename = "p90_us")]
    pub p90: u64,
    /// 99% of the answers came within this time.
    #[serde(rename = "p99_us")]
    pub p99: u64,
    /// The longest time.
    #[serde(rename = "max_us")]
    pub max: u64,
}

impl Latency {
    /// Computes percentiles by nearest rank.
    #[must_use]
    pub fn new(mut micros: Vec<u64>) -> Self {
        micros.sort_unstable();
        Self {
            p50: rank(&micros, 50),
            p90: rank(&micros, 90),
            p99: rank(&micros, 99),
            max: micros.last().copied().unwrap_or(0),
        }
    }
}

fn rank(sorted: &[u64], percent: usize) -> u64 {
    let place = (sorted.len() * percent).div_ceil(100);
    sorted.get(place.saturating_sub(1)).copied().unwrap_or(0)
}
