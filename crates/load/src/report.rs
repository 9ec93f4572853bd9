//! What came back of a load, for each client account.

use std::io;
use std::io::Write as _;
use std::time;

use skylark_core::unit;
use tokio::sync::mpsc;

use super::account;
use super::error;
use super::options;

const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_MICROS: u64 = 120_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;
const BASIS_POINTS: u64 = 10_000;

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A whole answer of a target.
    Answered,
    /// Refused as over the account's rate.
    OverRate,
    /// Refused for another reason.
    Refused,
    /// No answer at all.
    Lost,
}

/// One request that ended.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Index of the client account.
    pub account: usize,
    /// When the request was due, from the begin of the run.
    pub due: time::Duration,
    /// Time from when it was due until its answer.
    pub latency: time::Duration,
    /// How it ended.
    pub fate: Fate,
}

/// What came back for one client account.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Line {
    account: String,
    sent: u64,
    answered: u64,
    refused: u64,
    lost: u64,
    over_rate: u64,
    within_rate: u64,
    served_part: unit::Percent,
    p50_micros: u64,
    p99_micros: u64,
    max_micros: u64,
}

/// Gathers the samples and prints the report, the worst-served account first.
///
/// # Errors
///
/// Fails when the report cannot be written.
pub async fn collect(
    load: &options::Load,
    mut samples: mpsc::UnboundedReceiver<Sample>,
) -> error::Result<()> {
    let mut gathered = vec![Vec::new(); load.accounts.len()];
    while let Some(sample) = samples.recv().await {
        gathered[sample.account].push(sample);
    }
    let mut lines = Vec::new();
    for (account, samples) in load.accounts.iter().zip(gathered) {
        lines.push(line(account, samples)?);
    }
    lines.sort_by_key(|line| line.served_part);
    print(load, &lines)
}

fn line(account: &account::Account, mut samples: Vec<Sample>) -> error::Result<Line> {
    samples.sort_by_key(|sample| sample.due);
    let mut latencies =
        hdrhistogram::Histogram::<u64>::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)?;
    for sample in samples
        .iter()
        .filter(|sample| sample.fate == Fate::Answered)
    {
        latencies.record(u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX))?;
    }
    let allowed = allowed(account, &samples);
    let answered = count(&samples, Fate::Answered);
    Ok(Line {
        account: account.name.clone(),
        sent: as_u64(samples.len()),
        answered,
        refused: count(&samples, Fate::Refused),
        lost: count(&samples, Fate::Lost),
        over_rate: count(&samples, Fate::OverRate),
        within_rate: allowed.saturating_sub(answered),
        served_part: part(answered, allowed),
        p50_micros: latencies.value_at_quantile(0.5),
        p99_micros: latencies.value_at_quantile(0.99),
        max_micros: latencies.max(),
    })
}

/// Returns how many requests one bucket that sees them all in order would admit.
fn allowed(account: &account::Account, samples: &[Sample]) -> u64 {
    let full = u128::from(account.burst) * MICROS_PER_SECOND;
    let mut level = full;
    let mut last = time::Duration::ZERO;
    let mut admitted = 0;
    for sample in samples {
        level += sample.due.saturating_sub(last).as_micros() * u128::from(account.rate);
        level = level.min(full);
        last = sample.due;
        if level >= MICROS_PER_SECOND {
            level -= MICROS_PER_SECOND;
            admitted += 1;
        }
    }
    admitted
}

/// Returns the answered part of the requests that were within the rate.
fn part(answered: u64, allowed: u64) -> unit::Percent {
    let points = answered.saturating_mul(BASIS_POINTS) / allowed.max(1);
    unit::Percent::from_basis_points(u32::try_from(points).unwrap_or(u32::MAX))
}

fn count(samples: &[Sample], fate: Fate) -> u64 {
    as_u64(samples.iter().filter(|sample| sample.fate == fate).count())
}

fn as_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

fn print(load: &options::Load, lines: &[Line]) -> error::Result<()> {
    let mut out = io::stdout().lock();
    if load.destination.is_json {
        writeln!(out, "{}", serde_json::to_string(lines)?)?;
        return Ok(());
    }
    writeln!(
        out,
        "{:<24} {:>8} {:>8} {:>8} {:>6} {:>9} {:>11} {:>7} {:>8} {:>8} {:>8}",
        "account",
        "sent",
        "answered",
        "refused",
        "lost",
        "over-rate",
        "within-rate",
        "served",
        "p50 us",
        "p99 us",
        "max us"
    )?;
    for line in lines {
        writeln!(
            out,
            "{:<24} {:>8} {:>8} {:>8} {:>6} {:>9} {:>11} {:>7} {:>8} {:>8} {:>8}",
            line.account,
            line.sent,
            line.answered,
            line.refused,
            line.lost,
            line.over_rate,
            line.within_rate,
            line.served_part.to_string(),
            line.p50_micros,
            line.p99_micros,
            line.max_micros
        )?;
    }
    Ok(())
}
