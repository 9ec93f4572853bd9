//! The request rate that one target asks all hosts together to keep.

use std::time;

use crate::instant;

use super::limit_report;
use super::rate_gate;

/// Time for which a change is passed on in each message, so that lost datagrams do not matter.
const CHANGE_TELL_TIME: time::Duration = time::Duration::from_millis(1_100);
/// Time after which a limit is repeated that did not change.
const REPEAT_TIME: time::Duration = time::Duration::from_secs(25);
/// Time after which a host passes on what it heard anew of a limit that did not change.
const PASS_ON_TIME: time::Duration = time::Duration::from_secs(15);
/// Age from which on a limit ends if nobody heard of it again; hosts repeat it more often.
const MIN_LIFETIME: time::Duration = time::Duration::from_mins(1);
/// Range over which the ends of such limits are spread, so that hosts do not return together.
const LIFETIME_SPREAD: time::Duration = time::Duration::from_secs(30);

/// Relative difference up to which two limits count as the same for other hosts.
const MAX_SAME_RATIO: f64 = 0.02;

/// How this host knows what a target said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// From the target.
    Target,
    /// From another host of its availability zone.
    Zone,
    /// From a relay, which may have heard it from another zone.
    Relay,
}

/// What a target said of its limit at some time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Statement {
    /// Requests per second; `None` without a limit.
    pub(super) rate: Option<f64>,
    /// When the target said so.
    pub(super) at: instant::Instant,
    pub(super) origin: Origin,
}

/// What other hosts were told last.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: instant::Instant,
    /// When the target had said that.
    said_at: instant::Instant,
}

/// A host's share of a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Requests per second.
    pub(super) rate: f64,
    /// Requests that may be saved up.
    pub(super) burst: f64,
}

impl Share {
    /// The share of a host that may not send.
    pub(super) const NONE: Self = Self {
        rate: 0.0,
        burst: 0.0,
    };
}

/// The limit of one target, with this host's share of it.
#[derive(Debug)]
pub(super) struct TargetLimit {
    statement: Statement,
    /// When this host learned of the last change.
    changed_at: instant::Instant,
    /// When each audience was told last, and when the target had said that.
    told: [Option<Told>; limit_report::Audience::COUNT],
    /// Host sets and limit for which the share was computed.
    basis: Option<(u64, f64)>,
    share: Share,
    gate: rate_gate::RateGate,
}

impl TargetLimit {
    /// Creates the limit of a target that was not heard before; this host may send nothing to a
    /// limited one until its share is known.
    pub(super) const fn new(statement: Statement, now: instant::Instant) -> Self {
        Self {
            statement,
            changed_at: now,
            told: [None; limit_report::Audience::COUNT],
            basis: None,
            share: Share::NONE,
            gate: rate_gate::RateGate::new(now),
        }
    }

    /// Applies a statement unless a newer one is known; returns whether the limit changed.
    pub(super) fn apply(&mut self, statement: Statement, now: instant::Instant) -> bool {
        if statement.at < self.statement.at {
            return false;
        }
        let is_changed = is_different(self.statement.rate, statement.rate);
        // A repetition by others does not hide that this host heard it from the target.
        let origin = if is_changed {
            statement.origin
        } else {
            self.origin_of(statement.origin)
        };
        self.statement = Statement {
            origin,
            ..statement
        };
        if is_changed {
            self.changed_at = now;
        }
        is_changed
    }

    fn origin_of(&self, origin: Origin) -> Origin {
        match (self.statement.origin, origin) {
            (Origin::Target, _) | (_, Origin::Target) => Origin::Target,
            (Origin::Zone, _) | (_, Origin::Zone) => Origin::Zone,
            (Origin::Relay, Origin::Relay) => Origin::Relay,
        }
    }

    /// Returns the limit in requests per second while it holds; `spread` from 0 to 1 differs
    /// between hosts.
    pub(super) fn rate(&self, spread: f64, now: instant::Instant) -> Option<f64> {
        let lifetime = MIN_LIFETIME + LIFETIME_SPREAD.mul_f64(spread);
        let is_current = now.since(self.statement.at) < lifetime;
        self.statement.rate.filter(|_rate| is_current)
    }

    /// Returns whether the share was computed for these hosts and this limit.
    pub(super) fn is_share_of(&self, basis: (u64, f64)) -> bool {
        self.basis == Some(basis)
    }

    /// Sets this host's share; while most other hosts are silent it never grows, as they may use
    /// theirs.
    pub(super) fn set_share(
        &mut self,
        share: Share,
        basis: (u64, f64),
        is_isolated: bool,
        now: instant::Instant,
    ) {
        if !is_isolated || share.rate < self.share.rate {
            self.share = share;
        }
        self.basis = (!is_isolated).then_some(basis);
        self.gate.set_rate(self.share.rate, self.share.burst, now);
    }

    /// Returns whether this host may send one more request now.
    pub(super) fn has_token(&self, now: instant::Instant) -> bool {
        self.gate.has_token(now)
    }

    /// Takes the token of a request that is sent.
    pub(super) fn take(&mut self, now: instant::Instant) {
        self.gate.take(now);
    }

    /// Returns the token of a request that was not sent.
    pub(super) fn put_back(&mut self) {
        self.gate.put_back();
    }

    /// Returns whether a message for these hosts names the limit now, and remembers that it does.
    pub(super) fn tell(&mut self, audience: limit_report::Audience, now: instant::Instant) -> bool {
        let is_for_audience = match (audience, self.statement.origin) {
            (_, Origin::Target)
            | (limit_report::Audience::Zone, _)
            | (
                limit_report::Audience::NearRelays | limit_report::Audience::FarRelays,
                Origin::Zone,
            ) => true,
            (limit_report::Audience::Peers, _) | (_, Origin::Relay) => false,
        };
        let is_told = is_for_audience && (self.is_new(now) || self.is_due(audience, now));
        if is_told {
            self.told[audience.position()] = Some(Told {
                at: now,
                said_at: self.statement.at,
            });
        }
        is_told
    }

    fn is_new(&self, now: instant::Instant) -> bool {
        now.since(self.changed_at) < CHANGE_TELL_TIME
    }

    /// Returns whether a limit that did not change is to be told again.
    fn is_due(&self, audience: limit_report::Audience, now: instant::Instant) -> bool {
        let interval = match self.statement.origin {
            Origin::Target => REPEAT_TIME,
            Origin::Zone | Origin::Relay => PASS_ON_TIME,
        };
        let told = self.told[audience.position()];
        let is_due = told
            .is_none_or(|told| now.since(told.at) >= interval && self.statement.at > told.said_at);
        self.statement.rate.is_some() && is_due
    }

    /// Returns the notice that passes the limit on, given the digest of its target; `None` once it
    /// is so old that its age does not fit.
    pub(super) fn notice(
        &self,
        target: u32,
        now: instant::Instant,
    ) -> Option<limit_report::LimitNotice> {
        let age = u16::try_from(now.since(self.statement.at).as_millis()).ok()?;
        let rate = self.statement.rate.map(super::dispatcher::to_f32);
        Some(limit_report::LimitNotice { target, rate, age })
    }
}

/// Returns whether other hosts need to know that a limit changed.
fn is_different(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => (before - after).abs() > before * MAX_SAME_RATIO,
        (before, after) => before.is_some() != after.is_some(),
    }
}
