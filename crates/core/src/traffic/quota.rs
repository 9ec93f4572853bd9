//! One host's part of a client account's rate and burst.

use std::collections;
use std::time;

use crate::budget;
use crate::instant;

use super::meter;

/// Time constant of the measured demand.
const DEMAND_TIME: time::Duration = time::Duration::from_secs(2);
/// Part of the whole that is divided evenly, so that new demand is met at every host.
const EVEN_PART: f64 = 0.25;
/// Part of the burst that a process has in hand at its start; an earlier life may have spent it.
const START_PARTS: u64 = 4;
/// Time by which the sums of other zones are reckoned to be older than a host's own figures: half
/// of a round of reports, of a summary's to another region and of a view's, a second together.
const SUM_LAG: time::Duration = time::Duration::from_millis(500);
/// Shortest time between two figures that are remembered; half a round of reports.
const REMEMBERED_GAP: time::Duration = time::Duration::from_millis(125);
/// Resolution of a host's part of the whole.
const PART_UNITS: f64 = 1_000_000.0;

/// One host's part of a client account's rate and burst.
///
/// It answers an account whose requests arrive unevenly over the hosts, or that
/// sends several times its rate. The parts of all hosts follow their reported
/// demand and add up to the whole. A host divides by its own demand as it last
/// reported it, so that it takes no more before the others take less; beside
/// sums that come late, by what it reported when these were added up.
#[derive(Debug)]
pub struct Quota {
    limit: budget::Limit,
    bucket: budget::Bucket,
    demand: meter::Meter,
    reported_demand: f64,
    share: f64,
    /// Demand that was divided by before, the oldest first.
    history: collections::VecDeque<Fresh>,
}

/// Demand of which a host knows without delay.
#[derive(Clone, Copy, Debug)]
struct Fresh {
    at: instant::Instant,
    demand: f64,
    own: f64,
}

/// What a host knows of the demand at the other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerDemand {
    /// Requests a second at the other hosts together.
    pub rate: f64,
    /// Part of these of which relays tell, which is older than the rest; none without relays.
    pub summed_rate: Option<f64>,
    /// Other hosts.
    pub hosts: u32,
    /// Whether most of them are heard.
    pub has_majority: bool,
}

impl Quota {
    /// Creates a part of a whole that no host has demanded yet.
    #[must_use]
    pub fn new(whole: budget::Limit, others: PeerDemand, now: instant::Instant) -> Self {
        let mut quota = Self {
            limit: whole,
            bucket: budget::Bucket::new(budget::Limit::ZERO, now),
            demand: meter::Meter::new(DEMAND_TIME),
            reported_demand: 0.0,
            share: 1.0,
            history: collections::VecDeque::new(),
        };
        quota.update_share(others, now);
        let burst = quota.bucket.limit().burst;
        quota.bucket.put(burst.scaled(1, START_PARTS), burst);
        quota
    }

    /// Changes the whole.
    pub fn set_limit(&mut self, whole: budget::Limit, others: PeerDemand, now: instant::Instant) {
        if self.limit != whole {
            self.limit = whole;
            self.update_share(others, now);
        }
    }

    /// Returns the host's demand in requests a second, to be reported now.
    pub fn report_demand(&mut self, now: instant::Instant) -> f64 {
        self.reported_demand = self.demand.rate(now);
        self.reported_demand
    }

    /// Returns the rate and burst of all hosts together.
    #[must_use]
    pub const fn limit(&self) -> budget::Limit {
        self.limit
    }

    /// Returns the demand in requests a second as last reported.
    #[must_use]
    pub const fn reported_demand(&self) -> f64 {
        self.reported_demand
    }

    /// Works out this host's part from the demand of all hosts.
    pub fn update_share(&mut self, others: PeerDemand, now: instant::Instant) {
        self.set_share(self.reported_demand, others, now);
    }

    /// Works out the part of whoever has the demand `own` beside others.
    pub fn set_share(&mut self, own: f64, others: PeerDemand, now: instant::Instant) {
        let hosts = f64::from(others.hosts + 1);
        let summed = others.summed_rate.unwrap_or(0.0);
        let fresh = Fresh {
            at: now,
            demand: own + others.rate - summed,
            own,
        };
        let before = self.remember(fresh, now);
        let known = others.summed_rate.map_or(fresh, |_sum| before);
        let total = known.demand + summed;
        let by_demand = if total > 0.0 {
            known.own / total
        } else {
            1.0 / hosts
        };
        let part = EVEN_PART / hosts + (1.0 - EVEN_PART) * by_demand;
        let is_cut_off = !others.has_majority && others.hosts > 0;
        self.share = if is_cut_off {
            part.min(self.share)
        } else {
            part
        };
        let units = super::processing_time::whole(self.share * PART_UNITS);
        let scaled = |amount: budget::Amount| {
            amount.scaled(units, super::processing_time::whole(PART_UNITS))
        };
        let burst = scaled(self.limit.burst).max(budget::Amount::TOKEN);
        self.bucket
            .resize(budget::Limit::new(scaled(self.limit.rate), burst), now);
    }

    /// Notes demand; returns that of the time at which sums that are heard now were added up.
    fn remember(&mut self, fresh: Fresh, now: instant::Instant) -> Fresh {
        let is_new = |last: &Fresh| now.since(last.at) >= REMEMBERED_GAP;
        if self.history.back().is_none_or(is_new) {
            self.history.push_back(fresh);
        }
        let is_old = |fresh: &Fresh| now.since(fresh.at) >= SUM_LAG;
        while self.history.get(1).is_some_and(is_old) {
            self.history.pop_front();
        }
        self.history.front().copied().unwrap_or(fresh)
    }

    /// Counts a request and takes a token for it.
    ///
    /// # Errors
    ///
    /// Fails with the time until a token is there when none is.
    pub fn admit(&mut self, now: instant::Instant) -> Result<(), time::Duration> {
        self.count_request(now);
        self.take_token(now)
    }

    /// Counts a request without taking a token.
    pub fn count_request(&mut self, now: instant::Instant) {
        self.demand.add(1.0, now);
    }

    /// Takes a token without counting a request.
    ///
    /// # Errors
    ///
    /// Fails with the time until a token is there when none is.
    pub fn take_token(&mut self, now: instant::Instant) -> Result<(), time::Duration> {
        self.bucket.refill(self.bucket.limit().burst, now);
        if self.bucket.level() < budget::Amount::TOKEN {
            let micros = self.bucket.wait(budget::Amount::TOKEN);
            return Err(time::Duration::from_micros(micros));
        }
        self.bucket.take(budget::Amount::TOKEN);
        Ok(())
    }

    /// Gives back the token of a request that did not run.
    pub fn refund(&mut self) {
        let burst = self.bucket.limit().burst;
        self.bucket.put(budget::Amount::TOKEN, burst);
    }
}
