//! What a host knows of one target's room and health.

use std::collections;
use std::time;

use crate::instant;
use crate::steer;

use super::cold_start;
use super::hash;
use super::placement;
use super::processing_time;
use super::target;

/// Time in which another host's load, seen in a report, fades.
const REPORT_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Part of a target's slots that may wait at the target in addition.
const LINE_PARTS: f64 = 2.0;
/// Shortest silence of a busy target after which it gets nothing new.
const SHORTEST_STALL: time::Duration = time::Duration::from_secs(1);
/// Mean times of work after which a busy target that is silent gets nothing new.
const STALL_TIMES: u32 = 5;
/// Time of work that is reckoned with before any answer.
const FIRST_WORK: time::Duration = time::Duration::from_millis(200);
/// Objects that a target is reckoned to keep warm of those that this host sent.
const KEPT_OBJECTS: usize = 24;
const WHOLE: f64 = 10_000.0;

/// What a host knows of one target's room and health.
#[derive(Debug)]
pub struct TargetStatus {
    /// The target as it describes itself.
    pub target: target::Target,
    /// Its cold start.
    pub cold_start: cold_start::ColdStart,
    own_requests: u32,
    other_requests: f64,
    typical_requests: f64,
    reported_requests: Option<(f64, instant::Instant)>,
    observed_at: instant::Instant,
    processing: steer::Ewma,
    outlier: steer::OutlierEjection,
    failures: steer::DecayingRate,
    progress_at: instant::Instant,
    warm_keys: collections::VecDeque<hash::HashKey>,
}

impl TargetStatus {
    /// Creates a seat of a target that nothing was sent to yet.
    #[must_use]
    pub fn new(target: target::Target, now: instant::Instant) -> Self {
        let mut cold = cold_start::ColdStart::new(now);
        if !target.warmup_left.is_zero() {
            cold.extend(target.warmup_left, now);
        }
        Self {
            target,
            cold_start: cold,
            own_requests: 0,
            other_requests: 0.0,
            typical_requests: 0.0,
            reported_requests: None,
            observed_at: now,
            processing: steer::Ewma::default(),
            outlier: steer::OutlierEjection::default(),
            failures: steer::DecayingRate::default(),
            progress_at: now,
            warm_keys: collections::VecDeque::new(),
        }
    }

    /// Takes in what the target says of itself now.
    pub fn update(&mut self, target: target::Target, now: instant::Instant) {
        if target.started_millis != self.target.started_millis {
            self.outlier = steer::OutlierEjection::default();
            self.other_requests = 0.0;
            self.warm_keys.clear();
        }
        if !target.warmup_left.is_zero() {
            self.cold_start.extend(target.warmup_left, now);
        }
        self.target = target;
    }

    /// Returns the requests of this host that are at the target.
    #[must_use]
    pub const fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the requests that are reckoned to be at the target.
    #[must_use]
    pub fn load(&self, now: instant::Instant) -> f64 {
        if let Some((told, at)) = self.reported_requests
            && at >= self.observed_at
        {
            return f64::from(self.own_requests) + told;
        }
        let age = now.since(self.observed_at).as_secs_f64();
        let trust = (-age / REPORT_TIME.as_secs_f64()).exp();
        f64::from(self.own_requests)
            + self.other_requests * trust
            + self.typical_requests * (1.0 - trust)
    }

    /// Returns the other hosts' load per slot as last reported, with the part of it that is still trusted.
    #[must_use]
    pub fn observed_load(&self, now: instant::Instant) -> (f64, f64) {
        let age = now.since(self.observed_at).as_secs_f64();
        let trust = (-age / REPORT_TIME.as_secs_f64()).exp();
        (
            self.other_requests / f64::from(self.target.slots.max(1)),
            trust,
        )
    }

    /// Takes in the other hosts' requests at the target, as they told them.
    pub const fn set_reported_requests(&mut self, requests: f64, now: instant::Instant) {
        self.reported_requests = Some((requests, now));
    }

    /// Sets the other hosts' load per slot that is reckoned with where reports are old.
    pub fn set_typical_load(&mut self, per_slot: f64) {
        self.typical_requests = per_slot * f64::from(self.target.slots);
    }

    /// Returns whether one more request fits in a part of the target's slots.
    #[must_use]
    pub fn has_free_slots(&self, part: f64, now: instant::Instant) -> bool {
        self.load(now) + 1.0 <= f64::from(self.target.slots) * part
    }

    /// Returns whether the target's line is full.
    #[must_use]
    pub fn is_full(&self, now: instant::Instant) -> bool {
        self.load(now) >= f64::from(self.target.slots) * (1.0 + LINE_PARTS)
    }

    /// Returns whether the target is left out for its failures or its silence.
    #[must_use]
    pub fn is_excluded(&self, now: instant::Instant) -> bool {
        let stall = (self.mean_processing_time() * STALL_TIMES).max(SHORTEST_STALL);
        let is_stalled = self.own_requests > 0 && now.since(self.progress_at) > stall;
        let is_probed = self.outlier.is_probe_due(now) && self.own_requests > 0;
        self.outlier.is_ejected(now) || is_probed || is_stalled
    }

    /// Returns the part of recent attempts that failed, from 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self, now: instant::Instant) -> f64 {
        f64::from(self.failures.level(now)) / WHOLE
    }

    /// Returns the time that one more request is expected to wait at the target.
    #[must_use]
    pub fn expected_wait(&self, now: instant::Instant) -> time::Duration {
        let slots = f64::from(self.target.slots.max(1));
        let ahead = (self.load(now) + 1.0 - slots).max(0.0);
        self.mean_processing_time().mul_f64(ahead / slots)
    }

    /// Counts a request that is sent.
    pub fn record_send(&mut self, now: instant::Instant) {
        if self.own_requests == 0 {
            self.progress_at = now;
        }
        self.own_requests += 1;
        if self.cold_start.is_cold(now) {
            self.cold_start.take(now);
        }
    }

    /// Takes in how a request ended; `work` is its time without the way and the line.
    pub fn record_result(
        &mut self,
        ending: placement::AttemptResult,
        work: time::Duration,
        warmup: time::Duration,
        now: instant::Instant,
    ) {
        self.own_requests = self.own_requests.saturating_sub(1);
        match ending {
            placement::AttemptResult::Answered(load) => {
                self.progress_at = now;
                self.outlier.record_success();
                self.failures.record_other(now);
                self.processing.update(processing_time::micros(work).into());
                self.record_load(load, now);
            }
            placement::AttemptResult::Failed(load) | placement::AttemptResult::NotRun(load) => {
                self.progress_at = now;
                self.failures.record_event(now);
                self.record_load(load, now);
            }
            placement::AttemptResult::ConnectFailed => {
                self.outlier.record_failure(now);
                self.eject(warmup, now);
            }
            placement::AttemptResult::Disconnected => {
                self.failures.record_event(now);
                if self.outlier.record_failure(now) {
                    self.eject(warmup, now);
                }
            }
            placement::AttemptResult::Misdirected
            | placement::AttemptResult::TimedOut
            | placement::AttemptResult::Cancelled => {}
        }
    }

    fn eject(&mut self, warmup: time::Duration, now: instant::Instant) {
        if !self.outlier.is_ejected(now) {
            self.outlier.eject(now);
        }
        if let Some(until) = self.outlier.ejected_until(now) {
            self.cold_start.extend(until.since(now) + warmup, now);
        }
    }

    fn record_load(&mut self, load: Option<placement::Load>, now: instant::Instant) {
        if let Some(load) = load {
            let total = load.running + load.waiting;
            self.other_requests = f64::from(total.saturating_sub(self.own_requests));
            self.observed_at = now;
        }
    }

    /// Returns what is known of the target's warmth for an object.
    #[must_use]
    pub fn warmth(&self, object: hash::HashKey, is_own: bool) -> processing_time::Warmth {
        if self.warm_keys.contains(&object) {
            processing_time::Warmth::Known
        } else if is_own {
            processing_time::Warmth::Likely
        } else {
            processing_time::Warmth::None
        }
    }

    /// Notes that the target handled an object.
    pub fn record_key(&mut self, object: hash::HashKey) {
        self.warm_keys.retain(|known| *known != object);
        self.warm_keys.push_back(object);
        if self.warm_keys.len() > KEPT_OBJECTS {
            self.warm_keys.pop_front();
        }
    }

    /// Returns the part of a request's time that it ran, when `load` others were there before it.
    #[must_use]
    pub fn without_queueing(&self, time: time::Duration, load: f64) -> time::Duration {
        let slots = f64::from(self.target.slots.max(1));
        time.mul_f64(slots / (load + 1.0).max(slots))
    }

    fn mean_processing_time(&self) -> time::Duration {
        time::Duration::from_micros(
            self.processing
                .value_or(processing_time::micros(FIRST_WORK))
                .into(),
        )
    }
}
