//! Arrivals and service times, the same for every policy.

use rand::RngExt as _;
use rand::SeedableRng as _;

use super::deployment;
use super::scenario;

/// Time over which requests arrive, in microseconds.
pub const SPAN: u64 = 30_000_000;
/// Mean time that a request takes a slot, in microseconds.
pub const MEAN: u64 = 20_000;
/// Time that a caller waits, in microseconds.
pub const DEADLINE: u64 = 300_000;
/// Client accounts.
pub const ACCOUNTS: usize = 8;

const WEIGHTS: [u64; ACCOUNTS] = [30, 25, 15, 10, 8, 6, 4, 2];
const FLOOD: u64 = 268;
/// Quantiles of the exponential distribution, in thousandths of its mean.
const QUANTILES: [u64; 16] = [
    32, 100, 174, 252, 337, 430, 532, 646, 774, 920, 1_091, 1_296, 1_552, 1_896, 2_418, 3_550,
];

/// One request of the trace.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it reaches its entry host, in microseconds.
    pub at: u64,
    /// Its entry host.
    pub host: usize,
    /// Its client account.
    pub account: usize,
    /// Time that it takes a slot of a warm target, in microseconds.
    pub work: u64,
}

/// Draws the arrivals of a run.
pub fn arrivals(
    deployment: deployment::Deployment,
    scenario: scenario::Scenario,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut weights = WEIGHTS;
    if scenario == scenario::Scenario::Overload {
        weights[0] = FLOOD;
    }
    let total: u64 = weights.iter().sum();
    let slots = u64::from(deployment.slots()) * deployment.targets() as u64;
    let gap = MEAN * 100 * 1_000 / (slots * scenario.load());
    let mut arrivals = Vec::new();
    let mut nanos = 0;
    while nanos / 1_000 < SPAN {
        nanos += gap * QUANTILES[rng.random_range(0..QUANTILES.len())] / 1_000;
        let work = QUANTILES[rng.random_range(0..QUANTILES.len())];
        arrivals.push(Arrival {
            at: nanos / 1_000,
            host: rng.random_range(0..deployment.hosts()),
            account: pick(&weights, rng.random_range(0..total)),
            work: MEAN / 4 + MEAN * 3 / 4 * work / 1_000,
        });
    }
    arrivals
}

fn pick(weights: &[u64; ACCOUNTS], mut point: u64) -> usize {
    for (account, weight) in weights.iter().enumerate() {
        if point < *weight {
            return account;
        }
        point -= weight;
    }
    0
}
