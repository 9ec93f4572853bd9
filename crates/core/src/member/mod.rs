//! Quorum membership: which hosts confirm the newest version, and what that proves.
//!
//! Each availability zone has one member. A read quorum of members that confirm a
//! version proves that no newer version was accepted, also while the table is down.

mod detector;
mod exchange;
mod identity;
mod node;
mod predecessor;
mod reconfigure;
mod roster;

pub use detector::Detector;
pub use exchange::{Evidence, Query, Reply};
pub use identity::Member;
pub use node::Node;
pub use predecessor::Predecessor;
pub use reconfigure::reconfigure;
pub use roster::{ROSTER_KEY, Report, Roster, tolerance};
