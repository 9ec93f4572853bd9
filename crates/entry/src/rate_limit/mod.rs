//! This host's part of the budgets that all entry hosts share.

mod rate_limiter;
mod slots;
mod tokens;

pub use rate_limiter::RateLimiter;
pub use slots::{leave as release_slots, run as claim_slots};
pub use tokens::run as request_tokens;
