//! A message between hosts, in one datagram.

use skylark_core::traffic;

use super::tokens;

/// A message between hosts.
#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum Message {
    /// A host's own report.
    Report(traffic::Report),
    /// What changed with a host, between two reports.
    News(traffic::Member),
    /// A relay's sum of its zone, for relays of other zones.
    Summary(traffic::ZoneSummary),
    /// What a relay tells the hosts of its own zone of the whole fleet.
    View(traffic::FleetView),
    /// Asks the holder of an account's share for a token.
    TokenRequest {
        /// Number of the question at the host that asks.
        number: u64,
        /// Digest of the account's name.
        account: u32,
    },
    /// The answer to such a question.
    TokenReply {
        /// Number of the question.
        number: u64,
        /// The answer.
        grant: tokens::Grant,
    },
    /// Gives a token back.
    TokenReturn {
        /// Digest of the account's name.
        account: u32,
    },
}
