//! The ways without loans: static split, owner only, and a write per request.

use skylark_core::budget;

use super::deployment;
use super::fault;
use super::naive;
use super::tally;
use super::trace;

/// Time between two writes that the table takes, in microseconds.
const TABLE_GAP: u64 = 2_500;
/// Time that a request waits at most, in microseconds.
pub const PATIENCE: u64 = 1_000_000;
/// Bytes of a message about one request.
const MESSAGE_BYTES: u64 = 48;
/// Time from the loss of an owner until the next one serves, in microseconds.
const TAKEOVER: u64 = 4_000_000;

/// Gives each host an equal part for good.
pub fn split(
    deployment: &deployment::Deployment,
    trace: &[trace::Arrival],
    tally: &mut tally::Tally<'_>,
) {
    let hosts = u64::try_from(deployment.hosts).unwrap_or(u64::MAX);
    let part = |whole: &budget::Limit| {
        budget::Limit::new(whole.rate.scaled(1, hosts), whole.burst.scaled(1, hosts))
    };
    let row = || {
        deployment
            .accounts
            .iter()
            .map(|p| naive::Naive::new(part(p)))
    };
    let mut buckets: Vec<Vec<naive::Naive>> = (0..hosts).map(|_host| row().collect()).collect();
    for arrival in trace {
        if buckets[arrival.host][arrival.account].take(arrival.at) {
            tally.admit(arrival, arrival.at, arrival.at);
        } else {
            tally.refuse(arrival);
        }
    }
}

/// Lets each request ask the one owner, which is at host 0, later at host 1.
pub fn owner(
    deployment: &deployment::Deployment,
    fault: &fault::Fault,
    trace: &[trace::Arrival],
    tally: &mut tally::Tally<'_>,
) {
    let mut buckets: Vec<naive::Naive> = deployment
        .accounts
        .iter()
        .map(|p| naive::Naive::new(*p))
        .collect();
    let mut lost: Option<u64> = None;
    let mut place = 0;
    let mut trace = trace.to_vec();
    let trip = |arrival: &trace::Arrival, place| deployment.delay(arrival.host, place);
    trace.sort_by_key(|arrival| arrival.at + trip(arrival, 0));
    for arrival in &trace {
        let now = arrival.at;
        let is_stopped = fault.is_stopped(place, now);
        let is_lapsing = is_stopped || fault.is_storeless(deployment, place, now);
        if !is_lapsing {
            lost = None;
        }
        let is_lapsed = is_lapsing && now.saturating_sub(*lost.get_or_insert(now)) > TAKEOVER;
        if is_lapsed && is_stopped {
            place = 1;
            buckets = deployment
                .accounts
                .iter()
                .map(|p| naive::Naive::new_empty(*p))
                .collect();
        }
        let trip = trip(arrival, place);
        tally.send(now, MESSAGE_BYTES);
        tally.send(now, MESSAGE_BYTES);
        let is_lost = is_stopped || is_lapsed || fault.is_cut(deployment, arrival.host, place, now);
        if !is_lost && buckets[arrival.account].take(now + trip) {
            tally.admit(arrival, now + trip, now + 2 * trip);
        } else {
            tally.refuse(arrival);
        }
    }
}

/// Makes each request a write to the table, which takes so many writes a second in order.
pub fn table(
    deployment: &deployment::Deployment,
    fault: &fault::Fault,
    trace: &[trace::Arrival],
    tally: &mut tally::Tally<'_>,
) {
    let mut buckets: Vec<naive::Naive> = deployment
        .accounts
        .iter()
        .map(|p| naive::Naive::new(*p))
        .collect();
    let mut free = 0;
    for arrival in trace {
        let now = arrival.at;
        let begin = now.max(free);
        let done = begin + deployment.table(arrival.host);
        tally.send(now, MESSAGE_BYTES);
        let is_late = done - now > PATIENCE;
        if fault.is_storeless(deployment, arrival.host, now) || is_late {
            tally.refuse(arrival);
            continue;
        }
        free = begin + TABLE_GAP;
        if buckets[arrival.account].take(begin) {
            tally.admit(arrival, begin, done);
        } else {
            tally.refuse(arrival);
        }
    }
}
