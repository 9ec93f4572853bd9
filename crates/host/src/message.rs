//! Messages between hosts, each in one datagram.

use skylark_core::traffic;

use super::tokens;

/// A message between hosts.
#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum Message {
    /// Full report of a host.
    Report(traffic::Report),
    /// Changed membership of a host, sent between two reports.
    Member(traffic::Member),
    /// Summary of a relay's zone for the relays of other zones.
    Summary(traffic::ZoneSummary),
    /// View of the whole fleet from a relay for the hosts of its zone.
    View(traffic::FleetView),
    /// Asks the holder of an account's share for a token.
    TokenRequest {
        /// Number of the request, unique at the host that asks.
        number: u64,
        /// Digest of the account's name.
        account: u32,
    },
    /// Reply to a token request.
    TokenReply {
        /// Number of the request.
        number: u64,
        /// The reply.
        grant: tokens::Grant,
    },
    /// Returns a token to the holder of the share.
    TokenReturn {
        /// Digest of the account's name.
        account: u32,
    },
    /// Limits that targets named in their answers.
    Limits(traffic::LimitReport),
    /// The holder of an account's share changes.
    Role(traffic::RoleMessage),
}
