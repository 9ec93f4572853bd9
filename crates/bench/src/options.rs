//! Command-line options of the experiment tool.

use super::error;

/// Names of the experiments as error messages list them.
pub const EXPERIMENTS: &str =
    "blocks, budgets, burn, capacity, decision, once, steering or steering-cost";

/// One experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Memory and look-up time of the table of client blocks.
    Blocks,
    /// Strategies for enforcing limits over all entry hosts.
    Budgets,
    /// Duration of the burn-rate report.
    Burn,
    /// Growth of memory and processor time, for capacity planning.
    Capacity,
    /// Duration of a route look-up.
    RouteLookup,
    /// Cost of the ledger of idempotency keys.
    Idempotency,
    /// Emulation that compares steering with a naive policy.
    Steering,
    /// Duration of admission and target choice.
    SteeringCost,
}

/// The experiment to run, its seed and its output format.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Experiment to run.
    pub experiment: Experiment,
    /// Whether the result is printed as JSON.
    pub is_json: bool,
    /// Seed of every random draw.
    pub seed: u64,
}

impl Options {
    /// Reads the command line.
    ///
    /// # Errors
    ///
    /// Fails on an unknown flag or experiment.
    pub fn from_args() -> error::Result<Self> {
        let flags = xflags::parse_or_exit! {
            /// Name of the experiment
            required name: String
            /// Print JSON
            optional --json
            /// Seed of every random draw
            optional --seed seed: u64
        };
        let experiment = match flags.name.as_str() {
            "blocks" => Experiment::Blocks,
            "budgets" => Experiment::Budgets,
            "burn" => Experiment::Burn,
            "capacity" => Experiment::Capacity,
            "decision" => Experiment::RouteLookup,
            "once" => Experiment::Idempotency,
            "steering" => Experiment::Steering,
            "steering-cost" => Experiment::SteeringCost,
            _ => return Err(error::Error::UnknownExperiment(flags.name)),
        };
        Ok(Self {
            experiment,
            is_json: flags.json,
            seed: flags.seed.unwrap_or(1),
        })
    }
}
