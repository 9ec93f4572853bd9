//! Distributed rate limiting of client accounts: this host's slots of the reserve and lent tokens.

mod rate_limiter;
mod slots;
mod tokens;

pub use rate_limiter::RateLimiter;
pub use slots::{release as release_slots, run as claim_slots};
pub use tokens::run as request_tokens;
