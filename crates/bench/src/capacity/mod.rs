//! Slopes of what each role costs, for the page on capacity.

mod hosts;
mod line;
mod records;

use std::io;
use std::io::Write as _;

use super::blocks;
use super::error;
use super::options;

/// Everything that the page on capacity takes from this tool.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Report {
    records: Vec<records::Point>,
    hosts: Vec<hosts::Point>,
    blocks: Vec<blocks::Point>,
}

/// Measures and prints the slopes.
///
/// # Errors
///
/// Fails when the output cannot be written.
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
    for p in points {
        writeln!(
            out,
            "  {:>9} blocks: {:>9} bytes, snapshot {:>9} bytes, read in {:>4} ms, {:>4} ns a look-up",
            p.blocks, p.bytes, p.snapshot, p.decode_millis, p.table_nanos
        )?;
    }
    let at = |size: fn(&blocks::Point) -> f64| {
        line::Line::fit(points.iter().map(|p| (line::real(p.blocks), size(p))))
    };
    writeln!(
        out,
        "  memory: {} bytes a block",
        at(|p| line::real(p.bytes))
    )?;
    writeln!(
        out,
        "  snapshot: {} bytes a block",
        at(|p| line::real(p.snapshot))
    )?;
    Ok(())
}
