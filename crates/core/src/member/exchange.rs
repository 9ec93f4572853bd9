//! Messages by which control processes prove to each other how fresh their records are.

use std::time;

use crate::name;
use crate::unit;

use super::Roster;

/// A query of one control process to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Query {
    /// Process that asks.
    pub from: name::Incarnation,
    /// Generation of the newest roster that it knows.
    pub generation: u64,
    /// Version of the records that it has in force.
    pub version: unit::Version,
}

/// The reply to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Process that replies.
    pub from: name::Incarnation,
    /// Generation of the newest roster that it knows.
    pub generation: u64,
    /// Version of the records that it has in force.
    pub version: unit::Version,
    /// Whether it confirms its version as a member of the asker's roster.
    pub is_confirming: bool,
    /// Evidence that it holds itself, if any.
    pub evidence: Option<Evidence>,
    /// Its roster, if the asker's is older.
    pub roster: Option<Roster>,
}

/// Evidence that a version was the newest, as passed to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// Version that was the newest.
    pub version: unit::Version,
    /// Time since the version was known to be the newest.
    pub age: time::Duration,
}
