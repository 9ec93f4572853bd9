//! Cost of the list of entry hosts as the number of hosts grows.

use std::hint;
use std::io;
use std::time;

use skylark_core::catalog;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::control;

use super::regression;
use crate::error;

/// Numbers of entry hosts.
const SIZES: [usize; 4] = [11, 100, 300, 790];
const ZONES: usize = 9;
const ROUNDS: u32 = 5;
const ISSUED_AT_SECONDS: u64 = 1_796_365_000;

/// Measurements at one number of entry hosts.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct Point {
    hosts: usize,
    json_bytes: usize,
    compact_bytes: u64,
    render_micros: u128,
}

/// Measures size and rendering time of the list at each number of hosts.
///
/// # Errors
///
/// Fails when a list cannot be written.
pub fn measure() -> error::Result<Vec<Point>> {
    let catalog = catalog()?;
    SIZES
        .iter()
        .map(|size| measure_size(&catalog, *size))
        .collect()
}

fn measure_size(catalog: &catalog::Catalog, size: usize) -> error::Result<Point> {
    let hosts = (0..size).map(host).collect::<error::Result<Vec<_>>>()?;
    let start = time::Instant::now();
    for _ in 0..ROUNDS {
        hint::black_box(skylark_lookup::Answers::new(
            catalog,
            &hosts,
            ISSUED_AT_SECONDS,
        ));
    }
    let render_micros = start.elapsed().as_micros() / u128::from(ROUNDS);
    Ok(Point {
        hosts: size,
        json_bytes: serde_json::to_vec(&hosts)?.len(),
        compact_bytes: bincode::serialized_size(&hosts)?,
        render_micros,
    })
}

fn host(index: usize) -> error::Result<control::Host> {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 8_000));
    let host = format!("host-{index}");
    Ok(control::Host {
        host: name::Host::new(&host)?,
        incarnation: name::Incarnation::new(&format!("{host}-{index:032x}"))?,
        zone: name::Zone::new(&format!("zone-{}", index % ZONES))?,
        ports: control::Ports {
            entry: address,
            control: address,
            home: address,
            lookup: address,
            steer: address,
        },
        phase: control::Phase::Serving,
    })
}

/// Returns a catalog of four regions with nine availability zones in total.
fn catalog() -> error::Result<catalog::Catalog> {
    let regions = [&[0, 1, 2][..], &[3, 4], &[5, 6], &[7, 8]];
    let mut documents: Vec<record::Document> = Vec::new();
    for (number, zones) in regions.iter().enumerate() {
        let zones: Vec<String> = zones.iter().map(|zone| format!("zone-{zone}")).collect();
        let text = format!(
            "schema: 1\nregion: {{name: region-{number}, zones: [{}], delay: 3ms}}\n",
            zones.join(", ")
        );
        documents.extend(record::parse(&text).map_err(|_faults| error::Error::Record(text))?);
    }
    Ok(catalog::Catalog::new(unit::Version::new(1), &documents)?)
}

/// Prints the measurements and their regression lines.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn print(out: &mut impl io::Write, points: &[Point]) -> error::Result<()> {
    writeln!(out, "entry hosts")?;
    for point in points {
        writeln!(
            out,
            "  {:>4} hosts: {:>7} bytes of JSON, {:>6} bytes compact, answers of 9 zones rendered in {:>6} us",
            point.hosts, point.json_bytes, point.compact_bytes, point.render_micros
        )?;
    }
    let regression_of = |value: fn(&Point) -> u128| {
        regression::Regression::fit(points.iter().map(|point| {
            (
                regression::to_f64(point.hosts),
                regression::to_f64(usize::try_from(value(point)).unwrap_or(usize::MAX)),
            )
        }))
    };
    writeln!(
        out,
        "  compact: {} bytes a host",
        regression_of(|point| u128::from(point.compact_bytes))
    )?;
    writeln!(
        out,
        "  render: {} us a host",
        regression_of(|point| point.render_micros)
    )?;
    Ok(())
}
