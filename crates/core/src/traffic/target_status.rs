//! The load and health of one target, as known to this host.

use std::collections;
use std::time;

use crate::instant;
use crate::steer;

use super::cold_start;
use super::hash;
use super::placement;
use super::processing_time;
use super::target;

/// Time constant with which trust in an observed load of other hosts decays.
const TRUST_TIME_CONSTANT: time::Duration = time::Duration::from_millis(2_500);
/// Requests that may queue at a target, per slot.
const QUEUED_PER_SLOT: f64 = 2.0;
/// Shortest silence of a busy target after which it gets no new requests.
const MIN_STALL_TIME: time::Duration = time::Duration::from_secs(1);
/// Mean processing times of silence after which a busy target gets no new requests.
const STALL_FACTOR: u32 = 5;
/// Processing time assumed before the first answer.
const DEFAULT_PROCESSING_TIME: time::Duration = time::Duration::from_millis(200);
/// Most recent affinity keys from this host that a target is assumed to keep warm.
const MAX_WARM_KEYS: usize = 24;
/// Time after its deadline from which on a request no longer counts, although no end was recorded.
const OVERDUE_TIME: time::Duration = time::Duration::from_secs(5);
/// Basis points in 100%.
const WHOLE_BASIS_POINTS: f64 = 10_000.0;

/// The load and health of one target, as known to this host.
///
/// Combines outlier ejection, a stall time-out for silent targets and an estimate of the
/// requests of all hosts at the target.
#[derive(Debug)]
pub struct TargetStatus {
    /// The target's description of itself.
    pub target: target::Target,
    /// State of its cold start.
    pub cold_start: cold_start::ColdStart,
    /// Requests of this host at the target.
    own_requests: u32,
    /// Latest deadline of these requests.
    last_deadline: instant::Instant,
    /// Requests of this host whose bodies are not whole at the target yet.
    uploads: u32,
    /// Requests of other hosts at the target, observed in its last answer.
    other_requests: f64,
    /// Requests of other hosts to assume when the observation is old.
    typical_requests: f64,
    /// Requests of other hosts at the target as these hosts reported them, and when.
    reported_requests: Option<(f64, instant::Instant)>,
    /// When `other_requests` was observed.
    observed_at: instant::Instant,
    /// Mean time of a request without round trip and queueing.
    processing: steer::Ewma,
    outlier: steer::OutlierEjection,
    /// Rate of failed attempts.
    failures: steer::DecayingRate,
    /// When the target last answered, or began to owe an answer.
    progress_at: instant::Instant,
    /// Affinity keys that the target recently handled for this host, the oldest first.
    warm_keys: collections::VecDeque<hash::HashKey>,
}

impl TargetStatus {
    /// Creates the status of a target that was sent no request yet.
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
            last_deadline: now,
            uploads: 0,
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

    /// Applies a new description of the target; a restart resets its health and warm keys.
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

    /// Returns the number of requests of this host at the target.
    #[must_use]
    pub const fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the estimated number of requests of all hosts at the target.
    #[must_use]
    pub fn load(&self, now: instant::Instant) -> f64 {
        if let Some((reported, at)) = self.reported_requests
            && at >= self.observed_at
        {
            return f64::from(self.own_requests) + reported;
        }
        let age = now.since(self.observed_at).as_secs_f64();
        let trust = (-age / TRUST_TIME_CONSTANT.as_secs_f64()).exp();
        f64::from(self.own_requests)
            + self.other_requests * trust
            + self.typical_requests * (1.0 - trust)
    }

    /// Returns the other hosts' observed load per slot, and the trust in it from 0 to 1.
    #[must_use]
    pub fn observed_load(&self, now: instant::Instant) -> (f64, f64) {
        let age = now.since(self.observed_at).as_secs_f64();
        let trust = (-age / TRUST_TIME_CONSTANT.as_secs_f64()).exp();
        (
            self.other_requests / f64::from(self.target.slots.max(1)),
            trust,
        )
    }

    /// Sets the number of other hosts' requests at the target as these hosts reported it.
    pub const fn set_reported_requests(&mut self, requests: f64, now: instant::Instant) {
        self.reported_requests = Some((requests, now));
    }

    /// Sets the other hosts' load per slot to assume where the observation is old.
    pub fn set_typical_load(&mut self, per_slot: f64) {
        self.typical_requests = per_slot * f64::from(self.target.slots);
    }

    /// Returns whether one more request fits into a ratio of the target's slots.
    #[must_use]
    pub fn has_free_slots(&self, ratio: f64, now: instant::Instant) -> bool {
        self.load(now) + 1.0 <= f64::from(self.target.slots) * ratio
    }

    /// Returns whether the queue at the target is full.
    #[must_use]
    pub fn is_full(&self, now: instant::Instant) -> bool {
        self.load(now) >= f64::from(self.target.slots) * (1.0 + QUEUED_PER_SLOT)
    }

    /// Returns whether the target gets no requests because of failures or silence.
    #[must_use]
    pub fn is_excluded(&self, now: instant::Instant) -> bool {
        let is_probed = self.outlier.is_probe_due(now) && self.own_requests > 0;
        self.outlier.is_ejected(now) || is_probed || self.is_silent(now)
    }

    /// Returns whether the target owes answers and has shown no sign of life for some time.
    #[must_use]
    pub fn is_silent(&self, now: instant::Instant) -> bool {
        let stall_time = (self.mean_processing_time() * STALL_FACTOR).max(MIN_STALL_TIME);
        self.owed_answers() > 0 && now.since(self.progress_at) > stall_time
    }

    /// Returns the number of requests that the target should answer; it owes no answer while a body
    /// is on its way, or waits for its connection.
    const fn owed_answers(&self) -> u32 {
        self.own_requests.saturating_sub(self.uploads)
    }

    /// Returns the ratio of recent attempts that failed, from 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self, now: instant::Instant) -> f64 {
        f64::from(self.failures.level(now)) / WHOLE_BASIS_POINTS
    }

    /// Returns the slots that requests can keep busy, given the target's limit in requests per
    /// second.
    #[must_use]
    pub fn usable_slots(&self, limit: Option<f64>) -> f64 {
        let slots = f64::from(self.target.slots);
        let processing = self.mean_processing_time().as_secs_f64();
        limit.map_or(slots, |rate| slots.min(rate * processing))
    }

    /// Returns the expected queueing time of one more request at the target.
    #[must_use]
    pub fn expected_wait(&self, now: instant::Instant) -> time::Duration {
        let slots = f64::from(self.target.slots.max(1));
        let ahead = (self.load(now) + 1.0 - slots).max(0.0);
        self.mean_processing_time().mul_f64(ahead / slots)
    }

    /// Records a request that is sent to the target; returns whether it took a token of the cold rate.
    pub fn record_send(&mut self, deadline: instant::Instant, now: instant::Instant) -> bool {
        if self.owed_answers() == 0 {
            self.progress_at = now;
        }
        self.own_requests += 1;
        self.last_deadline = self.last_deadline.max(deadline);
        let is_cold = self.cold_start.is_cold(now);
        if is_cold {
            self.cold_start.take(now);
        }
        is_cold
    }

    /// Forgets requests whose end was not recorded long after their deadlines; returns their number.
    pub fn expire(&mut self, now: instant::Instant) -> u32 {
        if now < self.last_deadline + OVERDUE_TIME {
            return 0;
        }
        self.uploads = 0;
        std::mem::take(&mut self.own_requests)
    }

    /// Records that a long request body is on its way to the target.
    pub const fn record_upload_start(&mut self) {
        self.uploads += 1;
    }

    /// Records that a request body arrived, or ended early.
    pub const fn record_upload_end(&mut self, now: instant::Instant) {
        self.uploads = self.uploads.saturating_sub(1);
        self.progress_at = now;
    }

    /// Records that a request body ended before any of it was sent, which shows no sign of life.
    pub const fn record_unsent_upload_end(&mut self, now: instant::Instant) {
        if self.owed_answers() == 0 {
            self.progress_at = now;
        }
        self.uploads = self.uploads.saturating_sub(1);
    }

    /// Records that a response was cut off after its beginning was passed on.
    pub fn record_cut(&mut self, warmup: time::Duration, now: instant::Instant) {
        self.failures.record_event(now);
        if self.outlier.record_failure(now) {
            self.eject(warmup, now);
        }
    }

    /// Records the result of a request.
    ///
    /// `processing` is its time without round trip and queueing.
    pub fn record_result(
        &mut self,
        result: placement::AttemptResult,
        processing: time::Duration,
        warmup: time::Duration,
        now: instant::Instant,
    ) {
        self.own_requests = self.own_requests.saturating_sub(1);
        match result {
            placement::AttemptResult::Answered(load) => {
                self.progress_at = now;
                self.outlier.record_success();
                self.failures.record_other(now);
                self.processing
                    .update(processing_time::micros(processing).into());
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
                self.record_cut(warmup, now);
            }
            placement::AttemptResult::Misdirected
            | placement::AttemptResult::Unsent
            | placement::AttemptResult::TimedOut
            | placement::AttemptResult::Cancelled => {}
        }
    }

    /// Ejects the target, which is cold when it returns.
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

    /// Returns the target's warmth for an affinity key.
    #[must_use]
    pub fn warmth(&self, key: hash::HashKey, is_preferred: bool) -> processing_time::Warmth {
        if self.warm_keys.contains(&key) {
            processing_time::Warmth::Known
        } else if is_preferred {
            processing_time::Warmth::Likely
        } else {
            processing_time::Warmth::None
        }
    }

    /// Records that the target handled a request with this affinity key.
    pub fn record_key(&mut self, key: hash::HashKey) {
        self.warm_keys.retain(|known| *known != key);
        self.warm_keys.push_back(key);
        if self.warm_keys.len() > MAX_WARM_KEYS {
            self.warm_keys.pop_front();
        }
    }

    /// Returns the processing part of a request's time if `load` requests were ahead of it.
    #[must_use]
    pub fn without_queueing(&self, time: time::Duration, load: f64) -> time::Duration {
        let slots = f64::from(self.target.slots.max(1));
        time.mul_f64(slots / (load + 1.0).max(slots))
    }

    fn mean_processing_time(&self) -> time::Duration {
        time::Duration::from_micros(
            self.processing
                .value_or(processing_time::micros(DEFAULT_PROCESSING_TIME))
                .into(),
        )
    }
}
