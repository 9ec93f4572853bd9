//! Random trace of arrivals, the same for every strategy.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

use super::deployment;
use super::fault;
use super::token_bucket;

/// Offered rate as a fraction of the limit of an account.
const NORMAL_LOAD_FACTOR: f64 = 0.8;
/// Offered rate of the first account as a multiple of its limit under [`Scenario::AccountOverload`].
const OVERLOAD_FACTOR: f64 = 5.0;
/// Fraction of the requests of an account that arrive at one host under [`Scenario::Skewed`].
const SKEWED_FRACTION: f64 = 0.8;

/// A distribution of arrivals with the fault that occurs meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Spread evenly over hosts, below the limit.
    Even,
    /// Each account mostly at one host, below the limit.
    Skewed,
    /// Spread evenly, with the first account at five times its limit.
    AccountOverload,
    /// Spread evenly, with one availability zone partitioned from the others.
    ZoneCut,
    /// Spread evenly, with the host of the budget owner killed.
    OwnerKilled,
    /// Spread evenly, with the host of the budget owner suspended for a while.
    OwnerFrozen,
    /// Spread evenly, with the store of leases and rows unreachable.
    StoreDown,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::Even,
        Self::Skewed,
        Self::AccountOverload,
        Self::ZoneCut,
        Self::OwnerKilled,
        Self::OwnerFrozen,
        Self::StoreDown,
    ];

    /// Returns the name that reports print.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Skewed => "skewed",
            Self::AccountOverload => "tenant-5x",
            Self::ZoneCut => "zone-cut",
            Self::OwnerKilled => "owner-killed",
            Self::OwnerFrozen => "owner-frozen",
            Self::StoreDown => "store-down",
        }
    }
}

/// A request of the trace.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time of arrival in microseconds.
    pub at: u64,
    /// Index of the host at which it arrives.
    pub host: usize,
    /// Index of the client account.
    pub account: usize,
    /// Whether one token bucket for the whole account, seeing all arrivals, would admit it.
    pub is_conforming: bool,
}

/// Draws the arrivals of `duration` microseconds as a Poisson process, in order of time.
///
/// Requests to a host that does not run at the time are left out.
#[must_use]
pub fn draw(
    deployment: &deployment::Deployment,
    scenario: Scenario,
    duration: u64,
    seed: u64,
) -> Vec<Arrival> {
    let fault = fault::Fault::new(scenario);
    let mut arrivals = random(deployment, scenario, duration, seed);
    arrivals.retain(|arrival| !fault.is_stopped(arrival.host, arrival.at));
    let buckets = deployment.accounts.iter();
    let mut buckets: Vec<token_bucket::TokenBucket> = buckets
        .map(|limit| token_bucket::TokenBucket::new(*limit))
        .collect();
    for arrival in &mut arrivals {
        arrival.is_conforming = buckets[arrival.account].take(arrival.at);
    }
    arrivals
}

fn random(
    deployment: &deployment::Deployment,
    scenario: Scenario,
    duration: u64,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (account, limit) in deployment.accounts.iter().enumerate() {
        let is_overloading = scenario == Scenario::AccountOverload && account == 0;
        let factor = if is_overloading {
            OVERLOAD_FACTOR
        } else {
            NORMAL_LOAD_FACTOR
        };
        let rate = u32::try_from(limit.rate.as_micros() / 1_000_000).unwrap_or(u32::MAX);
        let rate = f64::from(rate) * factor / 1e6;
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random();
            at -= (1.0 - uniform).ln() / rate;
            let time = time::Duration::from_secs_f64(at / 1e6).as_micros();
            let time = u64::try_from(time).unwrap_or(u64::MAX);
            if time >= duration {
                break;
            }
            let is_skewed = scenario == Scenario::Skewed && rng.random_bool(SKEWED_FRACTION);
            let host = if is_skewed {
                (account * 3 + 1) % deployment.hosts
            } else {
                rng.random_range(0..deployment.hosts)
            };
            arrivals.push(Arrival {
                at: time,
                host,
                account,
                is_conforming: false,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
