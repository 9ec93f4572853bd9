//! Status of one target, from what this entry host observed.

use std::time;

use crate::instant;
use crate::name;

use super::candidate;
use super::completion;
use super::decaying_rate;
use super::drain;
use super::ewma;
use super::outlier_ejection;

/// Fraction of its slots that a target may use at the beginning of slow start.
const INITIAL_WARMTH_BASIS_POINTS: u32 = 2_500;
/// Duration of slow start.
const WARM_UP_TIME: time::Duration = time::Duration::from_secs(10);
/// Longest time without requests after which a target still counts as warm.
const MAX_WARM_IDLE: time::Duration = time::Duration::from_mins(2);
/// Multiple of the median above which a response is slow.
const SLOW_FACTOR: u32 = 3;

/// A smaller gap above the median isn't worth leaving the availability zone for.
const MIN_SLOW_GAP_MICROS: u32 = 5_000;
/// Consecutive slow responses that mark a target as slow.
const SLOW_ANSWERS: usize = 2;
/// Time after the last response for which the mean service time is valid.
const SERVICE_TIME_TTL: time::Duration = time::Duration::from_secs(5);
/// Pause after the first shed request; it doubles with each consecutive one.
const FIRST_SHED_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Longest pause after a shed request.
const MAX_SHED_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Longest service time to assume for a target whose mean is no longer valid.
const UNKNOWN_SERVICE_MICROS: u32 = 1_000;
/// Time after the last response for which a target's mean counts towards the median.
const RECENT_MEAN_TTL: time::Duration = time::Duration::from_mins(1);

/// Status of one target, from this host's own requests to it.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: name::Target,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Drain state of the target.
    pub drain: drain::Drain,
    /// Ejection state of the target.
    pub outlier: outlier_ejection::OutlierEjection,
    in_flight: u32,
    reported_load: u32,
    reported_at: Option<instant::Instant>,
    service_time: ewma::Ewma,
    recent_times: [u32; SLOW_ANSWERS],
    answered_at: instant::Instant,
    failure_rate: decaying_rate::DecayingRate,
    shed_rate: decaying_rate::DecayingRate,
    shed_streak: u32,
    paused_until: Option<instant::Instant>,
    cold_since: Option<instant::Instant>,
    used_at: instant::Instant,
}

impl TargetStatus {
    /// Creates the status of a target without observations, taken as warmed up.
    #[must_use]
    pub fn new(name: name::Target, slots: u32, now: instant::Instant) -> Self {
        Self {
            name,
            slots,
            drain: drain::Drain::default(),
            outlier: outlier_ejection::OutlierEjection::default(),
            in_flight: 0,
            reported_load: 0,
            reported_at: None,
            service_time: ewma::Ewma::default(),
            recent_times: [0; SLOW_ANSWERS],
            answered_at: now,
            failure_rate: decaying_rate::DecayingRate::default(),
            shed_rate: decaying_rate::DecayingRate::default(),
            shed_streak: 0,
            paused_until: None,
            cold_since: None,
            used_at: now,
        }
    }

    /// Returns the status with slow start from `now`.
    #[must_use]
    pub fn with_warm_up(mut self, now: instant::Instant) -> Self {
        self.cold_since = Some(now);
        self
    }

    /// Starts slow start for a target that comes back, and discards its service time.
    pub fn start_warm_up(&mut self, now: instant::Instant) {
        self.cold_since = Some(now);
        self.service_time.clear();
    }

    /// Returns the number of requests that this host has in flight to the target.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the time of the last load report.
    #[must_use]
    pub const fn reported_at(&self) -> Option<instant::Instant> {
        self.reported_at
    }

    /// Records that a request is sent, and restarts slow start after a long idle time.
    pub fn start(&mut self, now: instant::Instant) {
        if now.since(self.used_at) > MAX_WARM_IDLE {
            self.cold_since = Some(now);
        }
        self.used_at = now;
        self.in_flight += 1;
    }

    /// Records the completion of a request; returns whether the target should be ejected.
    pub fn finish(
        &mut self,
        completion: completion::Completion,
        report: completion::LoadReport,
        now: instant::Instant,
    ) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.used_at = now;
        if let Some(running) = report.running {
            self.reported_load = running.saturating_sub(self.in_flight);
            self.reported_at = Some(now);
        }
        if report.is_leaving {
            self.drain.announce(now);
        }
        match completion {
            completion::Completion::Answered(time) => {
                self.record_time(time, now);
                self.failure_rate.record_other(now);
                self.shed_rate.record_other(now);
                self.shed_streak = 0;
                self.outlier.record_success();
                false
            }
            completion::Completion::Shed => {
                self.record_shed(now);
                self.outlier.record_success();
                false
            }
            completion::Completion::Failed => {
                self.failure_rate.record_event(now);
                self.outlier.record_failure(now)
            }
            completion::Completion::Expired(time) => {
                self.record_time(time, now);
                self.failure_rate.record_event(now);
                self.outlier.record_failure(now)
            }
            completion::Completion::Cancelled => false,
        }
    }

    /// Returns the snapshot of the target for a choice.
    ///
    /// `median` is the median service time of the service's targets, in microseconds.
    #[must_use]
    pub fn candidate(&self, median: u32, now: instant::Instant) -> candidate::Candidate {
        let age = self
            .reported_at
            .map_or(candidate::MAX_REPORT_AGE_MICROS, |at| micros(now.since(at)));
        let service_time = self.service_time(median, now);
        candidate::Candidate {
            index: 0,
            position: 0,
            slots: self.slots,
            in_flight: self.in_flight,
            reported_load: self.reported_load,
            age: age.min(candidate::MAX_REPORT_AGE_MICROS),
            service_time,
            failure_rate: self.failure_rate.level(now),
            shed_rate: self.effective_shed_rate(now),
            warmth: self.warmth(now),
            is_slow: self.is_slow(service_time, median),
            is_tried: false,
        }
    }

    /// Returns whether the target is far slower than the median.
    ///
    /// Both the mean and each of the last [`SLOW_ANSWERS`] responses must be
    /// slow: a single one may be caused by the network or by this host.
    fn is_slow(&self, service_time: u32, median: u32) -> bool {
        let fastest = self.recent_times.iter().copied().min().unwrap_or(0);
        let time = service_time.min(fastest);
        time / SLOW_FACTOR > median && time - median > MIN_SLOW_GAP_MICROS
    }

    /// Returns the mean service time in microseconds, `None` if the last response is too old.
    #[must_use]
    pub fn recent_mean(&self, now: instant::Instant) -> Option<u32> {
        let is_recent = now.since(self.answered_at) <= RECENT_MEAN_TTL;
        is_recent
            .then(|| self.service_time.value_or(0))
            .filter(|mean| *mean > 0)
    }

    /// Returns the service time to expect, in microseconds.
    ///
    /// A mean older than [`SERVICE_TIME_TTL`] is replaced by a fast default, so
    /// that one slow period does not refuse tight deadlines for ever. While a
    /// request is in flight to measure the time again, the old mean counts.
    fn service_time(&self, median: u32, now: instant::Instant) -> u32 {
        if now.since(self.answered_at) > SERVICE_TIME_TTL && self.in_flight == 0 {
            return median.min(UNKNOWN_SERVICE_MICROS);
        }
        self.service_time.value_or(median)
    }

    /// Pauses the target for a time that doubles with each consecutive shed request.
    fn record_shed(&mut self, now: instant::Instant) {
        let pause = FIRST_SHED_PAUSE * 2_u32.saturating_pow(self.shed_streak);
        self.shed_streak += 1;
        self.paused_until = Some(now + pause.min(MAX_SHED_PAUSE));
        self.shed_rate.record_event(now);
    }

    /// Returns the rate of shed requests in basis points, 100% during a pause.
    fn effective_shed_rate(&self, now: instant::Instant) -> u32 {
        if self.paused_until.is_some_and(|until| now < until) {
            return super::WHOLE_BASIS_POINTS;
        }
        self.shed_rate.level(now)
    }

    fn record_time(&mut self, time: u64, now: instant::Instant) {
        if now.since(self.answered_at) > SERVICE_TIME_TTL {
            self.recent_times = [0; SLOW_ANSWERS];
            self.service_time.clear();
        }
        self.service_time.update(time);
        self.recent_times.rotate_left(1);
        self.recent_times[SLOW_ANSWERS - 1] = u32::try_from(time).unwrap_or(u32::MAX);
        self.answered_at = now;
    }

    fn warmth(&self, now: instant::Instant) -> u32 {
        let Some(since) = self.cold_since else {
            return super::WHOLE_BASIS_POINTS;
        };
        let elapsed = u64::from(micros(now.since(since)));
        let total = u64::from(micros(WARM_UP_TIME));
        let range = u64::from(super::WHOLE_BASIS_POINTS - INITIAL_WARMTH_BASIS_POINTS);
        let gained = range * elapsed.min(total) / total;
        INITIAL_WARMTH_BASIS_POINTS + u32::try_from(gained).unwrap_or(0)
    }
}

fn micros(span: time::Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
