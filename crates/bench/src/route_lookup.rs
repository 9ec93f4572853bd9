//! Duration of a route look-up as the number of client accounts grows.

use std::hint;
use std::io;
use std::io::Write as _;
use std::iter;
use std::time;

use skylark_core::catalog;
use skylark_core::record;
use skylark_core::unit;

use super::error;
use super::options;

const LOOKUPS: u32 = 200_000;
/// Numbers of client accounts.
const SIZES: [usize; 4] = [8, 80, 800, 8_000];

/// Mean duration of a look-up at one number of accounts.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
struct Point {
    accounts: usize,
    nanos: u64,
}

/// Measures and prints the duration at each number of accounts.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn run(options: &options::Options) -> error::Result<()> {
    let points: Vec<Point> = SIZES.iter().map(|size| measure(*size)).collect();
    let mut out = io::stdout().lock();
    if options.is_json {
        writeln!(out, "{}", serde_json::to_string(&points)?)?;
        return Ok(());
    }
    writeln!(out, "accounts  route ns")?;
    for point in points {
        writeln!(out, "{:>8}  {:>8}", point.accounts, point.nanos)?;
    }
    Ok(())
}

fn measure(accounts: usize) -> Point {
    let catalog = catalog::Catalog::new(unit::Version::new(1), &records(accounts));
    let catalog = catalog.unwrap_or_default();
    let start = time::Instant::now();
    for _ in 0..LOOKUPS {
        hint::black_box(catalog.route(hint::black_box("GET"), hint::black_box("/stock/oars")));
    }
    let nanos = start.elapsed().as_nanos() / u128::from(LOOKUPS);
    Point {
        accounts,
        nanos: u64::try_from(nanos).unwrap_or(u64::MAX),
    }
}

fn records(accounts: usize) -> Vec<record::Document> {
    let accounts = (0..accounts).map(|index| {
        format!("---\nschema: 1\naccount: {{name: account-{index}, rate: 100/s, burst: 200}}\n")
    });
    let text: String = iter::once(SERVICE_RECORD.to_owned())
        .chain(accounts)
        .collect();
    record::parse(&text).unwrap_or_default()
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
