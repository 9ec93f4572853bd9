//! Experiments and benchmarks of the traffic decisions, one module for each experiment.

mod blocks;
mod budgets;
mod burn;
mod capacity;
mod error;
mod idempotency;
pub mod options;
mod route_lookup;
mod steering;
mod steering_cost;

pub use error::{Error, Result};

/// Runs the experiment that the command line names.
///
/// # Errors
///
/// Fails on an unknown experiment, on input that cannot be built, or on a failed output.
pub fn run() -> Result<()> {
    let options = options::Options::from_args()?;
    match options.experiment {
        options::Experiment::Blocks => blocks::run(&options),
        options::Experiment::Capacity => capacity::run(&options),
        options::Experiment::Budgets => budgets::run(&options),
        options::Experiment::Burn => burn::run(&options),
        options::Experiment::RouteLookup => route_lookup::run(&options),
        options::Experiment::Idempotency => idempotency::run(&options),
        options::Experiment::Steering => steering::run(&options),
        options::Experiment::SteeringCost => steering_cost::run(&options),
    }
}
