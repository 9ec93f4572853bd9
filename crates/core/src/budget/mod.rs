//! Budgets that all entry hosts spend together, divided without a shared store.
//!
//! A budget is one token bucket. Its tokens are moved, never copied: a fixed
//! [`Share`] belongs to the slots that entry hosts claim, the rest to one
//! [`Owner`] at a time, which lends tokens to the [`Holder`] of each host. The
//! tokens that could be spent anywhere never exceed the one bucket's burst, and
//! new tokens never appear faster than its rate.

mod amount;
mod bucket;
mod claim;
mod holder;
mod key;
mod message;
mod owner;
mod part;
mod share;
mod slot;
mod timing;

pub use amount::Amount;
pub use bucket::Bucket;
pub use claim::{Claim, Event, Step};
pub use holder::{Charge, Holder, Verdict};
pub use key::Key;
pub use message::{Answer, Ask, Grant, Need, Report};
pub use owner::{Owner, Reading};
pub use part::Part;
pub use share::Share;
pub use slot::{LEDGER_KEY, Ledger, Plan, SLOT_PREFIX, Slot};
pub use timing::Timing;
