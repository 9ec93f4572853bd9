//! Which hosts vouch for the newest version, and what they can prove together.

mod exchange;
mod keep;
mod life;

mod node;
mod past;
mod roster;
mod watch;

pub use exchange::{Answer, Ask, Evidence};
pub use keep::keep;
pub use life::Member;
pub use node::Node;
pub use past::Past;
pub use roster::{ROSTER_KEY, Report, Roster, tolerance};
pub use watch::Watch;
