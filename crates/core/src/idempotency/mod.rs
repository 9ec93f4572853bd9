//! Idempotency keys: at-most-once execution of requests that are not idempotent.
//!
//! A key names its home, one incarnation of an entry process. Only the home's
//! [`Ledger`] lets a request with the key start, and no other host ever takes the key
//! over. This also decides which refusals may tell the caller "not run".

mod attempt;
mod claim;
mod disposition;
mod entry;
mod fingerprint;
mod home;
mod key;
mod ledger;
mod limits;
mod page;
mod permit;
mod progress;
mod response;

pub use attempt::Attempt;
pub use claim::{Claim, Ownership};
pub use disposition::Disposition;
pub use entry::{Entry, FinalState};
pub use fingerprint::Fingerprint;
pub use home::Home;
pub use key::{Id, Key};
pub use ledger::Ledger;
pub use limits::Limits;
pub use page::{EndMarker, Page, resolve};
pub use permit::Permit;
pub use progress::Progress;
pub use response::{Field, Response};

/// Length of a ledger segment, in seconds of issue time; a segment expires as a whole.
pub const SEGMENT_SECONDS: u64 = 60;

/// Result of reading a key.
pub type Result<T> = std::result::Result<T, crate::error::Error>;
