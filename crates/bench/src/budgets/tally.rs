//! What came of one way under one load.

use super::deployment;
use super::fault;
use super::naive;
use super::trace;

/// Time at the start that is not counted, in microseconds.
pub const WARM_UP: u64 = 10_000_000;

/// Counts of one way under one load.
#[derive(Debug)]
pub struct Tally<'a> {
    deployment: &'a deployment::Deployment,
    fault: &'a fault::Fault,
    system: Vec<naive::Naive>,
    /// Requests that were admitted although a single bucket had no token left.
    pub excess: u64,
    /// Requests refused that a single bucket of its own would admit, for each account.
    pub wrongful: Vec<u64>,
    /// Requests that a single bucket of its own would admit, for each account.
    pub due: Vec<u64>,
    /// Requests that were admitted, for each account.
    pub admitted: Vec<u64>,
    /// What the zone that is cut off got meanwhile.
    pub inside: Side,
    /// What the other zones got meanwhile.
    pub outside: Side,
    /// Added latency of admitted requests.
    pub waits: hdrhistogram::Histogram<u64>,
    /// Messages between hosts, or calls to the table.
    pub messages: u64,
    /// Bytes of these messages.
    pub bytes: u64,
}

/// One side of a cut.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Side {
    /// Requests that a single bucket would admit.
    pub due: u64,
    /// Requests that were admitted.
    pub admitted: u64,
}

impl<'a> Tally<'a> {
    /// Creates an empty tally.
    ///
    /// # Panics
    ///
    /// Panics if the library refuses three digits of precision.
    #[must_use]
    pub fn new(deployment: &'a deployment::Deployment, fault: &'a fault::Fault) -> Self {
        let accounts = &deployment.accounts;
        let zeros = vec![0; accounts.len()];
        let buckets = accounts.iter().map(|part| naive::Naive::new(*part));
        Self {
            deployment,
            fault,
            inside: Side::default(),
            outside: Side::default(),
            system: buckets.collect(),
            excess: 0,
            wrongful: zeros.clone(),
            due: zeros.clone(),
            admitted: zeros,
            waits: hdrhistogram::Histogram::new(3).expect("3 digits are allowed"),
            messages: 0,
            bytes: 0,
        }
    }

    /// Counts a request that was charged at one time and went on at another.
    pub fn admit(&mut self, arrival: &trace::Arrival, charged: u64, done: u64) {
        if !self.system[arrival.account].take(charged) {
            self.excess += 1;
        }
        if arrival.at >= WARM_UP {
            self.due[arrival.account] += u64::from(arrival.is_due);
            self.admitted[arrival.account] += 1;
            self.side(arrival, true);
            self.waits += done.saturating_sub(arrival.at);
        }
    }

    /// Counts a refusal.
    pub fn refuse(&mut self, arrival: &trace::Arrival) {
        if arrival.at >= WARM_UP && arrival.is_due {
            self.due[arrival.account] += 1;
            self.wrongful[arrival.account] += 1;
            self.side(arrival, false);
        }
    }

    fn side(&mut self, arrival: &trace::Arrival, is_admitted: bool) {
        if !self.fault.is_during(arrival.at) {
            return;
        }
        let is_inside = self.fault.is_in_zone(self.deployment, arrival.host);
        let side = if is_inside {
            &mut self.inside
        } else {
            &mut self.outside
        };
        side.due += u64::from(arrival.is_due);
        side.admitted += u64::from(is_admitted);
    }

    /// Counts a message.
    pub fn send(&mut self, now: u64, bytes: u64) {
        if now >= WARM_UP {
            self.messages += 1;
            self.bytes += bytes;
        }
    }

    /// Returns what the accounts got less than a single bucket gives, in all.
    #[must_use]
    pub fn shortfall(&self) -> u64 {
        let pairs = self.due.iter().zip(&self.admitted);
        pairs.map(|(due, got)| due.saturating_sub(*got)).sum()
    }

    /// Returns the largest part of its due requests that an account was refused.
    #[must_use]
    pub fn worst(&self) -> f64 {
        let pairs = self.wrongful.iter().zip(&self.due);
        let parts = pairs.map(|(wrongful, due)| ratio(*wrongful, *due));
        parts.fold(0.0, f64::max)
    }
}

/// Returns a quotient, zero for a denominator of zero.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn ratio(numerator: u64, denominator: u64) -> f64 {
    if denominator == 0 {
        return 0.0;
    }
    numerator as f64 / denominator as f64
}
