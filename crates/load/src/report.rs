//! Report of a load run: results and latencies of each client account.

use std::io;
use std::io::Write as _;
use std::time;

use skylark_core::unit;
use tokio::sync::mpsc;

use super::account;
use super::error;
use super::options;

const SIGNIFICANT_DIGITS: u8 = 3;
/// Upper bound of the latency histogram.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;
const BASIS_POINTS_PER_WHOLE: u64 = 10_000;

/// Category of how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Complete response without an error status or a refusal.
    Answered,
    /// Refused because the account exceeded its rate.
    OverRate,
    /// Refused for another reason.
    Refused,
    /// No complete response from any entry host.
    Lost,
}

/// Measurement of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Index of the client account.
    pub account: usize,
    /// Due time of the request, from the start of the run.
    pub due: time::Duration,
    /// Time from the due time until the request ended.
    pub latency: time::Duration,
    /// How the request ended.
    pub completion: Completion,
}

/// Report line of one client account.
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

/// Collects the samples and prints the report, the account with the lowest served part first.
///
/// # Errors
///
/// Fails when a latency is above the bound of the histogram or the report cannot be written.
pub async fn collect(
    load: &options::Load,
    mut samples: mpsc::UnboundedReceiver<Sample>,
) -> error::Result<()> {
    let mut by_account = vec![Vec::new(); load.accounts.len()];
    while let Some(sample) = samples.recv().await {
        by_account[sample.account].push(sample);
    }
    let mut lines = Vec::new();
    for (account, samples) in load.accounts.iter().zip(by_account) {
        lines.push(summarize(account, samples)?);
    }
    lines.sort_by_key(|line| line.served_part);
    print(load, &lines)
}

fn summarize(account: &account::Account, mut samples: Vec<Sample>) -> error::Result<Line> {
    samples.sort_by_key(|sample| sample.due);
    let mut latencies =
        hdrhistogram::Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)?;
    for sample in samples
        .iter()
        .filter(|sample| sample.completion == Completion::Answered)
    {
        latencies.record(u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX))?;
    }
    let admitted = count_admitted(account, &samples);
    let answered = count(&samples, Completion::Answered);
    Ok(Line {
        account: account.name.clone(),
        sent: as_u64(samples.len()),
        answered,
        refused: count(&samples, Completion::Refused),
        lost: count(&samples, Completion::Lost),
        over_rate: count(&samples, Completion::OverRate),
        within_rate: admitted.saturating_sub(answered),
        served_part: served_part(answered, admitted),
        p50_micros: latencies.value_at_quantile(0.5),
        p99_micros: latencies.value_at_quantile(0.99),
        max_micros: latencies.max(),
    })
}

/// Returns how many requests a single token bucket would admit, taking them in due order.
///
/// The level is in millionths of a request, so that a rate per second times microseconds needs
/// no division.
fn count_admitted(account: &account::Account, samples: &[Sample]) -> u64 {
    let capacity = u128::from(account.burst) * MICROS_PER_SECOND;
    let mut level = capacity;
    let mut last = time::Duration::ZERO;
    let mut admitted = 0;
    for sample in samples {
        level += sample.due.saturating_sub(last).as_micros() * u128::from(account.rate);
        level = level.min(capacity);
        last = sample.due;
        if level >= MICROS_PER_SECOND {
            level -= MICROS_PER_SECOND;
            admitted += 1;
        }
    }
    admitted
}

/// Returns the answered requests as a part of those that were within the rate.
fn served_part(answered: u64, admitted: u64) -> unit::Percent {
    let basis_points = answered.saturating_mul(BASIS_POINTS_PER_WHOLE) / admitted.max(1);
    unit::Percent::from_basis_points(u32::try_from(basis_points).unwrap_or(u32::MAX))
}

fn count(samples: &[Sample], completion: Completion) -> u64 {
    as_u64(
        samples
            .iter()
            .filter(|sample| sample.completion == completion)
            .count(),
    )
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
