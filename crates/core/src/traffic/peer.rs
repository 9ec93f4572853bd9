//! A host that was heard, and what messages of relays say of it.

use std::time;

use crate::instant;

use super::fleet;
use super::fleet_view;
use super::hash;
use super::report;

/// Time for which a host that changed is described in every message: two to another region.
const CHANGE_TOLD: time::Duration = time::Duration::from_millis(2_250);
/// Hosts that one view describes at most, so that it fits one message.
const MOST_MEMBERS: usize = 200;

/// A host that was heard.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: report::Member,
    /// When it told this of itself.
    pub(super) heard_at: instant::Instant,
    /// When more than figures and versions changed.
    pub(super) changed_at: instant::Instant,
    pub(super) via: Via,
    /// Its last own report, and when it came.
    pub(super) report: Option<(report::Report, instant::Instant)>,
}

/// How a host was heard last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Via {
    Report,
    Relay,
}

impl Peer {
    pub(super) fn is_live(&self, now: instant::Instant) -> bool {
        let silence = match self.via {
            Via::Report => fleet::Fleet::LIVENESS_TIMEOUT,
            Via::Relay => fleet::Fleet::RELAYED_LIVENESS_TIMEOUT,
        };
        now.since(self.heard_at) < silence
    }

    /// Returns its own report if that came lately.
    pub(super) fn recent_report(
        &self,
        now: instant::Instant,
        most: time::Duration,
    ) -> Option<&report::Report> {
        let (report, at) = self.report.as_ref()?;
        (now.since(*at) < most).then_some(report)
    }
}

/// Describes the hosts that a message is to tell of, the one that sends it included.
pub(super) fn describe<'a>(
    hosts: impl Iterator<Item = &'a Peer>,
    own: &report::Report,
    scope: fleet_view::Scope,
    now: instant::Instant,
) -> Vec<(report::Member, u16)> {
    let is_told = |heard: &&Peer| {
        now.since(heard.changed_at) < CHANGE_TOLD
            || scope.is_in_slice(hash::digest(heard.member.host.as_str()))
    };
    let told = hosts.filter(is_told).take(MOST_MEMBERS);
    told.map(|heard| (heard.member.clone(), millis(now.since(heard.heard_at))))
        .chain([(own.member.clone(), 0)])
        .collect()
}

/// Returns when hosts were heard, in the rounds that tell it.
pub(super) fn ages<'a>(
    hosts: impl Iterator<Item = &'a Peer>,
    scope: fleet_view::Scope,
    now: instant::Instant,
) -> Vec<(u32, u16)> {
    if !scope.has_ages() {
        return Vec::new();
    }
    let ages = hosts.map(|heard| {
        let digest = hash::digest(heard.member.host.as_str());
        (digest, millis(now.since(heard.heard_at)))
    });
    ages.collect()
}

/// Returns an age in the milliseconds that messages carry.
fn millis(age: time::Duration) -> u16 {
    u16::try_from(age.as_millis()).unwrap_or(u16::MAX)
}
