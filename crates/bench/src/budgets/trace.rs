//! Arrivals of requests, drawn from a seed, the same for every way.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

use super::deployment;
use super::fault;
use super::naive;

/// Part of each account's rate that it sends.
const USUAL_LOAD: f64 = 0.8;
/// Times its rate that the first account sends under [`Load::Tenant`].
const GREEDY_LOAD: f64 = 5.0;
/// Part of an account's requests that come to one host under [`Load::Skewed`].
const SKEW: f64 = 0.8;

/// How requests arrive, and what fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Evenly over hosts, below the rate.
    Even,
    /// Each account mostly at one host, below the rate.
    Skewed,
    /// The first account at five times its rate.
    Tenant,
    /// Evenly, with one availability zone cut off.
    Cut,
    /// Evenly, with the owner's host killed.
    Killed,
    /// Evenly, with the owner's host frozen.
    Frozen,
    /// Evenly, with the store down.
    Store,
}

impl Load {
    /// Every load.
    pub const ALL: [Self; 7] = [
        Self::Even,
        Self::Skewed,
        Self::Tenant,
        Self::Cut,
        Self::Killed,
        Self::Frozen,
        Self::Store,
    ];

    /// Returns the load's name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Skewed => "skewed",
            Self::Tenant => "tenant-5x",
            Self::Cut => "zone-cut",
            Self::Killed => "owner-killed",
            Self::Frozen => "owner-frozen",
            Self::Store => "store-down",
        }
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time of arrival in microseconds.
    pub at: u64,
    /// Host at which it arrives.
    pub host: usize,
    /// Client account.
    pub account: usize,
    /// Whether a single bucket of its own would admit it.
    pub is_due: bool,
}

/// Draws the arrivals of `span` microseconds, in order of time.
///
/// Callers of a host that does not run are left out.
#[must_use]
pub fn draw(deployment: &deployment::Deployment, load: Load, span: u64, seed: u64) -> Vec<Arrival> {
    let fault = fault::Fault::new(load);
    let mut arrivals = random(deployment, load, span, seed);
    arrivals.retain(|arrival| !fault.is_stopped(arrival.host, arrival.at));
    let buckets = deployment.accounts.iter();
    let mut buckets: Vec<naive::Naive> = buckets.map(|part| naive::Naive::new(*part)).collect();
    for arrival in &mut arrivals {
        arrival.is_due = buckets[arrival.account].take(arrival.at);
    }
    arrivals
}

fn random(deployment: &deployment::Deployment, load: Load, span: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (account, part) in deployment.accounts.iter().enumerate() {
        let is_greedy = load == Load::Tenant && account == 0;
        let factor = if is_greedy { GREEDY_LOAD } else { USUAL_LOAD };
        let rate = u32::try_from(part.rate.as_micros() / 1_000_000).unwrap_or(u32::MAX);
        let rate = f64::from(rate) * factor / 1e6;
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random();
            at -= (1.0 - uniform).ln() / rate;
            let time = time::Duration::from_secs_f64(at / 1e6).as_micros();
            let time = u64::try_from(time).unwrap_or(u64::MAX);
            if time >= span {
                break;
            }
            let is_home = load == Load::Skewed && rng.random_bool(SKEW);
            let host = if is_home {
                (account * 3 + 1) % deployment.hosts
            } else {
                rng.random_range(0..deployment.hosts)
            };
            arrivals.push(Arrival {
                at: time,
                host,
                account,
                is_due: false,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
