//! Selection of the entry hosts that a look-up returns to a caller.

use std::net;

use crate::name;

use super::report;
use super::topology;

/// Smallest number of hosts to return, so that a caller has a second one when the first fails.
const MIN_HOSTS: usize = 2;
/// Largest number of hosts to return.
const MAX_HOSTS: usize = 64;

/// Returns the caller addresses of ready hosts near a caller.
///
/// Hosts of its availability zone are preferred if there are enough, then hosts of
/// its region, then all hosts.
#[must_use]
pub fn choose<'a>(
    hosts: impl Iterator<Item = &'a report::Member>,
    topology: &topology::Topology,
    zone: Option<&name::Zone>,
    region: Option<&name::Region>,
) -> Vec<net::SocketAddr> {
    let ready: Vec<&report::Member> = hosts
        .filter(|member| member.phase == report::Phase::Ready)
        .collect();
    let in_zone = |member: &&&report::Member| Some(&member.zone) == zone;
    let in_region = |member: &&&report::Member| topology.region(&member.zone) == region;
    let zone_hosts: Vec<_> = ready.iter().filter(in_zone).collect();
    let region_hosts: Vec<_> = ready.iter().filter(in_region).collect();
    let selected = match (zone_hosts.len(), region_hosts.len()) {
        (count, _) if count >= MIN_HOSTS => zone_hosts,
        (_, 1..) => region_hosts,
        _ => ready.iter().collect(),
    };
    let addresses = selected.iter().map(|member| member.caller_address);
    addresses.take(MAX_HOSTS).collect()
}
