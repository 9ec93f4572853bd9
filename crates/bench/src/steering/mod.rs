//! Discrete-event emulation that compares steering with a naive policy on the same traces.

mod deployment;
mod emulator;
mod host;
mod policy;
mod report;
mod scenario;
mod server;
mod trace;

use std::io;
use std::io::Write as _;

use super::error;
use super::options;

/// Runs every scenario under both policies and prints the results.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn run(options: &options::Options) -> error::Result<()> {
    let mut reports = Vec::new();
    for deployment in deployment::Deployment::ALL {
        for scenario in scenario::Scenario::ALL {
            for policy in policy::Policy::ALL {
                let emulator = emulator::Emulator::new(deployment, scenario, policy, options.seed);
                reports.push(emulator.run());
            }
        }
    }
    let mut out = io::stdout().lock();
    if options.is_json {
        writeln!(out, "{}", serde_json::to_string(&reports)?)?;
        return Ok(());
    }
    writeln!(out, "{}", report::Report::HEADER)?;
    for report in &reports {
        writeln!(out, "{report}")?;
    }
    Ok(())
}
