//! One token bucket that sees every request of a client account in order.

use crate::decision;
use crate::kind;
use crate::record;
use crate::timestamp;

const PARTS_PER_TOKEN: u64 = 1_000;

/// A bucket in thousandths of a token, as wall-clock times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: u64,
    size: u64,
    parts: u64,
    at: timestamp::Timestamp,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(account: &record::Account, at: timestamp::Timestamp) -> Self {
        let size = account.burst.saturating_mul(PARTS_PER_TOKEN);
        Self {
            rate: account.rate.get(),
            size,
            parts: size,
            at,
        }
    }

    /// Returns whether there is a token for a request, and charges it as one bucket would have.
    pub fn pass(&mut self, decision: &decision::Decision) -> bool {
        let millis = decision.at.as_millis().saturating_sub(self.at.as_millis());
        let gained = self.rate.saturating_mul(millis);
        self.parts = self.parts.saturating_add(gained).min(self.size);
        self.at = self.at.max(decision.at);
        let has_token = self.parts >= PARTS_PER_TOKEN;
        if has_token && is_charged(&decision.verdict) {
            self.parts -= PARTS_PER_TOKEN;
        }
        has_token
    }
}

/// What was refused as over the rate is charged, as one bucket would have admitted it;
/// what was refused for another reason and ran nothing is not.
const fn is_charged(verdict: &decision::Verdict) -> bool {
    match verdict {
        decision::Verdict::Served { .. } => true,
        decision::Verdict::Refused { kind, outcome } => {
            matches!(kind, kind::ErrorKind::OverRate) || matches!(outcome, kind::Outcome::Unknown)
        }
    }
}
