//! At most once: which request may start, and which refusal may say "not run".
//!
//! A key names its home, one life of an entry process. Only the home's
//! [`Ledger`] lets a request start, so no host ever takes a key over.

mod answer;
mod attempt;
mod begin;
mod claim;
mod entry;
mod home;
mod key;
mod ledger;
mod limits;
mod page;
mod permit;
mod print;
mod reach;

pub use answer::{Answer, Field};
pub use attempt::Attempt;
pub use begin::Begin;
pub use claim::{Claim, Holding};
pub use entry::{Entry, Fate};
pub use home::Home;
pub use key::{Id, Key};
pub use ledger::Ledger;
pub use limits::Limits;
pub use page::{End, Page, recall};
pub use permit::Permit;
pub use print::Print;
pub use reach::Reach;

/// Length of the spans of issue times that a ledger forgets as one, in seconds.
pub const GENERATION_SECONDS: u64 = 60;

/// Result of reading a key.
pub type Result<T> = std::result::Result<T, crate::error::Error>;
