//! Messages between limiters and the owner of the budgets.

use super::amount;
use crate::name;

/// A limiter's report on its budgets and request for tokens.
///
/// After sending it, the limiter ignores replies to earlier requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Entry process that sends the request.
    pub limiter: name::Incarnation,
    /// Epoch of the owner to which the counts refer, 0 for none.
    pub epoch: u64,
    /// Sequence number, which rises with each request of the process.
    pub seq: u64,
    /// Reports on the budgets whose state the owner has to know.
    pub reports: Vec<Report>,
}

/// A limiter's report on one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Id of the budget.
    pub budget: u64,
    /// Lent tokens that the limiter may still spend.
    pub unspent: amount::Amount,
    /// Lent tokens spent so far in this epoch.
    pub spent: amount::Amount,
    /// Tokens of the limiter's slots passed on to the owner so far in this epoch.
    pub passed_on: amount::Amount,
    /// Tokens for which requests wait now, beyond those that the limiter has.
    pub missing: amount::Amount,
    /// Tokens wanted for expected requests, beyond the missing ones.
    pub want: amount::Amount,
    /// Estimated demand, in tokens a second.
    pub demand: amount::Amount,
}

/// The owner's reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Sequence number of the request.
    pub seq: u64,
    /// One grant for each report, none if the request had another epoch.
    pub grants: Vec<Grant>,
    /// Budgets that are low on tokens: unused tokens should be returned.
    pub low: Vec<LowBudget>,
}

/// A grant of tokens of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// Id of the budget.
    pub budget: u64,
    /// Tokens that are lent to the limiter.
    pub tokens: amount::Amount,
    /// Tokens of the limiter's slots that the owner has received so far in this epoch.
    pub received: amount::Amount,
    /// Time until the limiter's lent tokens expire, in microseconds, 0 for no extension.
    pub ttl_micros: u64,
    /// Time for which another request cannot help, in microseconds, 0 if no tokens are missing.
    pub retry_micros: u64,
    /// Whether total demand exceeds the rate, so that waiting cannot help either.
    pub is_oversubscribed: bool,
}

/// A budget of which the owner has few tokens left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LowBudget {
    /// Id of the budget.
    pub budget: u64,
    /// Whether the owner lends the remaining tokens only to waiting requests.
    pub is_scarce: bool,
}
