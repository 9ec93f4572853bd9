//! Requests under which targets crashed.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

/// Targets that a request may crash before it is held back.
const DEATHS: usize = 3;
/// Time for which a death is remembered.
const MEMORY: time::Duration = time::Duration::from_mins(1);
/// Fingerprints that are remembered at most.
const MOST_PRINTS: usize = 4_096;
/// Time for which a death is told to the other hosts.
const TOLD_FOR: time::Duration = time::Duration::from_secs(5);
/// Deaths that one report holds at most.
const MOST_TOLD: usize = 16;
/// Time from a broken connection to the refused one that confirms a crash.
const CONFIRMED_WITHIN: time::Duration = time::Duration::from_secs(2);

/// Requests under which targets crashed.
///
/// It answers a request that crashes whatever runs it and comes again. A broken
/// connection alone is no crash: only a target that refuses the next connection
/// counts.
#[derive(Debug, Default)]
pub struct Crashes {
    breaks: Vec<Break>,
    deaths: collections::HashMap<u64, Vec<(name::Target, instant::Instant)>>,
}

#[derive(Debug)]
struct Break {
    print: u64,
    target: name::Target,
    at: instant::Instant,
}

impl Crashes {
    /// Notes that a connection broke while a request ran.
    pub fn record_disconnect(&mut self, print: u64, target: &name::Target, now: instant::Instant) {
        self.breaks
            .retain(|seen| now.since(seen.at) < CONFIRMED_WITHIN);
        self.breaks.push(Break {
            print,
            target: target.clone(),
            at: now,
        });
    }

    /// Notes that a target refuses connections, which confirms a crash shortly before.
    pub fn record_refused(&mut self, target: &name::Target, now: instant::Instant) {
        let is_confirmed =
            |seen: &Break| seen.target == *target && now.since(seen.at) < CONFIRMED_WITHIN;
        let confirmed = self.breaks.iter().filter(|seen| is_confirmed(seen));
        let prints: Vec<u64> = confirmed.map(|seen| seen.print).collect();
        self.breaks.retain(|seen| seen.target != *target);
        for print in prints {
            self.add(print, target, now);
        }
    }

    /// Returns the latest deaths, for the other hosts.
    #[must_use]
    pub fn recent(&self, now: instant::Instant) -> Vec<(u64, name::Target)> {
        let all = self.deaths.iter().flat_map(|(print, seen)| {
            let fresh = seen.iter().filter(|(_id, at)| now.since(*at) < TOLD_FOR);
            fresh.map(|(id, _at)| (*print, id.clone()))
        });
        all.take(MOST_TOLD).collect()
    }

    /// Adds a death that this host or another one confirmed; one that is known counts once.
    pub fn add(&mut self, print: u64, target: &name::Target, now: instant::Instant) {
        self.deaths
            .retain(|_print, seen| seen.iter().any(|(_id, at)| now.since(*at) < MEMORY));
        if self.deaths.len() >= MOST_PRINTS && !self.deaths.contains_key(&print) {
            return;
        }
        let seen = self.deaths.entry(print).or_default();
        if !seen.iter().any(|(id, _at)| id == target) {
            seen.push((target.clone(), now));
        }
    }

    /// Returns whether a request is held back.
    #[must_use]
    pub fn is_quarantined(&self, print: u64, now: instant::Instant) -> bool {
        let seen = self.deaths.get(&print).map_or(&[][..], Vec::as_slice);
        let recent = seen.iter().filter(|(_id, at)| now.since(*at) < MEMORY);
        recent.count() >= DEATHS
    }
}
