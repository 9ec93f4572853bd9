//! Latency percentiles.

/// Latency percentiles of answered requests, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Latency {
    /// Median: half of the responses arrived within this time.
    #[serde(rename = "p50_us")]
    pub p50: u64,
    /// 90% of the responses arrived within this time.
    #[serde(rename = "p90_us")]
    pub p90: u64,
    /// 99% of the responses arrived within this time.
    #[serde(rename = "p99_us")]
    pub p99: u64,
    /// Longest time.
    #[serde(rename = "max_us")]
    pub max: u64,
}

impl Latency {
    /// Computes the percentiles by the nearest-rank method.
    #[must_use]
    pub fn new(mut micros: Vec<u64>) -> Self {
        micros.sort_unstable();
        Self {
            p50: percentile(&micros, 50),
            p90: percentile(&micros, 90),
            p99: percentile(&micros, 99),
            max: micros.last().copied().unwrap_or(0),
        }
    }
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
