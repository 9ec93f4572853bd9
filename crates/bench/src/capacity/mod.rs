//! Growth of memory and processor time with records, hosts and client blocks.

mod hosts;
mod records;
mod regression;

use std::io;
use std::io::Write as _;

use super::blocks;
use super::error;
use super::options;

/// Measurements that the capacity page quotes.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Report {
    records: Vec<records::Point>,
    hosts: Vec<hosts::Point>,
    blocks: Vec<blocks::Point>,
}

/// Measures each size and prints the measurements with their regression lines.
///
/// # Errors
///
/// Fails when a measurement cannot be prepared or the output cannot be written.
pub fn run(options: &options::Options) -> error::Result<()> {
    let report = Report {
        records: records::measure()?,
        hosts: hosts::measure()?,
        blocks: blocks::measure(options.seed)?,
    };
    let mut out = io::stdout().lock();
    if options.is_json {
        writeln!(out, "{}", serde_json::to_string(&report)?)?;
        return Ok(());
    }
    records::print(&mut out, &report.records)?;
    hosts::print(&mut out, &report.hosts)?;
    print_blocks(&mut out, &report.blocks)
}

fn print_blocks(out: &mut impl io::Write, points: &[blocks::Point]) -> error::Result<()> {
    writeln!(out, "blocks of clients")?;
    for point in points {
        writeln!(
            out,
            "  {:>9} blocks: {:>9} bytes, snapshot {:>9} bytes, read in {:>4} ms, {:>4} ns a look-up",
            point.blocks, point.bytes, point.snapshot, point.decode_millis, point.table_nanos
        )?;
    }
    let regression_of = |value: fn(&blocks::Point) -> f64| {
        regression::Regression::fit(
            points
                .iter()
                .map(|point| (regression::to_f64(point.blocks), value(point))),
        )
    };
    writeln!(
        out,
        "  memory: {} bytes a block",
        regression_of(|point| regression::to_f64(point.bytes))
    )?;
    writeln!(
        out,
        "  snapshot: {} bytes a block",
        regression_of(|point| regression::to_f64(point.snapshot))
    )?;
    Ok(())
}
