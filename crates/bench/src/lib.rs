//! Experiments and benchmarks on the decisions, one module an experiment.

mod blocks;
mod budgets;
mod burn;
mod capacity;
mod decision;
mod error;
mod once;
pub mod options;
mod steering;
mod steering_cost;

pub use error::{Error, Result};

/// Runs the experiment that the command line names.
///
/// # Errors
///
/// Fails on an unknown experiment or a failed output.
pub fn run() -> Result<()> {
    let options = options::Options::from_args()?;
    match options.experiment {
        options::Experiment::Blocks => blocks::run(&options),
        options::Experiment::Capacity => capacity::run(&options),
        options::Experiment::Budgets => budgets::run(&options),
        options::Experiment::Burn => burn::run(&options),
        options::Experiment::Decision => decision::run(&options),
        options::Experiment::Once => once::run(&options),
        options::Experiment::Steering => steering::run(&options),
        options::Experiment::SteeringCost => steering_cost::run(&options),
    }
}
