//! What a run came to.

use std::fmt;

use super::trace;

/// The measures of one run.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: &'static str,
    /// Policy.
    pub policy: &'static str,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered in time.
    pub good: u64,
    /// Requests that were refused and had not run.
    pub refused: u64,
    /// Requests whose answer came too late.
    pub late: u64,
    /// Requests sent to targets, in thousandths of those that arrived.
    pub sends: u64,
    /// Median time to an answer in time, in microseconds.
    pub p50: u64,
    /// 99th percentile of the same, in microseconds.
    pub p99: u64,
    /// Slot time that the busiest target had to spare, in thousandths.
    pub headroom: u64,
    /// Good answers of the worst-served client account, in thousandths.
    pub worst: u64,
    /// The same without the account that floods in an overload, in thousandths.
    pub others: u64,
    /// Time until the last start on the leaving target, in microseconds.
    pub drain: Option<u64>,
}

/// Counts of one client account.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered in time.
    pub good: u64,
}

impl Report {
    /// Heading of the table.
    pub const HEAD: &'static str = "deployment scenario    policy   good/s  good%  refused%  late% \
         sends  p50 ms  p99 ms  headroom%  worst%  others%  drain ms";

    /// Returns the share of the worst-served account, in thousandths.
    pub fn worst_of(counts: &[Count]) -> u64 {
        let shares = counts.iter().map(|c| c.good * 1_000 / c.arrived.max(1));
        shares.min().unwrap_or(0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |count: u64| Thousandths(count * 1_000 / self.arrived.max(1));
        let drain = self
            .drain
            .map_or("-".to_owned(), |time| (time / 1_000).to_string());
        write!(
            f,
            "{:<10} {:<11} {:<8} {:>6} {:>6} {:>9} {:>6} {:>5}.{:02} {:>7} {:>7} {:>10} {:>7} {:>8} {:>9}",
            self.deployment,
            self.scenario,
            self.policy,
            self.good * 1_000_000 / trace::SPAN,
            part(self.good),
            part(self.refused),
            part(self.late),
            self.sends / 1_000,
            self.sends % 1_000 / 10,
            self.p50 / 1_000,
            self.p99 / 1_000,
            Thousandths(self.headroom),
            Thousandths(self.worst),
            Thousandths(self.others),
            drain,
        )
    }
}

/// A part of a whole, printed as a percentage with one decimal.
struct Thousandths(u64);

impl fmt::Display for Thousandths {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&format!("{}.{}", self.0 / 10, self.0 % 10))
    }
}
