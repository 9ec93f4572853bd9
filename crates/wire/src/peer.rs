//! RPC between the control processes of different entry hosts.

use std::collections;

use skylark_core::budget;
use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;

use super::control;
use super::grant;

/// RPC service that a control process offers to its peers.
#[tarpc::service]
pub trait Peer {
    /// Returns what the caller needs to prove its records fresh, and records its heartbeat.
    async fn ask(question: Request) -> Reply;

    /// Returns the changes after a version, or a snapshot of all records.
    async fn fetch(after: unit::Version) -> Records;

    /// Fences off the holder of a lease at a version of its row.
    ///
    /// The holder doesn't fence off itself: its reply has a false `is_fenced`.
    async fn bar(lease: String, version: u64) -> Fenced;

    /// Grants an entry process tokens if this process owns the budgets, else redirects it.
    async fn lend(ask: budget::Request) -> grant::Reply;
}

/// A membership query with the heartbeat of the requesting host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Roster generation and version that the requester knows.
    pub membership: member::Query,
    /// The requesting host, absent until its entry process is known.
    pub host: Option<control::Host>,
    /// Version that the requesting host's entry process has in force.
    pub installed: unit::Version,
    /// Leases that the requester holds.
    pub leases: Vec<HeldLease>,
    /// [`Listing::etag`] of the requester's listing of each availability zone.
    pub etags: collections::BTreeMap<name::Zone, u64>,
}

/// A lease held by the requester, with the version for which it needs support.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HeldLease {
    /// Name of the lease.
    pub lease: String,
    /// Version of the lease's row.
    pub version: u64,
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Roster and version that the replying process knows.
    pub membership: member::Reply,
    /// Leases of the requester that the replying member supports.
    pub supported: Vec<HeldLease>,
    /// Listings that differ from the requester's.
    pub listings: Vec<Listing>,
}

/// The entry hosts of one availability zone, as the zone's roster member lists them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// The availability zone.
    pub zone: name::Zone,
    /// Roster member that wrote the listing.
    pub origin: name::Incarnation,
    /// Sequence number, which rises with each listing of this member.
    pub serial: u64,
    /// The entry hosts.
    pub hosts: Vec<control::Host>,
}

/// Records as sent to a peer, encoded as JSON.
///
/// Records omit absent fields, which the positional encoding of the compact
/// transport cannot express.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Records {
    /// The changes after the requested version, in order, as JSON.
    Changes(Vec<u8>),
    /// All records of a version, as JSON.
    Snapshot(unit::Version, Vec<u8>),
}

/// The reply to a request to fence off a lease's holder.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fenced {
    /// Roster member that replies.
    pub member: name::Incarnation,
    /// Whether it has withdrawn its support for the holder.
    pub is_fenced: bool,
}

impl Listing {
    /// Returns a hash that differs between listings, to compare them without sending them.
    #[must_use]
    pub fn etag(&self) -> u64 {
        use std::hash::Hash as _;
        use std::hash::Hasher as _;
        let mut hasher = std::hash::DefaultHasher::new();
        self.origin.hash(&mut hasher);
        self.serial.hash(&mut hasher);
        hasher.finish()
    }
}
