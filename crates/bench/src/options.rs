//! Command line of the experiment tool.

use super::error;

/// Names of the experiments, for messages.
pub const NAMES: &str =
    "blocks, budgets, burn, capacity, decision, once, steering or steering-cost";

/// One experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Table of blocks of clients.
    Blocks,
    /// Ways of keeping one budget over all entry hosts.
    Budgets,
    /// Cost of the burn report.
    Burn,
    /// Slopes for the page on capacity.
    Capacity,
    /// Cost of reading the route of a request.
    Decision,
    /// Cost of the ledger of idempotency keys.
    Once,
    /// Steering against a naive version.
    Steering,
    /// Cost of admission and target choice.
    SteeringCost,
}

/// What to run and how to print it.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The experiment.
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
            "decision" => Experiment::Decision,
            "once" => Experiment::Once,
            "steering" => Experiment::Steering,
            "steering-cost" => Experiment::SteeringCost,
            _ => return Err(error::Error::Unknown(flags.name)),
        };
        Ok(Self {
            experiment,
            is_json: flags.json,
            seed: flags.seed.unwrap_or(1),
        })
    }
}
