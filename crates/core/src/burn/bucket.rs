//! Reference token bucket that sees all requests of a client account in order.

use crate::decision;
use crate::kind;
use crate::record;
use crate::timestamp;

const MILLITOKENS_PER_TOKEN: u64 = 1_000;

/// Token bucket in thousandths of a token, as wall-clock times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: u64,
    capacity: u64,
    millitokens: u64,
    updated_at: timestamp::Timestamp,
}

impl Bucket {
    /// Creates a full bucket with the rate and the burst of an account.
    #[must_use]
    pub fn new(account: &record::Account, at: timestamp::Timestamp) -> Self {
        let capacity = account.burst.saturating_mul(MILLITOKENS_PER_TOKEN);
        Self {
            rate: account.rate.get(),
            capacity,
            millitokens: capacity,
            updated_at: at,
        }
    }

    /// Returns whether a token is available, and takes it if the request is chargeable.
    pub fn charge(&mut self, decision: &decision::Decision) -> bool {
        let elapsed_millis = decision
            .at
            .as_millis()
            .saturating_sub(self.updated_at.as_millis());
        let gained = self.rate.saturating_mul(elapsed_millis);
        self.millitokens = self.millitokens.saturating_add(gained).min(self.capacity);
        self.updated_at = self.updated_at.max(decision.at);
        let has_token = self.millitokens >= MILLITOKENS_PER_TOKEN;
        if has_token && is_charged(&decision.verdict) {
            self.millitokens -= MILLITOKENS_PER_TOKEN;
        }
        has_token
    }
}

/// Returns whether the reference bucket charges a request.
///
/// A request refused as over the rate is charged, because the reference bucket
/// would have admitted it. One that was refused for another reason and did not
/// run is not charged.
const fn is_charged(verdict: &decision::Verdict) -> bool {
    match verdict {
        decision::Verdict::Served { .. } => true,
        decision::Verdict::Refused { kind, outcome } => {
            matches!(kind, kind::ErrorKind::OverRate) || matches!(outcome, kind::Outcome::Unknown)
        }
    }
}
