//! What an entry host has seen of one target.

use std::time;

use crate::instant;
use crate::name;

use super::candidate;
use super::completion;
use super::decaying_rate;
use super::drain;
use super::ewma;
use super::outlier_ejection;

const COLD_WARMTH: u32 = 2_500;
const WARM_UP: time::Duration = time::Duration::from_secs(10);
const IDLE: time::Duration = time::Duration::from_mins(2);
const SLOW_FACTOR: u32 = 3;

/// Time above the usual, in microseconds, below which a target is not worth leaving a zone for.
const SLOW_GAP: u32 = 5_000;
/// Answers in a row that have to be slow.
const SLOW_ANSWERS: usize = 2;
const FORGET: time::Duration = time::Duration::from_secs(5);
const SHED_PAUSE: time::Duration = time::Duration::from_millis(10);
const MAX_SHED_PAUSE: time::Duration = time::Duration::from_secs(2);
const UNKNOWN: u32 = 1_000;
const REMEMBER: time::Duration = time::Duration::from_mins(1);

/// One target and what this host's own exchanges with it showed.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: name::Target,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// What is known of its leaving.
    pub drain: drain::Drain,
    /// What its failures say.
    pub outlier: outlier_ejection::OutlierEjection,
    own: u32,
    others: u32,
    reported: Option<instant::Instant>,
    service: ewma::Ewma,
    recent: [u32; SLOW_ANSWERS],
    answered: instant::Instant,
    faults: decaying_rate::DecayingRate,
    sheds: decaying_rate::DecayingRate,
    streak: u32,
    quiet: Option<instant::Instant>,
    cold: Option<instant::Instant>,
    used: instant::Instant,
}

impl TargetStatus {
    /// Creates a target that nothing is known of and that is taken as warm.
    #[must_use]
    pub fn new(name: name::Target, slots: u32, now: instant::Instant) -> Self {
        Self {
            name,
            slots,
            drain: drain::Drain::default(),
            outlier: outlier_ejection::OutlierEjection::default(),
            own: 0,
            others: 0,
            reported: None,
            service: ewma::Ewma::default(),
            recent: [0; SLOW_ANSWERS],
            answered: now,
            faults: decaying_rate::DecayingRate::default(),
            sheds: decaying_rate::DecayingRate::default(),
            streak: 0,
            quiet: None,
            cold: None,
            used: now,
        }
    }

    /// Returns the target as one that has to warm up first.
    #[must_use]
    pub fn with_warm_up(mut self, now: instant::Instant) -> Self {
        self.cold = Some(now);
        self
    }

    /// Marks a target that comes back as one that has to warm up first.
    pub fn start_warm_up(&mut self, now: instant::Instant) {
        self.cold = Some(now);
        self.service.clear();
    }

    /// Returns the requests of this host that are on the target.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.own
    }

    /// Returns when the target last reported its load.
    #[must_use]
    pub const fn reported_at(&self) -> Option<instant::Instant> {
        self.reported
    }

    /// Counts a request that is sent to the target.
    pub fn start(&mut self, now: instant::Instant) {
        if now.since(self.used) > IDLE {
            self.cold = Some(now);
        }
        self.used = now;
        self.own += 1;
    }

    /// Counts the end of an exchange; returns whether the target is to be ejected.
    pub fn finish(
        &mut self,
        end: completion::Completion,
        word: completion::LoadReport,
        now: instant::Instant,
    ) -> bool {
        self.own = self.own.saturating_sub(1);
        self.used = now;
        if let Some(running) = word.running {
            self.others = running.saturating_sub(self.own);
            self.reported = Some(now);
        }
        if word.is_leaving {
            self.drain.announce(now);
        }
        match end {
            completion::Completion::Answered(time) => {
                self.time(time, now);
                self.faults.record_other(now);
                self.sheds.record_other(now);
                self.streak = 0;
                self.outlier.record_success();
                false
            }
            completion::Completion::Shed => {
                self.shed(now);
                self.outlier.record_success();
                false
            }
            completion::Completion::Failed => {
                self.faults.record_event(now);
                self.outlier.record_failure(now)
            }
            completion::Completion::Expired(time) => {
                self.time(time, now);
                self.faults.record_event(now);
                self.outlier.record_failure(now)
            }
            completion::Completion::Cancelled => false,
        }
    }

    /// Returns what a choice is told of the target.
    ///
    /// `usual` is the time in which most of the service's targets answer, in microseconds.
    #[must_use]
    pub fn candidate(&self, usual: u32, now: instant::Instant) -> candidate::Candidate {
        let age = self
            .reported
            .map_or(candidate::MAX_REPORT_AGE_MICROS, |at| micros(now.since(at)));
        let service = self.service(usual, now);
        candidate::Candidate {
            index: 0,
            position: 0,
            slots: self.slots,
            in_flight: self.own,
            reported_load: self.others,
            age: age.min(candidate::MAX_REPORT_AGE_MICROS),
            service_time: service,
            failure_rate: self.faults.level(now),
            shed_rate: self.refusing(now),
            warmth: self.warmth(now),
            is_slow: self.is_slow(service, usual),
            is_tried: false,
        }
    }

    /// Returns whether the target is slower than the usual, in its mean and each of its last answers.
    ///
    /// One late answer alone may be the network's or this host's own fault.
    fn is_slow(&self, service: u32, usual: u32) -> bool {
        let quickest = self.recent.iter().copied().min().unwrap_or(0);
        let time = service.min(quickest);
        time / SLOW_FACTOR > usual && time - usual > SLOW_GAP
    }

    /// Returns the time in which the target answered of late, in microseconds.
    #[must_use]
    pub fn recent_mean(&self, now: instant::Instant) -> Option<u32> {
        let is_recent = now.since(self.answered) <= REMEMBER;
        is_recent
            .then(|| self.service.value_or(0))
            .filter(|pace| *pace > 0)
    }

    /// Returns the time to answer; what was seen long ago is forgotten.
    ///
    /// A target that was not asked for a while is taken as fast, so that a time
    /// learnt in a bad moment does not refuse tight deadlines for ever. While a
    /// request is out to learn the time anew, the old one counts.
    fn service(&self, usual: u32, now: instant::Instant) -> u32 {
        if now.since(self.answered) > FORGET && self.own == 0 {
            return usual.min(UNKNOWN);
        }
        self.service.value_or(usual)
    }

    /// Leaves the target alone for a pause that doubles with each refusal in a row.
    fn shed(&mut self, now: instant::Instant) {
        let pause = SHED_PAUSE * 2_u32.saturating_pow(self.streak);
        self.streak += 1;
        self.quiet = Some(now + pause.min(MAX_SHED_PAUSE));
        self.sheds.record_event(now);
    }

    /// Returns the recent refusals for want of room, in basis points.
    fn refusing(&self, now: instant::Instant) -> u32 {
        if self.quiet.is_some_and(|until| now < until) {
            return super::WHOLE_BASIS_POINTS;
        }
        self.sheds.level(now)
    }

    fn time(&mut self, time: u64, now: instant::Instant) {
        if now.since(self.answered) > FORGET {
            self.recent = [0; SLOW_ANSWERS];
            self.service.clear();
        }
        self.service.update(time);
        self.recent.rotate_left(1);
        self.recent[SLOW_ANSWERS - 1] = u32::try_from(time).unwrap_or(u32::MAX);
        self.answered = now;
    }

    fn warmth(&self, now: instant::Instant) -> u32 {
        let Some(since) = self.cold else {
            return super::WHOLE_BASIS_POINTS;
        };
        let passed = u64::from(micros(now.since(since)));
        let all = u64::from(micros(WARM_UP));
        let rest = u64::from(super::WHOLE_BASIS_POINTS - COLD_WARMTH);
        let gained = rest * passed.min(all) / all;
        COLD_WARMTH + u32::try_from(gained).unwrap_or(0)
    }
}

fn micros(span: time::Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
