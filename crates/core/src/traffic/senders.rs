//! Choice of the few hosts that divide a target's request rate.

use super::hash;

/// Chooses the hosts that may send to a target, the same on every host.
///
/// Returns their number if `own` is one of them. Rendezvous hashing changes few senders when
/// hosts come or go.
pub(super) fn count_with(
    namespace: &str,
    target: &[u8],
    hosts: &[&str],
    own: &str,
    most: usize,
) -> Option<usize> {
    let key = hash::HashKey::new(namespace, target);
    let own_score = key.score(own, 1.0);
    let is_ahead = |host: &&&str| **host != own && key.score(host, 1.0) > own_score;
    let ahead = hosts.iter().filter(is_ahead).count();
    let is_sender = hosts.contains(&own) && ahead < most;
    is_sender.then_some(hosts.len().min(most))
}
