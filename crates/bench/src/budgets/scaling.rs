//! Growth of messages, bytes and admission time with hosts and client accounts.

use std::hint;
use std::time;

use skylark_core::budget;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

use super::deployment;
use super::fault;
use super::grants;
use super::strategy;
use super::tally;
use super::trace;

/// Numbers of entry hosts and client accounts.
const SIZES: [(usize, usize); 7] = [
    (6, 8),
    (11, 8),
    (24, 8),
    (48, 8),
    (11, 80),
    (11, 800),
    (48, 800),
];
const TRACE_MICROS: u64 = 20_000_000;
const TOTAL_REQUESTS_PER_SECOND: u64 = 2_000;
const COST_SIZES: [usize; 4] = [8, 80, 800, 8_000];
const COST_ROUNDS: u32 = 500_000;

/// Traffic between hosts at one size.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct TrafficPoint {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// Messages per second of all hosts together.
    pub messages: f64,
    /// Bytes per second of all hosts together.
    pub bytes: f64,
}

/// Cost of an admission at one number of client accounts.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct CostPoint {
    /// Number of client accounts.
    pub accounts: usize,
    /// Duration of an admission that finds its tokens, in nanoseconds.
    pub nanos: u64,
}

/// Emulates each size at the same total rate and returns the traffic.
#[must_use]
pub fn traffic_points(seed: u64) -> Vec<TrafficPoint> {
    SIZES
        .iter()
        .map(|(hosts, accounts)| traffic_point(*hosts, *accounts, seed))
        .collect()
}

fn traffic_point(hosts: usize, accounts: usize, seed: u64) -> TrafficPoint {
    let account_rate = TOTAL_REQUESTS_PER_SECOND / u64::try_from(accounts).unwrap_or(1);
    let limit =
        budget::Limit::of_requests(unit::Rate::per_second(account_rate), account_rate.max(10));
    let deployment = deployment::Deployment {
        hosts,
        accounts: vec![limit; accounts],
        ..deployment::Deployment::board()
    };
    let fault = fault::Fault::new(trace::Scenario::Even);
    let trace = trace::draw(&deployment, trace::Scenario::Even, TRACE_MICROS, seed);
    let mut tally = tally::Tally::new(&deployment, &fault);
    let config = grants::Config {
        reserve: strategy::percent(50),
        shortage: record::Shortage::Ask,
        timing: budget::Timing::default(),
    };
    grants::run(&deployment, &fault, &trace, &config, &mut tally);
    let micros = TRACE_MICROS - tally::WARM_UP_MICROS;
    TrafficPoint {
        hosts,
        accounts,
        messages: tally::ratio(tally.messages * 1_000_000, micros),
        bytes: tally::ratio(tally.bytes * 1_000_000, micros),
    }
}

/// Measures the duration of an admission at each number of client accounts.
#[must_use]
pub fn cost_points() -> Vec<CostPoint> {
    COST_SIZES
        .iter()
        .map(|accounts| cost_point(*accounts))
        .collect()
}

fn cost_point(accounts: usize) -> CostPoint {
    let name = name::Incarnation::new("one").expect("the name is plain");
    let timing = budget::Timing::default();
    let mut limiter = budget::Limiter::new(name, timing, instant::Instant::ORIGIN);
    let limit = budget::Limit::of_requests(unit::Rate::per_second(1_000_000), 1_000_000);
    for account in 0..accounts {
        let id = u64::try_from(account).unwrap_or(u64::MAX);
        limiter.set_limit(id, limit, instant::Instant::ORIGIN);
    }
    limiter.set_share(budget::Share::WHOLE, instant::Instant::ORIGIN);
    let step = accounts / 2 + 1;
    let mut account_index = 0;
    let start = time::Instant::now();
    for round in 0..COST_ROUNDS {
        let now = instant::Instant::from_micros(1_000_000 + u64::from(round));
        account_index = (account_index + step) % accounts;
        let charge = budget::Charge {
            index: account_index,
            amount: budget::Amount::TOKEN,
        };
        hint::black_box(limiter.admit(hint::black_box(&[charge]), record::Shortage::Ask, now));
    }
    let nanos = start.elapsed().as_nanos() / u128::from(COST_ROUNDS);
    CostPoint {
        accounts,
        nanos: u64::try_from(nanos).unwrap_or(u64::MAX),
    }
}
