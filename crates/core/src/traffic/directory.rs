//! Which entry hosts a caller is told to use.

use std::net;

use crate::name;

use super::report;
use super::topology;

/// Hosts named at least, so that a caller has another one when the first fails.
const ENOUGH_HOSTS: usize = 2;
/// Hosts named at most.
const MOST_HOSTS: usize = 64;

/// Chooses the hosts for a caller: those of its availability zone, else of its region, else all.
#[must_use]
pub fn choose<'a>(
    hosts: impl Iterator<Item = &'a report::Member>,
    layout: &topology::Topology,
    zone: Option<&name::Zone>,
    region: Option<&name::Region>,
) -> Vec<net::SocketAddr> {
    let ready: Vec<&report::Member> = hosts
        .filter(|member| member.phase == report::Phase::Ready)
        .collect();
    let in_zone = |member: &&&report::Member| Some(&member.zone) == zone;
    let in_region = |member: &&&report::Member| layout.region(&member.zone) == region;
    let near: Vec<_> = ready.iter().filter(in_zone).collect();
    let wide: Vec<_> = ready.iter().filter(in_region).collect();
    let chosen = match (near.len(), wide.len()) {
        (count, _) if count >= ENOUGH_HOSTS => near,
        (_, 1..) => wide,
        _ => ready.iter().collect(),
    };
    let addresses = chosen.iter().map(|member| member.caller_address);
    addresses.take(MOST_HOSTS).collect()
}
