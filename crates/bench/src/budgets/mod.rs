//! Emulation that compares strategies for enforcing limits over all entry hosts.

mod baseline;
mod deployment;
mod fault;
mod grants;
mod scaling;
mod strategy;
mod tally;
mod token_bucket;
mod trace;

use std::io;
use std::io::Write as _;

use skylark_core::budget;

use super::error;
use super::options;

const TRACE_MICROS: u64 = 120_000_000;

/// Results of one strategy under one scenario; latencies are in microseconds.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Row {
    deployment: &'static str,
    #[serde(rename = "load")]
    scenario: &'static str,
    #[serde(rename = "way")]
    strategy: String,
    /// Requests that one exact bucket for each account would admit.
    #[serde(rename = "due")]
    conforming: u64,
    /// Requests admitted although one exact bucket for each account would be empty.
    excess: u64,
    /// Conforming requests that were refused.
    #[serde(rename = "wrongful")]
    wrongly_refused: u64,
    /// Sum over accounts of conforming requests in excess of admitted ones.
    shortfall: u64,
    /// Largest fraction of conforming requests that one account was refused.
    worst: f64,
    p50: u64,
    p99: u64,
    /// Messages per second.
    messages: f64,
}

/// Requests on both sides while one availability zone was partitioned.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct ZoneCut {
    deployment: &'static str,
    #[serde(rename = "way")]
    strategy: String,
    inside: tally::Side,
    outside: tally::Side,
    /// Requests that the reserve of the partitioned zone admits during the partition.
    reserve: u64,
}

/// Results of the whole experiment.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Results {
    rows: Vec<Row>,
    cuts: Vec<ZoneCut>,
    #[serde(rename = "slopes")]
    traffic: Vec<scaling::TrafficPoint>,
    costs: Vec<scaling::CostPoint>,
}

/// Runs every strategy under every scenario and prints the results.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn run(options: &options::Options) -> error::Result<()> {
    let results = measure(options.seed);
    let mut out = io::stdout().lock();
    if options.is_json {
        writeln!(out, "{}", serde_json::to_string(&results)?)?;
        return Ok(());
    }
    print(&results, &mut out)
}

fn measure(seed: u64) -> Results {
    let mut results = Results {
        rows: Vec::new(),
        cuts: Vec::new(),
        traffic: Vec::new(),
        costs: Vec::new(),
    };
    for deployment in [
        deployment::Deployment::board(),
        deployment::Deployment::mwakyusa(),
    ] {
        for scenario in trace::Scenario::ALL {
            let trace = trace::draw(&deployment, scenario, TRACE_MICROS, seed);
            for strategy in strategy::Strategy::all() {
                let (row, cut) = measure_one(&deployment, scenario, &trace, strategy);
                results.rows.push(row);
                results.cuts.extend(cut);
            }
        }
    }
    results.traffic = scaling::traffic_points(seed);
    results.costs = scaling::cost_points();
    results
}

fn measure_one(
    deployment: &deployment::Deployment,
    scenario: trace::Scenario,
    trace: &[trace::Arrival],
    strategy: strategy::Strategy,
) -> (Row, Option<ZoneCut>) {
    let fault = fault::Fault::new(scenario);
    let mut tally = tally::Tally::new(deployment, &fault);
    let mut reserve = 0;
    match strategy {
        strategy::Strategy::Static => baseline::split(deployment, trace, &mut tally),
        strategy::Strategy::Owner => baseline::owner(deployment, &fault, trace, &mut tally),
        strategy::Strategy::Table => baseline::table(deployment, &fault, trace, &mut tally),
        strategy::Strategy::Grants {
            reserve: percent,
            shortage,
        } => {
            let config = grants::Config {
                reserve: strategy::percent(percent),
                shortage,
                timing: budget::Timing::default(),
            };
            reserve = reserved_requests(deployment, &fault, &config);
            grants::run(deployment, &fault, trace, &config, &mut tally);
        }
    }
    let cut = ZoneCut {
        deployment: deployment.name,
        strategy: strategy.name(),
        inside: tally.inside,
        outside: tally.outside,
        reserve,
    };
    let row = row(deployment, scenario, strategy, &tally);
    (row, (scenario == trace::Scenario::ZoneCut).then_some(cut))
}

fn row(
    deployment: &deployment::Deployment,
    scenario: trace::Scenario,
    strategy: strategy::Strategy,
    tally: &tally::Tally<'_>,
) -> Row {
    let micros = TRACE_MICROS - tally::WARM_UP_MICROS;
    Row {
        deployment: deployment.name,
        scenario: scenario.name(),
        strategy: strategy.name(),
        conforming: tally.conforming.iter().sum(),
        excess: tally.excess,
        wrongly_refused: tally.wrongly_refused.iter().sum(),
        shortfall: tally.shortfall(),
        worst: tally.worst(),
        p50: tally.latency.value_at_quantile(0.5),
        p99: tally.latency.value_at_quantile(0.99),
        messages: tally::ratio(tally.messages * 1_000_000, micros),
    }
}

/// Returns the requests that the reserve of the partitioned zone admits during the partition.
fn reserved_requests(
    deployment: &deployment::Deployment,
    fault: &fault::Fault,
    config: &grants::Config,
) -> u64 {
    let hosts = (0..deployment.hosts).filter(|host| fault.is_in_zone(deployment, *host));
    let shares = hosts.map(|host| config.share(deployment, host));
    let share = shares.fold(budget::Share::NONE, budget::Share::plus);
    let host_limits = deployment
        .accounts
        .iter()
        .map(|limit| share.of(*limit, &config.timing));
    let micros: u64 = host_limits
        .map(|host_limit| host_limit.rate.as_micros())
        .sum();
    micros * fault.seconds() / budget::Amount::TOKEN.as_micros()
}

fn print(results: &Results, out: &mut impl io::Write) -> error::Result<()> {
    writeln!(
        out,
        "{:<9} {:<13} {:<19} {:>7} {:>6} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "",
        "load",
        "way",
        "due",
        "excess",
        "wrongful",
        "shortfall",
        "worst",
        "p50 ms",
        "p99 ms",
        "msg/s"
    )?;
    for row in &results.rows {
        writeln!(
            out,
            "{:<9} {:<13} {:<19} {:>7} {:>6} {:>9} {:>9} {:>7.3}% {:>8.1} {:>8.1} {:>8.0}",
            row.deployment,
            row.scenario,
            row.strategy,
            row.conforming,
            row.excess,
            row.wrongly_refused,
            row.shortfall,
            row.worst * 100.0,
            millis(row.p50),
            millis(row.p99),
            row.messages
        )?;
    }
    writeln!(
        out,
        "\nwhile one zone is cut off: requests admitted of those due"
    )?;
    for cut in &results.cuts {
        writeln!(
            out,
            "{:<9} {:<19} zone {:>5} of {:>5} (reserve {:>5}), others {:>6} of {:>6}",
            cut.deployment,
            cut.strategy,
            cut.inside.admitted,
            cut.inside.conforming,
            cut.reserve,
            cut.outside.admitted,
            cut.outside.conforming
        )?;
    }
    writeln!(out, "\nhosts accounts    msg/s   bytes/s")?;
    for point in &results.traffic {
        writeln!(
            out,
            "{:>5} {:>8} {:>8.0} {:>9.0}",
            point.hosts, point.accounts, point.messages, point.bytes
        )?;
    }
    writeln!(out, "\naccounts  admit ns")?;
    for cost in &results.costs {
        writeln!(out, "{:>8}  {:>8}", cost.accounts, cost.nanos)?;
    }
    Ok(())
}

fn millis(micros: u64) -> f64 {
    tally::ratio(micros, 1_000)
}
