//! Messages, bytes and processor time as hosts and client accounts grow.

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
use super::tally;
use super::trace;
use super::way;

const SIZES: [(usize, usize); 7] = [
    (6, 8),
    (11, 8),
    (24, 8),
    (48, 8),
    (11, 80),
    (11, 800),
    (48, 800),
];
const SPAN: u64 = 20_000_000;
const TOTAL_RATE: u64 = 2_000;
const COST_SIZES: [usize; 4] = [8, 80, 800, 8_000];
const COST_ROUNDS: u32 = 500_000;

/// Messages at one size.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct Slope {
    /// Entry hosts.
    pub hosts: usize,
    /// Client accounts.
    pub accounts: usize,
    /// Messages a second, of all hosts.
    pub messages: f64,
    /// Bytes a second, of all hosts.
    pub bytes: f64,
}

/// Cost of one admission.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct Cost {
    /// Client accounts.
    pub accounts: usize,
    /// Nanoseconds of an admission that has its tokens.
    pub nanos: u64,
}

/// Measures messages at each size, at the same total rate.
#[must_use]
pub fn slopes(seed: u64) -> Vec<Slope> {
    SIZES
        .iter()
        .map(|(hosts, accounts)| slope(*hosts, *accounts, seed))
        .collect()
}

fn slope(hosts: usize, accounts: usize, seed: u64) -> Slope {
    let each = TOTAL_RATE / u64::try_from(accounts).unwrap_or(1);
    let part = budget::Limit::of_requests(unit::Rate::per_second(each), each.max(10));
    let deployment = deployment::Deployment {
        hosts,
        accounts: vec![part; accounts],
        ..deployment::Deployment::board()
    };
    let fault = fault::Fault::new(trace::Load::Even);
    let trace = trace::draw(&deployment, trace::Load::Even, SPAN, seed);
    let mut tally = tally::Tally::new(&deployment, &fault);
    let plan = grants::Plan {
        reserve: way::percent(50),
        shortage: record::Shortage::Ask,
        timing: budget::Timing::default(),
    };
    grants::run(&deployment, &fault, &trace, &plan, &mut tally);
    let micros = SPAN - tally::WARM_UP;
    Slope {
        hosts,
        accounts,
        messages: tally::ratio(tally.messages * 1_000_000, micros),
        bytes: tally::ratio(tally.bytes * 1_000_000, micros),
    }
}

/// Measures the cost of an admission at each number of client accounts.
#[must_use]
pub fn costs() -> Vec<Cost> {
    COST_SIZES.iter().map(|accounts| cost(*accounts)).collect()
}

fn cost(accounts: usize) -> Cost {
    let name = name::Incarnation::new("one").expect("the name is plain");
    let timing = budget::Timing::default();
    let mut holder = budget::Limiter::new(name, timing, instant::Instant::ORIGIN);
    let whole = budget::Limit::of_requests(unit::Rate::per_second(1_000_000), 1_000_000);
    for account in 0..accounts {
        let id = u64::try_from(account).unwrap_or(u64::MAX);
        holder.set_limit(id, whole, instant::Instant::ORIGIN);
    }
    holder.set_share(budget::Share::WHOLE, instant::Instant::ORIGIN);
    let step = accounts / 2 + 1;
    let mut line = 0;
    let start = time::Instant::now();
    for round in 0..COST_ROUNDS {
        let now = instant::Instant::from_micros(1_000_000 + u64::from(round));
        line = (line + step) % accounts;
        let charge = budget::Charge {
            index: line,
            amount: budget::Amount::TOKEN,
        };
        hint::black_box(holder.admit(hint::black_box(&[charge]), record::Shortage::Ask, now));
    }
    let nanos = start.elapsed().as_nanos() / u128::from(COST_ROUNDS);
    Cost {
        accounts,
        nanos: u64::try_from(nanos).unwrap_or(u64::MAX),
    }
}
