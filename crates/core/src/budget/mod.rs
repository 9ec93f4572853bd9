//! Distributed rate limiting: budgets that all entry hosts share without a shared store.
//!
//! A budget is one token bucket, whose tokens are moved and never copied. A fixed
//! [`Share`] of it belongs to the slots that entry hosts claim. The rest belongs to
//! one [`Owner`] at a time, which lends tokens to the [`Limiter`] of each host. So the
//! tokens that hosts could spend at any time never exceed the burst of the one bucket,
//! and new tokens never appear faster than its rate.

mod amount;
mod bucket;
mod claim;
mod key;
mod limit;
mod limiter;
mod message;
mod owner;
mod share;
mod slot;
mod timing;

pub use amount::Amount;
pub use bucket::Bucket;
pub use claim::{Claim, Event, Step};
pub use key::Key;
pub use limit::Limit;
pub use limiter::{Charge, Limiter, Verdict};
pub use message::{Grant, LowBudget, Reply, Report, Request};
pub use owner::{Owner, Reading};
pub use share::Share;
pub use slot::{Reserve, SLOT_KEY_PREFIX, Slot, TOTALS_KEY, Totals};
pub use timing::Timing;
