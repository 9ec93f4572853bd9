//! Counts of one strategy under one scenario.

use super::deployment;
use super::fault;
use super::token_bucket;
use super::trace;

/// Time at the start of a run that is not counted, while buckets and grants settle.
pub const WARM_UP_MICROS: u64 = 10_000_000;

/// Counts of one strategy, compared with one exact token bucket for each account.
#[derive(Debug)]
pub struct Tally<'a> {
    deployment: &'a deployment::Deployment,
    fault: &'a fault::Fault,
    reference: Vec<token_bucket::TokenBucket>,
    /// Requests that were admitted although the exact bucket of the account was empty.
    pub excess: u64,
    /// Conforming requests that were refused, for each account.
    pub wrongly_refused: Vec<u64>,
    /// Conforming requests (one exact bucket would admit them), for each account.
    pub conforming: Vec<u64>,
    /// Requests that were admitted, for each account.
    pub admitted: Vec<u64>,
    /// Requests in the partitioned zone during the partition.
    pub inside: Side,
    /// Requests in the other zones during the partition.
    pub outside: Side,
    /// Latency in microseconds that the admission added to admitted requests.
    pub latency: hdrhistogram::Histogram<u64>,
    /// Number of messages between hosts, or of calls to the table.
    pub messages: u64,
    /// Total size of these messages.
    pub bytes: u64,
}

/// Requests on one side of a zone partition.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Side {
    /// Requests that one exact bucket would admit.
    #[serde(rename = "due")]
    pub conforming: u64,
    /// Requests that were admitted.
    pub admitted: u64,
}

impl<'a> Tally<'a> {
    /// Creates a tally without counts.
    ///
    /// # Panics
    ///
    /// Panics if the histogram refuses three digits of precision.
    #[must_use]
    pub fn new(deployment: &'a deployment::Deployment, fault: &'a fault::Fault) -> Self {
        let accounts = &deployment.accounts;
        let zeros = vec![0; accounts.len()];
        let buckets = accounts
            .iter()
            .map(|limit| token_bucket::TokenBucket::new(*limit));
        Self {
            deployment,
            fault,
            inside: Side::default(),
            outside: Side::default(),
            reference: buckets.collect(),
            excess: 0,
            wrongly_refused: zeros.clone(),
            conforming: zeros.clone(),
            admitted: zeros,
            latency: hdrhistogram::Histogram::new(3).expect("3 digits are allowed"),
            messages: 0,
            bytes: 0,
        }
    }

    /// Counts a request that took its token at `charged` and went on at `done` microseconds.
    pub fn admit(&mut self, arrival: &trace::Arrival, charged: u64, done: u64) {
        if !self.reference[arrival.account].take(charged) {
            self.excess += 1;
        }
        if arrival.at >= WARM_UP_MICROS {
            self.conforming[arrival.account] += u64::from(arrival.is_conforming);
            self.admitted[arrival.account] += 1;
            self.count_side(arrival, true);
            self.latency += done.saturating_sub(arrival.at);
        }
    }

    /// Counts a refused request.
    pub fn refuse(&mut self, arrival: &trace::Arrival) {
        if arrival.at >= WARM_UP_MICROS && arrival.is_conforming {
            self.conforming[arrival.account] += 1;
            self.wrongly_refused[arrival.account] += 1;
            self.count_side(arrival, false);
        }
    }

    fn count_side(&mut self, arrival: &trace::Arrival, is_admitted: bool) {
        if !self.fault.is_during(arrival.at) {
            return;
        }
        let is_inside = self.fault.is_in_zone(self.deployment, arrival.host);
        let side = if is_inside {
            &mut self.inside
        } else {
            &mut self.outside
        };
        side.conforming += u64::from(arrival.is_conforming);
        side.admitted += u64::from(is_admitted);
    }

    /// Counts a message sent at `now` microseconds.
    pub fn send(&mut self, now: u64, bytes: u64) {
        if now >= WARM_UP_MICROS {
            self.messages += 1;
            self.bytes += bytes;
        }
    }

    /// Returns the sum over accounts of conforming requests in excess of admitted ones.
    #[must_use]
    pub fn shortfall(&self) -> u64 {
        let pairs = self.conforming.iter().zip(&self.admitted);
        pairs
            .map(|(conforming, admitted)| conforming.saturating_sub(*admitted))
            .sum()
    }

    /// Returns the largest fraction of conforming requests that one account was refused.
    #[must_use]
    pub fn worst(&self) -> f64 {
        let pairs = self.wrongly_refused.iter().zip(&self.conforming);
        let ratios =
            pairs.map(|(wrongly_refused, conforming)| ratio(*wrongly_refused, *conforming));
        ratios.fold(0.0, f64::max)
    }
}

/// Returns the quotient, or zero for a denominator of zero.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn ratio(numerator: u64, denominator: u64) -> f64 {
    if denominator == 0 {
        return 0.0;
    }
    numerator as f64 / denominator as f64
}
