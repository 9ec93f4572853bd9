//! Results of one run.

use std::fmt;

use super::trace;

/// Results of one run; shares are in thousandths.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered before the deadline.
    pub good: u64,
    /// Requests that were refused before they ran on a target.
    pub refused: u64,
    /// Requests that were answered or given up after the deadline.
    pub late: u64,
    /// Attempts sent to targets, in thousandths of the requests that arrived.
    pub sends: u64,
    /// Median latency of requests answered before the deadline, in microseconds.
    pub p50: u64,
    /// 99th percentile of that latency, in microseconds.
    pub p99: u64,
    /// Idle share of the slot time of the busiest target, in thousandths.
    pub headroom: u64,
    /// Lowest success ratio of any client account, in thousandths.
    pub worst: u64,
    /// Lowest success ratio without the account that causes the overload, in thousandths.
    pub others: u64,
    /// Time from the leave announcement to the last request started there, in microseconds.
    pub drain: Option<u64>,
}

/// Request counts of one client account.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered in time.
    pub good: u64,
}

impl Report {
    /// Header of the printed table.
    pub const HEADER: &'static str = "deployment scenario    policy   good/s  good%  refused%  late% \
         sends  p50 ms  p99 ms  headroom%  worst%  others%  drain ms";

    /// Returns the lowest success ratio of any account, in thousandths.
    pub fn lowest_success(counts: &[AccountCounts]) -> u64 {
        let ratios = counts.iter().map(|c| c.good * 1_000 / c.arrived.max(1));
        ratios.min().unwrap_or(0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |count: u64| PerMille(count * 1_000 / self.arrived.max(1));
        let drain = self
            .drain
            .map_or("-".to_owned(), |time| (time / 1_000).to_string());
        write!(
            f,
            "{:<10} {:<11} {:<8} {:>6} {:>6} {:>9} {:>6} {:>5}.{:02} {:>7} {:>7} {:>10} {:>7} {:>8} {:>9}",
            self.deployment,
            self.scenario,
            self.policy,
            self.good * 1_000_000 / trace::TRACE_MICROS,
            share(self.good),
            share(self.refused),
            share(self.late),
            self.sends / 1_000,
            self.sends % 1_000 / 10,
            self.p50 / 1_000,
            self.p99 / 1_000,
            PerMille(self.headroom),
            PerMille(self.worst),
            PerMille(self.others),
            drain,
        )
    }
}

/// A share in thousandths, printed as a percentage with one decimal.
struct PerMille(u64);

impl fmt::Display for PerMille {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&format!("{}.{}", self.0 / 10, self.0 % 10))
    }
}
