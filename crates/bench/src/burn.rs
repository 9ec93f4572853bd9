//! Duration of the burn-rate report as the number of decisions grows.

use std::hint;
use std::io;
use std::io::Write as _;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_core::burn;
use skylark_core::catalog;
use skylark_core::decision;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::timestamp;
use skylark_core::unit;

use super::error;
use super::options;

/// Numbers of decisions.
const SIZES: [usize; 4] = [20_000, 50_000, 100_000, 200_000];
const ACCOUNTS: usize = 8;
const LONG_WINDOW_MILLIS: u64 = 600_000;
const MAX_LATENCY_MICROS: u64 = 400_000;

/// Duration of the report at one number of decisions.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
struct Point {
    decisions: usize,
    millis: u64,
    nanos_each: u64,
}

/// Measures and prints the duration at each number of decisions.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn run(options: &options::Options) -> error::Result<()> {
    let points: Vec<Point> = SIZES.iter().map(|s| measure(*s, options.seed)).collect();
    let mut out = io::stdout().lock();
    if options.is_json {
        writeln!(out, "{}", serde_json::to_string(&points)?)?;
        return Ok(());
    }
    writeln!(out, "decisions  report ms  ns each")?;
    for point in points {
        let Point {
            decisions,
            millis,
            nanos_each,
        } = point;
        writeln!(out, "{decisions:>9}  {millis:>9}  {nanos_each:>7}")?;
    }
    Ok(())
}

fn measure(size: usize, seed: u64) -> Point {
    let documents = record::parse(&records()).unwrap_or_default();
    let catalog = catalog::Catalog::new(unit::Version::new(1), &documents).unwrap_or_default();
    let decisions = decisions(size, seed);
    let windows = burn::Windows {
        short: unit::HumanDuration::from_millis(LONG_WINDOW_MILLIS / 12),
        long: unit::HumanDuration::from_millis(LONG_WINDOW_MILLIS),
    };
    let now = timestamp::Timestamp::from_millis(LONG_WINDOW_MILLIS);
    let start = time::Instant::now();
    hint::black_box(burn::Report::new(&decisions, &catalog, windows, now));
    let elapsed = start.elapsed();
    let nanos = elapsed.as_nanos() / size.max(1) as u128;
    Point {
        decisions: size,
        millis: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        nanos_each: u64::try_from(nanos).unwrap_or(u64::MAX),
    }
}

fn records() -> String {
    let account = |number| {
        format!("---\nschema: 1\naccount: {{name: account-{number}, rate: 100/s, burst: 200}}\n")
    };
    let accounts: String = (0..ACCOUNTS).map(account).collect();
    format!("{SERVICE_RECORD}{accounts}")
}

fn decisions(size: usize, seed: u64) -> Vec<decision::Decision> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let draw_decision = |number: usize| -> skylark_core::name::Result<decision::Decision> {
        let id = name::Request::new(&format!("r{number}"))?;
        Ok(decision::Decision {
            schema: decision::Decision::SCHEMA,
            seed: steer::Seed::of(&id),
            id,
            at: timestamp::Timestamp::from_millis(rng.random_range(0..LONG_WINDOW_MILLIS)),
            host: name::Host::new("host-1")?,
            incarnation: name::Incarnation::new("host-1-1")?,
            version: unit::Version::new(1),
            plan: None,
            service: Some(name::Service::new("stock")?),
            account: Some(name::Account::new(&format!(
                "account-{}",
                number % ACCOUNTS
            ))?),
            deadline: Some(MAX_LATENCY_MICROS),
            steps: Vec::new(),
            verdict: decision::Verdict::Served {
                target: name::Target::new("stock-1")?,
                status: 200,
            },
            latency: rng.random_range(0..MAX_LATENCY_MICROS),
            digest: decision::Digest::NONE,
        })
    };
    (0..size)
        .map(draw_decision)
        .filter_map(Result::ok)
        .collect()
}

const SERVICE_RECORD: &str = "schema: 1
service:
  name: stock
  routes:
    - {methods: [GET], path: /stock, access: keyed, idempotent: true}
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}
";
