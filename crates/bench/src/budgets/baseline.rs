//! Baseline strategies without grants: static split, single owner, and a table write per request.

use skylark_core::budget;

use super::deployment;
use super::fault;
use super::tally;
use super::token_bucket;
use super::trace;

/// Time between two consecutive writes that the table accepts.
const TABLE_WRITE_GAP_MICROS: u64 = 2_500;
/// Time after which a waiting request is refused.
pub const MAX_WAIT_MICROS: u64 = 1_000_000;
/// Size of a message about one request.
const MESSAGE_BYTES: u64 = 48;
/// Time from the loss of an owner until the next one serves.
const TAKEOVER_MICROS: u64 = 4_000_000;

/// Splits each limit into fixed, equal shares, one for each host.
pub fn split(
    deployment: &deployment::Deployment,
    trace: &[trace::Arrival],
    tally: &mut tally::Tally<'_>,
) {
    let hosts = u64::try_from(deployment.hosts).unwrap_or(u64::MAX);
    let host_limit = |limit: &budget::Limit| {
        budget::Limit::new(limit.rate.scaled(1, hosts), limit.burst.scaled(1, hosts))
    };
    let host_buckets = || {
        deployment
            .accounts
            .iter()
            .map(|limit| token_bucket::TokenBucket::new(host_limit(limit)))
    };
    let mut buckets: Vec<Vec<token_bucket::TokenBucket>> =
        (0..hosts).map(|_host| host_buckets().collect()).collect();
    for arrival in trace {
        if buckets[arrival.host][arrival.account].take(arrival.at) {
            tally.admit(arrival, arrival.at, arrival.at);
        } else {
            tally.refuse(arrival);
        }
    }
}

/// Sends each request to one owner: host 0, or host 1 once host 0 has stopped.
pub fn owner(
    deployment: &deployment::Deployment,
    fault: &fault::Fault,
    trace: &[trace::Arrival],
    tally: &mut tally::Tally<'_>,
) {
    let mut buckets: Vec<token_bucket::TokenBucket> = deployment
        .accounts
        .iter()
        .map(|limit| token_bucket::TokenBucket::new(*limit))
        .collect();
    let mut unrenewed_since: Option<u64> = None;
    let mut owner_host = 0;
    let mut trace = trace.to_vec();
    let delay_to =
        |arrival: &trace::Arrival, owner_host| deployment.delay(arrival.host, owner_host);
    trace.sort_by_key(|arrival| arrival.at + delay_to(arrival, 0));
    for arrival in &trace {
        let now = arrival.at;
        let is_stopped = fault.is_stopped(owner_host, now);
        let is_lease_lapsing =
            is_stopped || fault.is_store_unreachable(deployment, owner_host, now);
        if !is_lease_lapsing {
            unrenewed_since = None;
        }
        let is_lease_lapsed = is_lease_lapsing
            && now.saturating_sub(*unrenewed_since.get_or_insert(now)) > TAKEOVER_MICROS;
        if is_lease_lapsed && is_stopped {
            owner_host = 1;
            buckets = deployment
                .accounts
                .iter()
                .map(|limit| token_bucket::TokenBucket::new_empty(*limit))
                .collect();
        }
        let one_way_delay = delay_to(arrival, owner_host);
        tally.send(now, MESSAGE_BYTES);
        tally.send(now, MESSAGE_BYTES);
        let is_lost = is_stopped
            || is_lease_lapsed
            || fault.is_cut(deployment, arrival.host, owner_host, now);
        if !is_lost && buckets[arrival.account].take(now + one_way_delay) {
            tally.admit(arrival, now + one_way_delay, now + 2 * one_way_delay);
        } else {
            tally.refuse(arrival);
        }
    }
}

/// Makes each request a write to the table, which serializes writes at a fixed rate.
pub fn table(
    deployment: &deployment::Deployment,
    fault: &fault::Fault,
    trace: &[trace::Arrival],
    tally: &mut tally::Tally<'_>,
) {
    let mut buckets: Vec<token_bucket::TokenBucket> = deployment
        .accounts
        .iter()
        .map(|limit| token_bucket::TokenBucket::new(*limit))
        .collect();
    let mut table_free_at = 0;
    for arrival in trace {
        let now = arrival.at;
        let started = now.max(table_free_at);
        let done = started + deployment.table_call(arrival.host);
        tally.send(now, MESSAGE_BYTES);
        let is_late = done - now > MAX_WAIT_MICROS;
        if fault.is_store_unreachable(deployment, arrival.host, now) || is_late {
            tally.refuse(arrival);
            continue;
        }
        table_free_at = started + TABLE_WRITE_GAP_MICROS;
        if buckets[arrival.account].take(started) {
            tally.admit(arrival, started, done);
        } else {
            tally.refuse(arrival);
        }
    }
}
