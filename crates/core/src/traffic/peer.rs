//! The last known state of another host, and its description in messages of relays.

use std::time;

use crate::instant;

use super::fleet;
use super::fleet_view;
use super::hash;
use super::report;

/// Time for which a changed host is described in every message.
///
/// It covers two messages to another region.
const CHANGE_REPORT_TIME: time::Duration = time::Duration::from_millis(2_250);
/// Largest number of hosts that a view describes, so that it fits one datagram.
const MAX_MEMBERS: usize = 200;

/// The last known state of another host.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: report::Member,
    /// When the host was last heard, by this host or by the relay that describes it.
    pub(super) heard_at: instant::Instant,
    /// When its phase, incarnation or store access last changed, or it joined.
    pub(super) changed_at: instant::Instant,
    /// The source of the last message from or about the host.
    pub(super) via: Via,
    /// Its last direct report, and when it arrived.
    pub(super) report: Option<(report::Report, instant::Instant)>,
}

/// The source of the last message from or about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Via {
    /// The host itself.
    Report,
    /// A relay that described the host or listed its age.
    Relay,
}

impl Peer {
    pub(super) fn is_live(&self, now: instant::Instant) -> bool {
        let timeout = match self.via {
            Via::Report => fleet::Fleet::LIVENESS_TIMEOUT,
            Via::Relay => fleet::Fleet::RELAYED_LIVENESS_TIMEOUT,
        };
        now.since(self.heard_at) < timeout
    }

    /// Returns the direct report if it is younger than `max_age`.
    pub(super) fn recent_report(
        &self,
        now: instant::Instant,
        max_age: time::Duration,
    ) -> Option<&report::Report> {
        let (report, at) = self.report.as_ref()?;
        (now.since(*at) < max_age).then_some(report)
    }
}

/// Describes the hosts in the scope of a message, the sending host included.
pub(super) fn describe<'a>(
    hosts: impl Iterator<Item = &'a Peer>,
    own: &report::Report,
    scope: fleet_view::Scope,
    now: instant::Instant,
) -> Vec<(report::Member, u16)> {
    let is_described = |peer: &&Peer| {
        now.since(peer.changed_at) < CHANGE_REPORT_TIME
            || scope.is_in_slice(hash::digest(peer.member.host.as_str()))
    };
    let described = hosts.filter(is_described).take(MAX_MEMBERS);
    described
        .map(|peer| (peer.member.clone(), millis(now.since(peer.heard_at))))
        .chain([(own.member.clone(), 0)])
        .collect()
}

/// Returns the milliseconds since each host was heard, in rounds whose messages list them.
pub(super) fn ages<'a>(
    hosts: impl Iterator<Item = &'a Peer>,
    scope: fleet_view::Scope,
    now: instant::Instant,
) -> Vec<(u32, u16)> {
    if !scope.has_ages() {
        return Vec::new();
    }
    let ages = hosts.map(|peer| {
        let digest = hash::digest(peer.member.host.as_str());
        (digest, millis(now.since(peer.heard_at)))
    });
    ages.collect()
}

/// Returns an age in milliseconds, saturated to the width that messages use.
fn millis(age: time::Duration) -> u16 {
    u16::try_from(age.as_millis()).unwrap_or(u16::MAX)
}
