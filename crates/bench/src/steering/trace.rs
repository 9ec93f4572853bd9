//! Random trace of arrivals and service times, the same for every policy.

use rand::RngExt as _;
use rand::SeedableRng as _;

use super::deployment;
use super::scenario;

/// Duration of the trace.
pub const TRACE_MICROS: u64 = 30_000_000;
/// Mean time for which a request occupies a slot.
pub const MEAN_SERVICE_MICROS: u64 = 20_000;
/// Time from arrival after which an answer is too late.
pub const DEADLINE_MICROS: u64 = 300_000;
/// Number of client accounts.
pub const ACCOUNTS: usize = 8;

const ACCOUNT_WEIGHTS: [u64; ACCOUNTS] = [30, 25, 15, 10, 8, 6, 4, 2];
/// Weight of the first account under overload; it sends most of the excess.
const OVERLOAD_WEIGHT: u64 = 268;
/// Quantiles of the exponential distribution, in thousandths of its mean.
const QUANTILES_PER_MILLE: [u64; 16] = [
    32, 100, 174, 252, 337, 430, 532, 646, 774, 920, 1_091, 1_296, 1_552, 1_896, 2_418, 3_550,
];

/// A request of the trace.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time at which the request reaches its entry host, in microseconds.
    pub at: u64,
    /// Index of the entry host.
    pub host: usize,
    /// Index of the client account.
    pub account: usize,
    /// Time for which it occupies a slot of a target with a warm cache, in microseconds.
    pub service_time: u64,
}

/// Draws the arrivals of a run, in order of time.
///
/// Gaps and service times follow an exponential distribution, sampled at its quantiles.
pub fn arrivals(
    deployment: deployment::Deployment,
    scenario: scenario::Scenario,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut weights = ACCOUNT_WEIGHTS;
    if scenario == scenario::Scenario::Overload {
        weights[0] = OVERLOAD_WEIGHT;
    }
    let total: u64 = weights.iter().sum();
    let slots = u64::from(deployment.slots()) * deployment.targets() as u64;
    let mean_gap_nanos = MEAN_SERVICE_MICROS * 100 * 1_000 / (slots * scenario.load());
    let mut arrivals = Vec::new();
    let mut nanos = 0;
    while nanos / 1_000 < TRACE_MICROS {
        nanos += mean_gap_nanos
            * QUANTILES_PER_MILLE[rng.random_range(0..QUANTILES_PER_MILLE.len())]
            / 1_000;
        let quantile = QUANTILES_PER_MILLE[rng.random_range(0..QUANTILES_PER_MILLE.len())];
        arrivals.push(Arrival {
            at: nanos / 1_000,
            host: rng.random_range(0..deployment.hosts()),
            account: account_at(&weights, rng.random_range(0..total)),
            service_time: MEAN_SERVICE_MICROS / 4 + MEAN_SERVICE_MICROS * 3 / 4 * quantile / 1_000,
        });
    }
    arrivals
}

fn account_at(weights: &[u64; ACCOUNTS], mut point: u64) -> usize {
    for (account, weight) in weights.iter().enumerate() {
        if point < *weight {
            return account;
        }
        point -= weight;
    }
    0
}
