//! Cost of one change of the records, as the records grow.

use std::hint;
use std::io;
use std::time;

use skylark_core::catalog;
use skylark_core::record;
use skylark_core::unit;

use super::line;
use crate::error;

const SIZES: [usize; 4] = [100, 1_000, 3_000, 10_000];
const ROUNDS: u32 = 5;

/// One measured size.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct Point {
    records: usize,
    json_bytes: usize,
    encode_micros: u128,
    decode_micros: u128,
    build_micros: u128,
}

/// Measures each size.
///
/// # Errors
///
/// Fails when records cannot be written or read.
pub fn measure() -> error::Result<Vec<Point>> {
    SIZES.iter().map(|size| point(*size)).collect()
}

fn point(size: usize) -> error::Result<Point> {
    let documents = documents(size)?;
    let json = serde_json::to_vec(&documents)?;
    Ok(Point {
        records: documents.len(),
        json_bytes: json.len(),
        encode_micros: micros(|| serde_json::to_vec(&documents).is_ok()),
        decode_micros: micros(|| serde_json::from_slice::<Vec<record::Document>>(&json).is_ok()),
        build_micros: micros(|| catalog::Catalog::new(unit::Version::new(1), &documents).is_ok()),
    })
}

fn micros(work: impl Fn() -> bool) -> u128 {
    let start = time::Instant::now();
    for _ in 0..ROUNDS {
        hint::black_box(work());
    }
    start.elapsed().as_micros() / u128::from(ROUNDS)
}

/// Makes a quarter accounts, a quarter keys and half targets.
fn documents(size: usize) -> error::Result<Vec<record::Document>> {
    let mut documents = vec![
        read("region: {name: east, zones: [east-a, east-b], delay: 3ms}")?,
        read(SERVICE)?,
    ];
    for index in 0..size / 4 {
        documents.push(read(&format!(
            "account: {{name: account-{index}, rate: 100/s, burst: 200}}"
        ))?);
        let digest = String::from(skylark_core::secret::Secret::new(&format!("k{index}")).digest());
        documents.push(read(&format!(
            "key: {{name: key-{index}, account: account-{index}, digest: {digest}}}"
        ))?);
    }
    for index in 0..size / 2 {
        documents.push(read(&format!(
            "target: {{name: target-{index}, service: stock, zone: east-a, \
             address: '127.0.0.1:9000', slots: 8, connections: 330}}"
        ))?);
    }
    Ok(documents)
}

fn read(text: &str) -> error::Result<record::Document> {
    let text = format!("schema: 1\n{text}\n");
    let read = record::parse(&text)
        .ok()
        .and_then(|mut documents| documents.pop());
    read.ok_or(error::Error::Record(text))
}

const SERVICE: &str = "service:
  name: stock
  routes: [{methods: [GET], path: /stock, access: keyed, idempotent: true}]
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}";

/// Prints the points and their lines.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn print(out: &mut impl io::Write, points: &[Point]) -> error::Result<()> {
    writeln!(out, "records of one version")?;
    for p in points {
        writeln!(
            out,
            "  {:>6} records: {:>8} bytes of JSON, written in {:>6} us, read in {:>6} us, indexed in {:>6} us",
            p.records, p.json_bytes, p.encode_micros, p.decode_micros, p.build_micros
        )?;
    }
    let fit = |value: fn(&Point) -> u128| {
        line::Line::fit(points.iter().map(|p| {
            (
                line::real(p.records),
                line::real(usize::try_from(value(p)).unwrap_or(usize::MAX)),
            )
        }))
    };
    writeln!(out, "  bytes: {} a record", fit(|p| p.json_bytes as u128))?;
    writeln!(out, "  write: {} us a record", fit(|p| p.encode_micros))?;
    writeln!(out, "  read: {} us a record", fit(|p| p.decode_micros))?;
    writeln!(out, "  index: {} us a record", fit(|p| p.build_micros))?;
    Ok(())
}
