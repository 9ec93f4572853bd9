//! What one host knows of fingerprints and deaths.

use std::collections;

use crate::idempotency;
use crate::instant;
use crate::name;

/// What one host knows of fingerprints and the deaths under them.
///
/// A fingerprint that no target has answered lately runs one at a time on each
/// host; after a death that the host saw or heard of it runs only with the
/// table's probe, and after [`super::Limits::crashes`] not at all for a while.
#[derive(Debug)]
pub struct Breaker {
    limits: super::Limits,
    witness: name::Incarnation,
    number: u64,
    running: collections::HashMap<idempotency::Fingerprint, usize>,
    trusted: collections::HashMap<idempotency::Fingerprint, instant::Instant>,
    aged: collections::HashMap<idempotency::Fingerprint, instant::Instant>,
    deaths: collections::HashMap<idempotency::Fingerprint, Vec<Seen>>,
}

#[derive(Clone, Debug)]
struct Seen {
    death: super::Crash,
    at: instant::Instant,
    weight: usize,
}

impl Breaker {
    /// Creates the knowledge of a host that has seen nothing.
    #[must_use]
    pub fn new(limits: super::Limits, witness: &name::Incarnation) -> Self {
        Self {
            limits,
            witness: witness.clone(),
            number: 0,
            running: collections::HashMap::new(),
            trusted: collections::HashMap::new(),
            aged: collections::HashMap::new(),
            deaths: collections::HashMap::new(),
        }
    }

    /// Decides what may be done with a request; [`super::Action::Run`] counts it as running.
    pub fn admit(
        &mut self,
        now: instant::Instant,
        print: idempotency::Fingerprint,
    ) -> super::Action {
        let pass = self.decide(now, print);
        if pass == super::Action::Run {
            self.start(print);
        }
        pass
    }

    /// Decides again for a request that holds the table's probe.
    pub fn admit_probe(
        &mut self,
        now: instant::Instant,
        print: idempotency::Fingerprint,
    ) -> super::Action {
        match self.decide(now, print) {
            super::Action::Probe | super::Action::Run => {
                self.start(print);
                super::Action::Run
            }
            other => other,
        }
    }

    /// Decides again for a request whose probe the table could not be asked for.
    pub fn admit_offline(
        &mut self,
        now: instant::Instant,
        print: idempotency::Fingerprint,
    ) -> super::Action {
        match self.decide(now, print) {
            super::Action::Probe if self.is_paused(now, print) => super::Action::Refuse,
            super::Action::Probe | super::Action::Run => {
                self.start(print);
                super::Action::Run
            }
            other => other,
        }
    }

    /// Takes in how a run ended; returns the news for other hosts.
    pub fn finish(
        &mut self,
        now: instant::Instant,
        print: idempotency::Fingerprint,
        ending: super::RunOutcome,
    ) -> Option<super::Crash> {
        self.stop(print);
        match ending {
            super::RunOutcome::Answered => self.trust(now, print),
            super::RunOutcome::Crashed(target) => return self.witness(now, print, target),
            super::RunOutcome::Inconclusive => {}
        }
        None
    }

    /// Takes in news from another host; news that comes twice counts once.
    pub fn record_remote(&mut self, now: instant::Instant, death: &super::Crash) {
        self.add(now, death.clone(), 1);
    }

    /// Returns whether a fingerprint is held back.
    #[must_use]
    pub fn is_quarantined(&self, now: instant::Instant, print: idempotency::Fingerprint) -> bool {
        self.count(now, print) >= self.limits.crashes
    }

    fn decide(&self, now: instant::Instant, print: idempotency::Fingerprint) -> super::Action {
        let deaths = self.count(now, print);
        if deaths >= self.limits.crashes {
            return super::Action::Refuse;
        }
        if self.is_trusted(now, print) {
            return super::Action::Run;
        }
        if self.running.contains_key(&print) {
            return super::Action::Wait;
        }
        if deaths > 0 {
            return super::Action::Probe;
        }
        super::Action::Run
    }

    /// The first death under a trusted fingerprint only ends the trust.
    fn witness(
        &mut self,
        now: instant::Instant,
        print: idempotency::Fingerprint,
        target: name::Target,
    ) -> Option<super::Crash> {
        let was_trusted = self.is_trusted(now, print);
        self.trusted.remove(&print);
        self.aged.remove(&print);
        self.number += 1;
        let death = super::Crash {
            fingerprint: print,
            target,
            reporter: self.witness.clone(),
            number: self.number,
        };
        if was_trusted {
            self.add(now, death, 0);
            return None;
        }
        self.add(now, death.clone(), 1).then_some(death)
    }

    fn trust(&mut self, now: instant::Instant, print: idempotency::Fingerprint) {
        self.deaths.remove(&print);
        if self.trusted.len() >= self.limits.max_fingerprints {
            self.aged = std::mem::take(&mut self.trusted);
        }
        self.trusted.insert(print, now + self.limits.trust_period);
    }

    fn add(&mut self, now: instant::Instant, death: super::Crash, weight: usize) -> bool {
        let window = self.limits.window;
        if self.deaths.len() >= self.limits.max_fingerprints {
            self.deaths
                .retain(|_print, seen| seen.iter().any(|s| now.since(s.at) < window));
        }
        let merge = self.limits.merge_window;
        let known = self.deaths.entry(death.fingerprint).or_default();
        known.retain(|s| now.since(s.at) < window);
        let is_known = known.iter().any(|s| {
            let is_repeat = s.death == death;
            is_repeat || (s.death.target == death.target && now.since(s.at) < merge)
        });
        if !is_known {
            let at = now;
            known.push(Seen { death, at, weight });
        }
        !is_known
    }

    fn count(&self, now: instant::Instant, print: idempotency::Fingerprint) -> usize {
        let window = self.limits.window;
        let seen = self.deaths.get(&print).into_iter().flatten();
        seen.filter(|s| now.since(s.at) < window)
            .map(|s| s.weight)
            .sum()
    }

    fn is_paused(&self, now: instant::Instant, print: idempotency::Fingerprint) -> bool {
        let pause = self.limits.offline_pause;
        let mut seen = self.deaths.get(&print).into_iter().flatten();
        seen.any(|s| now.since(s.at) < pause)
    }

    /// Returns whether a target has answered the fingerprint lately.
    #[must_use]
    pub fn is_trusted(&self, now: instant::Instant, print: idempotency::Fingerprint) -> bool {
        let known = self.trusted.get(&print).or_else(|| self.aged.get(&print));
        known.is_some_and(|until| now < *until)
    }

    fn start(&mut self, print: idempotency::Fingerprint) {
        *self.running.entry(print).or_insert(0) += 1;
    }

    fn stop(&mut self, print: idempotency::Fingerprint) {
        if let Some(count) = self.running.get_mut(&print) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&print);
            }
        }
    }
}
