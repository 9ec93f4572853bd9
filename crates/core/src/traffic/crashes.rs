//! Quarantine of requests that crash targets.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

/// Number of crashed targets at which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Time for which a crash is remembered.
const CRASH_TTL: time::Duration = time::Duration::from_mins(1);
/// Largest number of fingerprints that are remembered.
const MAX_FINGERPRINTS: usize = 4_096;
/// Time for which a crash is included in reports to the other hosts.
const REPORT_TIME: time::Duration = time::Duration::from_secs(5);
/// Largest number of crashes in one report.
const MAX_REPORTED: usize = 16;
/// Longest time from a lost connection to the refused one that confirms a crash.
const CONFIRMATION_TIME: time::Duration = time::Duration::from_secs(2);

/// Target crashes by the fingerprint of the request that ran at the time.
///
/// Quarantines a request that crashes every target it is sent to and is retried. A
/// lost connection alone does not count as a crash: the target must also refuse
/// the next connection.
#[derive(Debug, Default)]
pub struct Crashes {
    disconnects: Vec<Disconnect>,
    crashes: collections::HashMap<u64, Vec<(name::Target, instant::Instant)>>,
}

#[derive(Debug)]
struct Disconnect {
    fingerprint: u64,
    target: name::Target,
    at: instant::Instant,
}

impl Crashes {
    /// Records that a connection was lost while a request ran.
    pub fn record_disconnect(
        &mut self,
        fingerprint: u64,
        target: &name::Target,
        now: instant::Instant,
    ) {
        self.disconnects
            .retain(|seen| now.since(seen.at) < CONFIRMATION_TIME);
        self.disconnects.push(Disconnect {
            fingerprint,
            target: target.clone(),
            at: now,
        });
    }

    /// Records a refused connection, which confirms a crash shortly before.
    pub fn record_refused(&mut self, target: &name::Target, now: instant::Instant) {
        let is_confirmed =
            |seen: &Disconnect| seen.target == *target && now.since(seen.at) < CONFIRMATION_TIME;
        let confirmed = self.disconnects.iter().filter(|seen| is_confirmed(seen));
        let fingerprints: Vec<u64> = confirmed.map(|seen| seen.fingerprint).collect();
        self.disconnects.retain(|seen| seen.target != *target);
        for fingerprint in fingerprints {
            self.add(fingerprint, target, now);
        }
    }

    /// Returns the recent crashes to report to the other hosts.
    #[must_use]
    pub fn recent(&self, now: instant::Instant) -> Vec<(u64, name::Target)> {
        let all = self.crashes.iter().flat_map(|(fingerprint, seen)| {
            let fresh = seen.iter().filter(|(_id, at)| now.since(*at) < REPORT_TIME);
            fresh.map(|(id, _at)| (*fingerprint, id.clone()))
        });
        all.take(MAX_REPORTED).collect()
    }

    /// Adds a crash confirmed by this or another host; a known one is not counted again.
    pub fn add(&mut self, fingerprint: u64, target: &name::Target, now: instant::Instant) {
        self.crashes
            .retain(|_fingerprint, seen| seen.iter().any(|(_id, at)| now.since(*at) < CRASH_TTL));
        if self.crashes.len() >= MAX_FINGERPRINTS && !self.crashes.contains_key(&fingerprint) {
            return;
        }
        let seen = self.crashes.entry(fingerprint).or_default();
        if !seen.iter().any(|(id, _at)| id == target) {
            seen.push((target.clone(), now));
        }
    }

    /// Returns whether a request with this fingerprint is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, now: instant::Instant) -> bool {
        let seen = self
            .crashes
            .get(&fingerprint)
            .map_or(&[][..], Vec::as_slice);
        let recent = seen.iter().filter(|(_id, at)| now.since(*at) < CRASH_TTL);
        recent.count() >= QUARANTINE_CRASHES
    }
}
