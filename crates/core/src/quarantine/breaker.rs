//! Circuit breaker per request fingerprint, as one host runs it.

use std::collections;

use crate::idempotency;
use crate::instant;
use crate::name;

/// Circuit breaker per request fingerprint.
///
/// A fingerprint is trusted for a while after a target answered it. Without
/// trust, each host runs one request with it at a time. After a crash that the
/// host observed or learned of, it runs only with the probe lock, and after
/// [`super::Limits::crashes`] crashes it is refused for [`super::Limits::window`].
#[derive(Debug)]
pub struct Breaker {
    limits: super::Limits,
    reporter: name::Incarnation,
    sequence: u64,
    running: collections::HashMap<idempotency::Fingerprint, usize>,
    trusted: collections::HashMap<idempotency::Fingerprint, instant::Instant>,
    /// The older half of the trusted fingerprints, which is discarded first.
    older_trusted: collections::HashMap<idempotency::Fingerprint, instant::Instant>,
    crashes: collections::HashMap<idempotency::Fingerprint, Vec<Observation>>,
}

#[derive(Clone, Debug)]
struct Observation {
    crash: super::Crash,
    at: instant::Instant,
    weight: usize,
}

impl Breaker {
    /// Creates a breaker without observations; `reporter` identifies this process.
    #[must_use]
    pub fn new(limits: super::Limits, reporter: &name::Incarnation) -> Self {
        Self {
            limits,
            reporter: reporter.clone(),
            sequence: 0,
            running: collections::HashMap::new(),
            trusted: collections::HashMap::new(),
            older_trusted: collections::HashMap::new(),
            crashes: collections::HashMap::new(),
        }
    }

    /// Decides on a request, and counts it as running on [`super::Action::Run`].
    pub fn admit(
        &mut self,
        now: instant::Instant,
        fingerprint: idempotency::Fingerprint,
    ) -> super::Action {
        let action = self.decide(now, fingerprint);
        if action == super::Action::Run {
            self.start(fingerprint);
        }
        action
    }

    /// Decides on a request that holds the probe lock.
    pub fn admit_probe(
        &mut self,
        now: instant::Instant,
        fingerprint: idempotency::Fingerprint,
    ) -> super::Action {
        match self.decide(now, fingerprint) {
            super::Action::Probe | super::Action::Run => {
                self.start(fingerprint);
                super::Action::Run
            }
            other => other,
        }
    }

    /// Decides on a request that needs the probe lock while the table is unreachable.
    pub fn admit_offline(
        &mut self,
        now: instant::Instant,
        fingerprint: idempotency::Fingerprint,
    ) -> super::Action {
        match self.decide(now, fingerprint) {
            super::Action::Probe if self.is_paused(now, fingerprint) => super::Action::Refuse,
            super::Action::Probe | super::Action::Run => {
                self.start(fingerprint);
                super::Action::Run
            }
            other => other,
        }
    }

    /// Records the outcome of a run; returns the crash to report to other hosts, if any.
    pub fn finish(
        &mut self,
        now: instant::Instant,
        fingerprint: idempotency::Fingerprint,
        outcome: super::RunOutcome,
    ) -> Option<super::Crash> {
        self.stop(fingerprint);
        match outcome {
            super::RunOutcome::Answered => self.trust(now, fingerprint),
            super::RunOutcome::Crashed(target) => return self.record_own(now, fingerprint, target),
            super::RunOutcome::Inconclusive => {}
        }
        None
    }

    /// Records a crash that another host reported; repeated reports count once.
    pub fn record_remote(&mut self, now: instant::Instant, crash: &super::Crash) {
        self.add_crash(now, crash.clone(), 1);
    }

    /// Returns whether a fingerprint is quarantined.
    #[must_use]
    pub fn is_quarantined(
        &self,
        now: instant::Instant,
        fingerprint: idempotency::Fingerprint,
    ) -> bool {
        self.crash_count(now, fingerprint) >= self.limits.crashes
    }

    fn decide(
        &self,
        now: instant::Instant,
        fingerprint: idempotency::Fingerprint,
    ) -> super::Action {
        let crashes = self.crash_count(now, fingerprint);
        if crashes >= self.limits.crashes {
            return super::Action::Refuse;
        }
        if self.is_trusted(now, fingerprint) {
            return super::Action::Run;
        }
        if self.running.contains_key(&fingerprint) {
            return super::Action::Wait;
        }
        if crashes > 0 {
            return super::Action::Probe;
        }
        super::Action::Run
    }

    /// Records a crash that this host observed; under a trusted fingerprint it only ends the trust.
    fn record_own(
        &mut self,
        now: instant::Instant,
        fingerprint: idempotency::Fingerprint,
        target: name::Target,
    ) -> Option<super::Crash> {
        let was_trusted = self.is_trusted(now, fingerprint);
        self.trusted.remove(&fingerprint);
        self.older_trusted.remove(&fingerprint);
        self.sequence += 1;
        let crash = super::Crash {
            fingerprint,
            target,
            reporter: self.reporter.clone(),
            number: self.sequence,
        };
        if was_trusted {
            self.add_crash(now, crash, 0);
            return None;
        }
        self.add_crash(now, crash.clone(), 1).then_some(crash)
    }

    fn trust(&mut self, now: instant::Instant, fingerprint: idempotency::Fingerprint) {
        self.crashes.remove(&fingerprint);
        if self.trusted.len() >= self.limits.max_fingerprints {
            self.older_trusted = std::mem::take(&mut self.trusted);
        }
        self.trusted
            .insert(fingerprint, now + self.limits.trust_period);
    }

    /// Adds a crash with the weight that it counts with; returns whether it is new.
    fn add_crash(&mut self, now: instant::Instant, crash: super::Crash, weight: usize) -> bool {
        let window = self.limits.window;
        if self.crashes.len() >= self.limits.max_fingerprints {
            self.crashes.retain(|_fingerprint, observations| {
                observations
                    .iter()
                    .any(|observation| now.since(observation.at) < window)
            });
        }
        let merge_window = self.limits.merge_window;
        let observations = self.crashes.entry(crash.fingerprint).or_default();
        observations.retain(|observation| now.since(observation.at) < window);
        let is_duplicate = observations.iter().any(|observation| {
            let is_repeat = observation.crash == crash;
            is_repeat
                || (observation.crash.target == crash.target
                    && now.since(observation.at) < merge_window)
        });
        if !is_duplicate {
            let at = now;
            observations.push(Observation { crash, at, weight });
        }
        !is_duplicate
    }

    /// Returns the sum of the weights of the crashes within the window.
    fn crash_count(&self, now: instant::Instant, fingerprint: idempotency::Fingerprint) -> usize {
        let window = self.limits.window;
        let observations = self.crashes.get(&fingerprint).into_iter().flatten();
        observations
            .filter(|observation| now.since(observation.at) < window)
            .map(|observation| observation.weight)
            .sum()
    }

    fn is_paused(&self, now: instant::Instant, fingerprint: idempotency::Fingerprint) -> bool {
        let offline_pause = self.limits.offline_pause;
        let mut observations = self.crashes.get(&fingerprint).into_iter().flatten();
        observations.any(|observation| now.since(observation.at) < offline_pause)
    }

    /// Returns whether a target answered the fingerprint within the trust period.
    #[must_use]
    pub fn is_trusted(&self, now: instant::Instant, fingerprint: idempotency::Fingerprint) -> bool {
        let expiry = self
            .trusted
            .get(&fingerprint)
            .or_else(|| self.older_trusted.get(&fingerprint));
        expiry.is_some_and(|until| now < *until)
    }

    fn start(&mut self, fingerprint: idempotency::Fingerprint) {
        *self.running.entry(fingerprint).or_insert(0) += 1;
    }

    fn stop(&mut self, fingerprint: idempotency::Fingerprint) {
        if let Some(count) = self.running.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&fingerprint);
            }
        }
    }
}
