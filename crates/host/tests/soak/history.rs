//! History of requests as callers and targets saw them, and the check of its invariants.

use std::collections;
use std::sync;
use std::time;

use super::common;
use super::common::target;

/// Time without a disturbance after which time bounds hold for a host, `contactS` of the sites.
pub(crate) const CONTACT_TIME: time::Duration = time::Duration::from_secs(4);
/// Time in which a configuration change must be in force, `configApplyS` of the sites.
pub(crate) const APPLY_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Time after which a draining target must get no more requests, `drainS` of the sites.
pub(crate) const DRAIN_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Time after the route's time limit by which a request must have a response.
const ANSWER_SLACK: time::Duration = time::Duration::from_millis(500);
/// Time limit of the routes that callers use, as configured.
const ROUTE_TIME: time::Duration = time::Duration::from_secs(4);
/// Window, tolerance factor and tolerance count of an account's limit: the sites' `quota` bounds.
const QUOTA_WINDOW: time::Duration = time::Duration::from_secs(5);
const QUOTA_RATIO: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;
/// Rate and burst of the account `small`, as configured.
pub(crate) const SMALL_RATE: f64 = 6.0;
pub(crate) const SMALL_BURST: f64 = 6.0;
/// Targets that one request may be sent to, as configured.
const MAX_TARGETS: usize = 2;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) path: String,
    pub(crate) is_safe: bool,
    /// Whether the request may be answered with 401 or 404.
    pub(crate) is_probe: bool,
    pub(crate) account: &'static str,
    pub(crate) host: usize,
    pub(crate) at: time::Instant,
}

/// How a request ended for its caller.
#[derive(Debug)]
pub(crate) enum Outcome {
    Answered(common::Reply),
    /// The connection closed without a response.
    Closed,
    /// The caller stopped waiting.
    TimedOut,
}

/// Events of a run.
#[derive(Debug, Default)]
pub(crate) struct History {
    events: sync::Mutex<Events>,
}

#[derive(Debug, Default)]
struct Events {
    sent: collections::HashMap<String, Sent>,
    not_run: collections::HashMap<String, u16>,
    counts: collections::BTreeMap<String, u64>,
    disturbances: collections::HashMap<Place, Disturbance>,
    drains: Vec<Drain>,
    violations: Vec<String>,
}

/// A part of the deployment that a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Place {
    Host(usize),
    Store,
}

/// Disturbances of one place.
#[derive(Debug)]
struct Disturbance {
    /// Number of disturbances in progress.
    active: u32,
    /// When a disturbance last began or ended.
    at: time::Instant,
}

/// Time in which a target was registered as draining.
#[derive(Debug)]
struct Drain {
    target: String,
    from: time::Instant,
    until: time::Instant,
}

impl History {
    /// Records that a disturbance of a place begins.
    pub(crate) fn begin_disturbance(&self, place: Place, at: time::Instant) {
        let mut events = self.lock();
        let none = Disturbance { active: 0, at };
        let disturbance = events.disturbances.entry(place).or_insert(none);
        disturbance.active += 1;
        disturbance.at = at;
    }

    /// Records that a disturbance of a place ends.
    pub(crate) fn end_disturbance(&self, place: Place, at: time::Instant) {
        if let Some(disturbance) = self.lock().disturbances.get_mut(&place) {
            disturbance.active -= 1;
            disturbance.at = at;
        }
    }

    /// Returns whether a host and the store have been undisturbed since [`CONTACT_TIME`] before a
    /// moment.
    pub(crate) fn is_undisturbed(&self, host: usize, at: time::Instant) -> bool {
        let events = self.lock();
        events.is_place_undisturbed(Place::Host(host), at)
            && events.is_place_undisturbed(Place::Store, at)
    }

    /// Records the time in which a target was registered as draining.
    pub(crate) fn record_drain(&self, target: &str, from: time::Instant, until: time::Instant) {
        let target = target.to_owned();
        self.lock().drains.push(Drain {
            target,
            from,
            until,
        });
    }

    /// Records a violated invariant.
    pub(crate) fn record_violation(&self, what: String) {
        self.lock().violations.push(what);
    }

    pub(crate) fn send(&self, id: &str, sent: &Sent) {
        self.lock().sent.insert(id.to_owned(), sent.clone());
    }

    /// Records how a request ended, and checks what its caller can see.
    pub(crate) fn end(&self, id: &str, sent: &Sent, outcome: &Outcome, now: time::Instant) {
        let took = now.duration_since(sent.at);
        let mut events = self.lock();
        let is_undisturbed_host = events.is_place_undisturbed(Place::Host(sent.host), sent.at);
        let kind = match outcome {
            Outcome::Answered(reply) => reply.status.to_string(),
            Outcome::Closed => "closed".to_owned(),
            Outcome::TimedOut => "timed out".to_owned(),
        };
        *events.counts.entry(kind).or_default() += 1;
        let mut violations = Vec::new();
        match outcome {
            Outcome::Answered(reply) => {
                violations.extend(wrong_answer(id, sent, reply));
                if matches!(reply.status, 408 | 421 | 429 | 503) {
                    events.not_run.insert(id.to_owned(), reply.status);
                }
                if is_undisturbed_host && took > ROUTE_TIME + ANSWER_SLACK {
                    violations.push(format!("answered after {took:?}"));
                }
            }
            Outcome::Closed if is_undisturbed_host => {
                violations.push(format!("closed without an answer after {took:?}"));
            }
            Outcome::TimedOut if is_undisturbed_host => {
                violations.push(format!("no answer within {took:?}"));
            }
            Outcome::Closed | Outcome::TimedOut => {}
        }
        let violations = violations
            .into_iter()
            .map(|what| format!("{id} at host {}, {}: {what}", sent.host, sent.path));
        events.violations.extend(violations);
    }

    /// Checks what the targets ran, and returns all violations.
    pub(crate) fn check(&self, targets: &[target::Target]) -> Vec<String> {
        let mut events = self.lock();
        let mut runs: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
        let mut small = Vec::new();
        let mut violations = std::mem::take(&mut events.violations);
        for target in targets {
            for run in target.runs() {
                let id = target::value(&run.head, "request-id").unwrap_or_default();
                *runs.entry(id.clone()).or_default() += 1;
                let Some(sent) = events.sent.get(&id) else {
                    violations.push(format!("{id} ran and was never sent"));
                    continue;
                };
                violations.extend(wrong_run(&id, sent, &run));
                if sent.account == "small" {
                    small.push((sent, run.at));
                }
                violations.extend(events.after_drain(&target.id, &id, sent, run.at));
            }
        }
        for (id, count) in &runs {
            let Some(sent) = events.sent.get(id) else {
                continue;
            };
            let max = if sent.is_safe { MAX_TARGETS } else { 1 };
            if *count > max {
                violations.push(format!("{id} ran {count} times, {}", sent.path));
            }
            if let Some(status) = events.not_run.get(id) {
                violations.push(format!("{id} ran, its answer was {status}, {}", sent.path));
            }
        }
        violations.extend(over_quota(&small));
        violations
    }

    /// Returns the number of requests by outcome.
    pub(crate) fn counts(&self) -> collections::BTreeMap<String, u64> {
        self.lock().counts.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Events> {
        self.events
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Events {
    /// Returns whether a place has been undisturbed since [`CONTACT_TIME`] before a moment.
    fn is_place_undisturbed(&self, place: Place, at: time::Instant) -> bool {
        let last = self.disturbances.get(&place);
        last.is_none_or(|last| last.active == 0 && last.at + CONTACT_TIME <= at)
    }

    /// Returns a violation if a target ran a request after its time to drain.
    fn after_drain(
        &self,
        target: &str,
        id: &str,
        sent: &Sent,
        at: time::Instant,
    ) -> Option<String> {
        let drain = self.drains.iter().find(|drain| {
            drain.target == target && drain.from + DRAIN_TIME < at && at < drain.until
        })?;
        let from = drain.from;
        let is_bound = self.is_place_undisturbed(Place::Host(sent.host), from)
            && self.is_place_undisturbed(Place::Store, from);
        let after = at.duration_since(from);
        is_bound.then(|| format!("{id} reached {target} {after:?} after its leaving"))
    }
}

/// Returns a violation of a response, whatever faults its host had.
fn wrong_answer(id: &str, sent: &Sent, reply: &common::Reply) -> Option<String> {
    match reply.status {
        200 => {
            let text = String::from_utf8_lossy(&reply.body);
            let is_own = reply.header("request-id") == Some(id)
                && reply.header("response-stamp") == Some(&format!("s.{id}"))
                && text.ends_with(&format!(" answered {id}"));
            (!is_own).then(|| format!("answered with {text:?} and {:?}", reply.headers))
        }
        408 | 421 | 429 | 502 | 503 | 504 => {
            let stamp = reply.header("response-stamp");
            stamp.map(|stamp| format!("{} bears {stamp}", reply.status))
        }
        401 | 404 if sent.is_probe => None,
        status => Some(format!("answered {status}")),
    }
}

/// Returns a violation of a request as its target received it.
fn wrong_run(id: &str, sent: &Sent, run: &target::Run) -> Option<String> {
    let path = run.head.split_whitespace().nth(1).unwrap_or_default();
    if path != sent.path {
        return Some(format!("{id} ran with {path} in place of {}", sent.path));
    }
    let account = target::value(&run.head, "tenant-id");
    if account.as_deref() != Some(sent.account) {
        return Some(format!("{id} ran for {account:?}"));
    }
    target::value(&run.head, "authorization").map(|_key| format!("{id} ran with its key"))
}

/// Returns a violation if requests of an account that were both sent and run in one window
/// exceed its limit.
fn over_quota(runs: &[(&Sent, time::Instant)]) -> Option<String> {
    let whole = SMALL_RATE.mul_add(QUOTA_WINDOW.as_secs_f64(), SMALL_BURST);
    let max = whole.mul_add(QUOTA_RATIO, QUOTA_SLACK);
    let windows = runs.iter().map(|(first, _run)| {
        let until = first.at + QUOTA_WINDOW;
        let inside = runs
            .iter()
            .filter(|(sent, run)| sent.at >= first.at && *run <= until);
        inside.map(|(sent, _run)| *sent).collect::<Vec<&Sent>>()
    });
    let fullest = windows.max_by_key(Vec::len)?;
    let count = u32::try_from(fullest.len()).unwrap_or(u32::MAX);
    if f64::from(count) <= max {
        return None;
    }
    let mut hosts: collections::BTreeMap<usize, u32> = collections::BTreeMap::new();
    for sent in fullest {
        *hosts.entry(sent.host).or_default() += 1;
    }
    Some(format!(
        "{count} requests of `small` in {QUOTA_WINDOW:?}, most {max}; by host {hosts:?}"
    ))
}
