//! Ways of keeping one budget over all entry hosts, on the same traces.

mod deployment;
mod fault;
mod grants;
mod naive;
mod simple;
mod slope;
mod tally;
mod trace;
mod way;

use std::io;
use std::io::Write as _;

use skylark_core::budget;

use super::error;
use super::options;

const SPAN: u64 = 120_000_000;

/// What came of one way under one load.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Row {
    deployment: &'static str,
    load: &'static str,
    way: String,
    due: u64,
    excess: u64,
    wrongful: u64,
    shortfall: u64,
    worst: f64,
    p50: u64,
    p99: u64,
    messages: f64,
}

/// What both sides got while one availability zone was cut off.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Cut {
    deployment: &'static str,
    way: String,
    inside: tally::Side,
    outside: tally::Side,
    /// Requests that the reserve of the zone that is cut off stands for.
    reserve: u64,
}

/// Everything that is measured.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Results {
    rows: Vec<Row>,
    cuts: Vec<Cut>,
    slopes: Vec<slope::Slope>,
    costs: Vec<slope::Cost>,
}

/// Measures and prints every way under every load.
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
        slopes: Vec::new(),
        costs: Vec::new(),
    };
    for deployment in [
        deployment::Deployment::board(),
        deployment::Deployment::mwakyusa(),
    ] {
        for load in trace::Load::ALL {
            let trace = trace::draw(&deployment, load, SPAN, seed);
            for way in way::Way::all() {
                let (row, cut) = one(&deployment, load, &trace, way);
                results.rows.push(row);
                results.cuts.extend(cut);
            }
        }
    }
    results.slopes = slope::slopes(seed);
    results.costs = slope::costs();
    results
}

fn one(
    deployment: &deployment::Deployment,
    load: trace::Load,
    trace: &[trace::Arrival],
    way: way::Way,
) -> (Row, Option<Cut>) {
    let fault = fault::Fault::new(load);
    let mut tally = tally::Tally::new(deployment, &fault);
    let mut reserve = 0;
    match way {
        way::Way::Static => simple::split(deployment, trace, &mut tally),
        way::Way::Owner => simple::owner(deployment, &fault, trace, &mut tally),
        way::Way::Table => simple::table(deployment, &fault, trace, &mut tally),
        way::Way::Grants {
            reserve: percent,
            shortage,
        } => {
            let plan = grants::Plan {
                reserve: way::percent(percent),
                shortage,
                timing: budget::Timing::default(),
            };
            reserve = reserved(deployment, &fault, &plan);
            grants::run(deployment, &fault, trace, &plan, &mut tally);
        }
    }
    let cut = Cut {
        deployment: deployment.name,
        way: way.name(),
        inside: tally.inside,
        outside: tally.outside,
        reserve,
    };
    let row = row(deployment, load, way, &tally);
    (row, (load == trace::Load::Cut).then_some(cut))
}

fn row(
    deployment: &deployment::Deployment,
    load: trace::Load,
    way: way::Way,
    tally: &tally::Tally<'_>,
) -> Row {
    let micros = SPAN - tally::WARM_UP;
    Row {
        deployment: deployment.name,
        load: load.name(),
        way: way.name(),
        due: tally.due.iter().sum(),
        excess: tally.excess,
        wrongful: tally.wrongful.iter().sum(),
        shortfall: tally.shortfall(),
        worst: tally.worst(),
        p50: tally.waits.value_at_quantile(0.5),
        p99: tally.waits.value_at_quantile(0.99),
        messages: tally::ratio(tally.messages * 1_000_000, micros),
    }
}

/// Returns the requests that the reserve of the zone that is cut off stands for.
fn reserved(deployment: &deployment::Deployment, fault: &fault::Fault, plan: &grants::Plan) -> u64 {
    let hosts = (0..deployment.hosts).filter(|host| fault.is_in_zone(deployment, *host));
    let shares = hosts.map(|host| plan.share(deployment, host));
    let share = shares.fold(budget::Share::NONE, budget::Share::plus);
    let parts = deployment
        .accounts
        .iter()
        .map(|whole| share.of(*whole, &plan.timing));
    let micros: u64 = parts.map(|part| part.rate.as_micros()).sum();
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
            row.load,
            row.way,
            row.due,
            row.excess,
            row.wrongful,
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
            cut.way,
            cut.inside.admitted,
            cut.inside.due,
            cut.reserve,
            cut.outside.admitted,
            cut.outside.due
        )?;
    }
    writeln!(out, "\nhosts accounts    msg/s   bytes/s")?;
    for slope in &results.slopes {
        writeln!(
            out,
            "{:>5} {:>8} {:>8.0} {:>9.0}",
            slope.hosts, slope.accounts, slope.messages, slope.bytes
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
