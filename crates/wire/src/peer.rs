//! What control processes of different entry hosts tell each other.

use std::collections;

use skylark_core::budget;
use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;

use super::control;
use super::grant;

/// The service that a control process offers to its peers.
#[tarpc::service]
pub trait Peer {
    /// Answers what a peer needs to know how fresh it is, and takes its sign of life.
    async fn ask(question: Request) -> Reply;

    /// Returns the records after a version, or all of them.
    async fn fetch(after: unit::Version) -> Records;

    /// Stops helping the holder of a lease at a version of its row; false from the holder itself.
    async fn bar(lease: String, version: u64) -> Fenced;

    /// Lends an entry process tokens, or tells who may.
    async fn lend(ask: budget::Request) -> grant::Reply;
}

/// A question with the sign of life of the asking host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// What the asker knows.
    pub membership: member::Query,
    /// The asking host, once its entry process is known.
    pub host: Option<control::Host>,
    /// Version that the asking host's entry process has in force.
    pub installed: unit::Version,
    /// Leases that the asker holds.
    pub leases: Vec<HeldLease>,
    /// Stamp of the asker's list of hosts of each zone.
    pub etags: collections::BTreeMap<name::Zone, u64>,
}

/// A lease that the asker holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HeldLease {
    /// Name of the lease.
    pub lease: String,
    /// Version of its row.
    pub version: u64,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// What the answering process knows.
    pub membership: member::Reply,
    /// Leases of the asker that the answering member helps.
    pub supported: Vec<HeldLease>,
    /// Lists of hosts that differ from the asker's.
    pub listings: Vec<Listing>,
}

/// The entry hosts of one availability zone, as its member lists them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// The availability zone.
    pub zone: name::Zone,
    /// The member that wrote the list.
    pub origin: name::Incarnation,
    /// Number that rises with each list of this member.
    pub serial: u64,
    /// The entry hosts.
    pub hosts: Vec<control::Host>,
}

/// Records as they are passed to a peer.
///
/// Records leave absent fields out, which the compact transport cannot carry,
/// so they travel as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Records {
    /// The changes after the version asked for, in order, as JSON.
    Changes(Vec<u8>),
    /// All records of a version, as JSON.
    Snapshot(unit::Version, Vec<u8>),
}

/// The answer to a request for a bar.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fenced {
    /// The member that answers.
    pub member: name::Incarnation,
    /// Whether it no longer helps the holder.
    pub is_fenced: bool,
}

impl Listing {
    /// Returns a number that differs between lists, for comparing without sending them.
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
