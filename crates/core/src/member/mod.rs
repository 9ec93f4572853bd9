//! Which hosts vouch for the newest version, and what they can prove together.

mod exchange;
mod identity;
mod reconfigure;

mod detector;
mod node;
mod predecessor;
mod roster;

pub use detector::Detector;
pub use exchange::{Evidence, Query, Reply};
pub use identity::Member;
pub use node::Node;
pub use predecessor::Predecessor;
pub use reconfigure::reconfigure;
pub use roster::{ROSTER_KEY, Report, Roster, tolerance};
