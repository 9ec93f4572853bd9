//! What a host knows of one target's room and health.

use std::collections;
use std::time;

use crate::instant;
use crate::steer;

use super::cold;
use super::hash;
use super::pace;
use super::pick;
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
pub struct Seat {
    /// The target as it describes itself.
    pub target: target::Target,
    /// Its cold start.
    pub cold: cold::Cold,
    own: u32,
    others: f64,
    typical: f64,
    told: Option<(f64, instant::Instant)>,
    reported: instant::Instant,
    work: steer::Ewma,
    outlier: steer::OutlierEjection,
    failures: steer::DecayingRate,
    progress: instant::Instant,
    objects: collections::VecDeque<hash::Object>,
}

impl Seat {
    /// Creates a seat of a target that nothing was sent to yet.
    #[must_use]
    pub fn new(target: target::Target, now: instant::Instant) -> Self {
        let mut cold = cold::Cold::new(now);
        if !target.cold.is_zero() {
            cold.extend(target.cold, now);
        }
        Self {
            target,
            cold,
            own: 0,
            others: 0.0,
            typical: 0.0,
            told: None,
            reported: now,
            work: steer::Ewma::default(),
            outlier: steer::OutlierEjection::default(),
            failures: steer::DecayingRate::default(),
            progress: now,
            objects: collections::VecDeque::new(),
        }
    }

    /// Takes in what the target says of itself now.
    pub fn update(&mut self, target: target::Target, now: instant::Instant) {
        if target.born != self.target.born {
            self.outlier = steer::OutlierEjection::default();
            self.others = 0.0;
            self.objects.clear();
        }
        if !target.cold.is_zero() {
            self.cold.extend(target.cold, now);
        }
        self.target = target;
    }

    /// Returns the requests of this host that are at the target.
    #[must_use]
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Returns the requests that are reckoned to be at the target.
    #[must_use]
    pub fn load(&self, now: instant::Instant) -> f64 {
        if let Some((told, at)) = self.told
            && at >= self.reported
        {
            return f64::from(self.own) + told;
        }
        let age = now.since(self.reported).as_secs_f64();
        let trust = (-age / REPORT_TIME.as_secs_f64()).exp();
        f64::from(self.own) + self.others * trust + self.typical * (1.0 - trust)
    }

    /// Returns the other hosts' load per slot as last reported, with the part of it that is still trusted.
    #[must_use]
    pub fn reported(&self, now: instant::Instant) -> (f64, f64) {
        let age = now.since(self.reported).as_secs_f64();
        let trust = (-age / REPORT_TIME.as_secs_f64()).exp();
        (self.others / f64::from(self.target.slots.max(1)), trust)
    }

    /// Takes in the other hosts' requests at the target, as they told them.
    pub const fn set_told(&mut self, requests: f64, now: instant::Instant) {
        self.told = Some((requests, now));
    }

    /// Sets the other hosts' load per slot that is reckoned with where reports are old.
    pub fn set_typical(&mut self, per_slot: f64) {
        self.typical = per_slot * f64::from(self.target.slots);
    }

    /// Returns whether one more request fits in a part of the target's slots.
    #[must_use]
    pub fn has_free_part(&self, part: f64, now: instant::Instant) -> bool {
        self.load(now) + 1.0 <= f64::from(self.target.slots) * part
    }

    /// Returns whether the target's line is full.
    #[must_use]
    pub fn is_full(&self, now: instant::Instant) -> bool {
        self.load(now) >= f64::from(self.target.slots) * (1.0 + LINE_PARTS)
    }

    /// Returns whether the target is left out for its failures or its silence.
    #[must_use]
    pub fn is_left_out(&self, now: instant::Instant) -> bool {
        let stall = (self.mean_work() * STALL_TIMES).max(SHORTEST_STALL);
        let is_stalled = self.own > 0 && now.since(self.progress) > stall;
        let is_probed = self.outlier.is_probe_due(now) && self.own > 0;
        self.outlier.is_ejected(now) || is_probed || is_stalled
    }

    /// Returns the part of recent attempts that failed, from 0 to 1.
    #[must_use]
    pub fn failing(&self, now: instant::Instant) -> f64 {
        f64::from(self.failures.level(now)) / WHOLE
    }

    /// Returns the time that one more request is expected to wait at the target.
    #[must_use]
    pub fn wait(&self, now: instant::Instant) -> time::Duration {
        let slots = f64::from(self.target.slots.max(1));
        let ahead = (self.load(now) + 1.0 - slots).max(0.0);
        self.mean_work().mul_f64(ahead / slots)
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, now: instant::Instant) {
        if self.own == 0 {
            self.progress = now;
        }
        self.own += 1;
        if self.cold.is_cold(now) {
            self.cold.take(now);
        }
    }

    /// Takes in how a request ended; `work` is its time without the way and the line.
    pub fn end(
        &mut self,
        ending: pick::Ending,
        work: time::Duration,
        warmup: time::Duration,
        now: instant::Instant,
    ) {
        self.own = self.own.saturating_sub(1);
        match ending {
            pick::Ending::Answered(load) => {
                self.progress = now;
                self.outlier.record_success();
                self.failures.record_other(now);
                self.work.update(pace::micros(work).into());
                self.note(load, now);
            }
            pick::Ending::Failed(load) | pick::Ending::NotRun(load) => {
                self.progress = now;
                self.failures.record_event(now);
                self.note(load, now);
            }
            pick::Ending::Unreached => {
                self.outlier.record_failure(now);
                self.eject(warmup, now);
            }
            pick::Ending::Broken => {
                self.failures.record_event(now);
                if self.outlier.record_failure(now) {
                    self.eject(warmup, now);
                }
            }
            pick::Ending::Misdirected | pick::Ending::Silent | pick::Ending::Left => {}
        }
    }

    fn eject(&mut self, warmup: time::Duration, now: instant::Instant) {
        if !self.outlier.is_ejected(now) {
            self.outlier.eject(now);
        }
        if let Some(until) = self.outlier.ejected_until(now) {
            self.cold.extend(until.since(now) + warmup, now);
        }
    }

    fn note(&mut self, load: Option<pick::Load>, now: instant::Instant) {
        if let Some(load) = load {
            let total = load.running + load.waiting;
            self.others = f64::from(total.saturating_sub(self.own));
            self.reported = now;
        }
    }

    /// Returns what is known of the target's warmth for an object.
    #[must_use]
    pub fn warmth(&self, object: hash::Object, is_own: bool) -> pace::Warmth {
        if self.objects.contains(&object) {
            pace::Warmth::Known
        } else if is_own {
            pace::Warmth::Likely
        } else {
            pace::Warmth::None
        }
    }

    /// Notes that the target handled an object.
    pub fn handled(&mut self, object: hash::Object) {
        self.objects.retain(|known| *known != object);
        self.objects.push_back(object);
        if self.objects.len() > KEPT_OBJECTS {
            self.objects.pop_front();
        }
    }

    /// Returns the part of a request's time that it ran, when `load` others were there before it.
    #[must_use]
    pub fn without_line(&self, time: time::Duration, load: f64) -> time::Duration {
        let slots = f64::from(self.target.slots.max(1));
        time.mul_f64(slots / (load + 1.0).max(slots))
    }

    fn mean_work(&self) -> time::Duration {
        time::Duration::from_micros(self.work.value_or(pace::micros(FIRST_WORK)).into())
    }
}
