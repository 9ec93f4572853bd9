//! What control processes ask each other to learn how fresh they are.

use std::time;

use crate::name;
use crate::unit;

use super::Roster;

/// A question of one control process to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Query {
    /// The life that asks.
    pub from: name::Incarnation,
    /// Generation of the roster that it knows.
    pub generation: u64,
    /// Version that it has in force.
    pub version: unit::Version,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// The life that answers.
    pub from: name::Incarnation,
    /// Generation of the roster that it knows.
    pub generation: u64,
    /// Version that it has in force.
    pub version: unit::Version,
    /// Whether it vouches, as a member of the asker's roster, for its version.
    pub is_confirming: bool,
    /// Version and age of its own evidence, if it has any.
    pub evidence: Option<Evidence>,
    /// Its roster, where the asker's is older.
    pub roster: Option<Roster>,
}

/// Evidence as it is passed to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// The version that was newest.
    pub version: unit::Version,
    /// Time since it was.
    pub age: time::Duration,
}
