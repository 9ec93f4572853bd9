//! Cost of a new version of the records as their number grows.

use std::hint;
use std::io;
use std::time;

use skylark_core::catalog;
use skylark_core::record;
use skylark_core::unit;

use super::regression;
use crate::error;

/// Numbers of records besides the region and the service.
const SIZES: [usize; 4] = [100, 1_000, 3_000, 10_000];
const ROUNDS: u32 = 5;

/// Measurements at one number of records; times are means of several rounds.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct Point {
    records: usize,
    json_bytes: usize,
    encode_micros: u128,
    decode_micros: u128,
    build_micros: u128,
}

/// Measures encoding, decoding and indexing at each number of records.
///
/// # Errors
///
/// Fails when records cannot be encoded or parsed.
pub fn measure() -> error::Result<Vec<Point>> {
    SIZES.iter().map(|size| measure_size(*size)).collect()
}

fn measure_size(size: usize) -> error::Result<Point> {
    let documents = documents(size)?;
    let json = serde_json::to_vec(&documents)?;
    Ok(Point {
        records: documents.len(),
        json_bytes: json.len(),
        encode_micros: mean_micros(|| serde_json::to_vec(&documents).is_ok()),
        decode_micros: mean_micros(|| {
            serde_json::from_slice::<Vec<record::Document>>(&json).is_ok()
        }),
        build_micros: mean_micros(|| {
            catalog::Catalog::new(unit::Version::new(1), &documents).is_ok()
        }),
    })
}

fn mean_micros(work: impl Fn() -> bool) -> u128 {
    let start = time::Instant::now();
    for _ in 0..ROUNDS {
        hint::black_box(work());
    }
    start.elapsed().as_micros() / u128::from(ROUNDS)
}

/// Returns records of which a quarter are accounts, a quarter keys and half targets.
fn documents(size: usize) -> error::Result<Vec<record::Document>> {
    let mut documents = vec![
        parse_one("region: {name: east, zones: [east-a, east-b], delay: 3ms}")?,
        parse_one(SERVICE_RECORD)?,
    ];
    for index in 0..size / 4 {
        documents.push(parse_one(&format!(
            "account: {{name: account-{index}, rate: 100/s, burst: 200}}"
        ))?);
        let digest = String::from(skylark_core::secret::Secret::new(&format!("k{index}")).digest());
        documents.push(parse_one(&format!(
            "key: {{name: key-{index}, account: account-{index}, digest: {digest}}}"
        ))?);
    }
    for index in 0..size / 2 {
        documents.push(parse_one(&format!(
            "target: {{name: target-{index}, service: stock, zone: east-a, \
             address: '127.0.0.1:9000', slots: 8, connections: 330}}"
        ))?);
    }
    Ok(documents)
}

fn parse_one(text: &str) -> error::Result<record::Document> {
    let text = format!("schema: 1\n{text}\n");
    let document = record::parse(&text)
        .ok()
        .and_then(|mut documents| documents.pop());
    document.ok_or(error::Error::Record(text))
}

const SERVICE_RECORD: &str = "service:
  name: stock
  routes: [{methods: [GET], path: /stock, access: keyed, idempotent: true}]
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}";

/// Prints the measurements and their regression lines.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn print(out: &mut impl io::Write, points: &[Point]) -> error::Result<()> {
    writeln!(out, "records of one version")?;
    for point in points {
        writeln!(
            out,
            "  {:>6} records: {:>8} bytes of JSON, written in {:>6} us, read in {:>6} us, indexed in {:>6} us",
            point.records,
            point.json_bytes,
            point.encode_micros,
            point.decode_micros,
            point.build_micros
        )?;
    }
    let regression_of = |value: fn(&Point) -> u128| {
        regression::Regression::fit(points.iter().map(|point| {
            (
                regression::to_f64(point.records),
                regression::to_f64(usize::try_from(value(point)).unwrap_or(usize::MAX)),
            )
        }))
    };
    writeln!(
        out,
        "  bytes: {} a record",
        regression_of(|point| point.json_bytes as u128)
    )?;
    writeln!(
        out,
        "  write: {} us a record",
        regression_of(|point| point.encode_micros)
    )?;
    writeln!(
        out,
        "  read: {} us a record",
        regression_of(|point| point.decode_micros)
    )?;
    writeln!(
        out,
        "  index: {} us a record",
        regression_of(|point| point.build_micros)
    )?;
    Ok(())
}
