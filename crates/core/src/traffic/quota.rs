//! One host's share of a client account's rate limit, enforced by a token bucket.

use std::collections;
use std::time;

use crate::budget;
use crate::instant;

use super::meter;

/// Time constant of the measured demand.
const DEMAND_TIME_CONSTANT: time::Duration = time::Duration::from_secs(2);
/// Ratio of the limit that is divided evenly, so that every host can serve new demand.
const EVEN_RATIO: f64 = 0.25;
/// Divisor of the burst that is available at the start; an earlier process may have spent it.
const START_BURST_DIVISOR: u64 = 4;
/// Assumed age of other zones' sums compared with direct reports.
///
/// It is half of the delays of a round of reports, of a summary to another region and of a
/// view, which add up to one second.
const SUM_LAG: time::Duration = time::Duration::from_millis(500);
/// Shortest time between two remembered demands, half a round of reports.
const MIN_HISTORY_GAP: time::Duration = time::Duration::from_millis(125);
/// Number of equal parts of a limit; a host's share is rounded down to whole parts.
const SHARE_UNITS: f64 = 1_000_000.0;

/// One host's share of a client account's rate limit, in requests per second and burst.
///
/// Serves accounts whose requests arrive unevenly over the hosts or exceed the limit
/// several times. The shares of all hosts follow their reported demand and add up to
/// the limit. A host computes its share from its own demand as last reported, so that
/// its share doesn't grow before the others' shrink. Sums of other zones arrive late, so
/// they are compared with the demand that was reported when they were added up.
#[derive(Debug)]
pub struct Quota {
    limit: budget::Limit,
    bucket: budget::Bucket,
    demand: meter::Meter,
    /// Demand of this host as last reported, in requests per second.
    reported_demand: f64,
    /// This host's part of the limit, from 0 to 1.
    share: f64,
    /// Earlier demands, the oldest first.
    history: collections::VecDeque<DirectDemand>,
}

/// The demand in requests per second that a host knows without the delay of relays.
#[derive(Clone, Copy, Debug)]
struct DirectDemand {
    at: instant::Instant,
    /// Demand of this host and of the hosts that report to it directly.
    total: f64,
    /// Demand of this host alone.
    own: f64,
}

/// The demand for one account at the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerDemand {
    /// Requests per second at all other hosts.
    pub rate: f64,
    /// The part of `rate` that relays summed up, which is older; `None` without relays.
    pub summed_rate: Option<f64>,
    /// Number of other hosts.
    pub hosts: u32,
    /// Whether at least half of the other hosts are live.
    pub has_majority: bool,
}

impl Quota {
    /// Creates the share of a limit for which no demand was reported yet.
    #[must_use]
    pub fn new(limit: budget::Limit, others: PeerDemand, now: instant::Instant) -> Self {
        let mut quota = Self {
            limit,
            bucket: budget::Bucket::new(budget::Limit::ZERO, now),
            demand: meter::Meter::new(DEMAND_TIME_CONSTANT),
            reported_demand: 0.0,
            share: 1.0,
            history: collections::VecDeque::new(),
        };
        quota.update_share(others, now);
        let burst = quota.bucket.limit().burst;
        quota
            .bucket
            .put(burst.scaled(1, START_BURST_DIVISOR), burst);
        quota
    }

    /// Returns the tokens that are available.
    pub(super) fn level(&mut self, now: instant::Instant) -> budget::Amount {
        self.bucket.refill(self.bucket.limit().burst, now);
        self.bucket.level()
    }

    /// Sets the tokens that are available, up to the burst of this host's share.
    pub(super) fn set_level(&mut self, level: budget::Amount) {
        let burst = self.bucket.limit().burst;
        self.bucket.take(budget::Amount::MAX);
        self.bucket.put(level, burst);
    }

    /// Changes the limit of all hosts together.
    pub fn set_limit(&mut self, limit: budget::Limit, others: PeerDemand, now: instant::Instant) {
        if self.limit != limit {
            self.limit = limit;
            self.update_share(others, now);
        }
    }

    /// Measures this host's demand, in requests per second, for its next report.
    pub fn report_demand(&mut self, now: instant::Instant) -> f64 {
        self.reported_demand = self.demand.rate(now);
        self.reported_demand
    }

    /// Returns the rate limit and burst of all hosts together.
    #[must_use]
    pub const fn limit(&self) -> budget::Limit {
        self.limit
    }

    /// Returns the last reported demand, in requests per second.
    #[must_use]
    pub const fn reported_demand(&self) -> f64 {
        self.reported_demand
    }

    /// Recomputes this host's share from the demand of all hosts.
    pub fn update_share(&mut self, others: PeerDemand, now: instant::Instant) {
        self.set_share(self.reported_demand, others, now);
    }

    /// Recomputes the share from a demand of `own` requests per second and that of the others.
    ///
    /// The share never grows while most of the other hosts are silent.
    pub fn set_share(&mut self, own: f64, others: PeerDemand, now: instant::Instant) {
        let hosts = f64::from(others.hosts + 1);
        let summed = others.summed_rate.unwrap_or(0.0);
        let direct = DirectDemand {
            at: now,
            total: own + others.rate - summed,
            own,
        };
        let earlier = self.remember(direct, now);
        let base = others.summed_rate.map_or(direct, |_sum| earlier);
        let total = base.total + summed;
        let demand_share = if total > 0.0 {
            base.own / total
        } else {
            1.0 / hosts
        };
        let share = EVEN_RATIO / hosts + (1.0 - EVEN_RATIO) * demand_share;
        let is_isolated = !others.has_majority && others.hosts > 0;
        self.share = if is_isolated {
            share.min(self.share)
        } else {
            share
        };
        let units = super::processing_time::to_u64(self.share * SHARE_UNITS);
        let scaled = |amount: budget::Amount| {
            amount.scaled(units, super::processing_time::to_u64(SHARE_UNITS))
        };
        let burst = scaled(self.limit.burst).max(budget::Amount::TOKEN);
        self.bucket
            .resize(budget::Limit::new(scaled(self.limit.rate), burst), now);
    }

    /// Remembers a demand; returns the one of the time at which the current sums were added up.
    fn remember(&mut self, direct: DirectDemand, now: instant::Instant) -> DirectDemand {
        let is_new = |last: &DirectDemand| now.since(last.at) >= MIN_HISTORY_GAP;
        if self.history.back().is_none_or(is_new) {
            self.history.push_back(direct);
        }
        let is_old = |direct: &DirectDemand| now.since(direct.at) >= SUM_LAG;
        while self.history.get(1).is_some_and(is_old) {
            self.history.pop_front();
        }
        self.history.front().copied().unwrap_or(direct)
    }

    /// Counts a request against the demand and takes a token for it.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next token if none is available.
    pub fn admit(&mut self, now: instant::Instant) -> Result<(), time::Duration> {
        self.count_request(now);
        self.take_token(now)
    }

    /// Counts a request against the demand without taking a token.
    pub fn count_request(&mut self, now: instant::Instant) {
        self.demand.add(1.0, now);
    }

    /// Takes a token without counting a request against the demand.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next token if none is available.
    pub fn take_token(&mut self, now: instant::Instant) -> Result<(), time::Duration> {
        self.bucket.refill(self.bucket.limit().burst, now);
        if self.bucket.level() < budget::Amount::TOKEN {
            let micros = self.bucket.wait(budget::Amount::TOKEN);
            return Err(time::Duration::from_micros(micros));
        }
        self.bucket.take(budget::Amount::TOKEN);
        Ok(())
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&mut self) {
        let burst = self.bucket.limit().burst;
        self.bucket.put(budget::Amount::TOKEN, burst);
    }
}
