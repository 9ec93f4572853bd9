//! What holders and owners say to each other.

use super::amount;
use crate::name;

/// A holder's report on its budgets and request for tokens.
///
/// By sending it, the holder promises to bank no answer to an earlier ask.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Life of the entry process that asks.
    pub holder: name::Incarnation,
    /// Epoch of the owner that the counts refer to, 0 for none.
    pub epoch: u64,
    /// Number of the ask, rising in each life.
    pub seq: u64,
    /// One report for each budget of which there is something to tell.
    pub reports: Vec<Report>,
}

/// A holder's report on one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Number that stands for the budget.
    pub budget: u64,
    /// Lent tokens that the holder may still spend.
    pub unspent: amount::Amount,
    /// Lent tokens spent in this epoch.
    pub spent: amount::Amount,
    /// Tokens of the holder's slots passed on in this epoch.
    pub passed_on: amount::Amount,
    /// Tokens that requests wait for now, on top of those the holder has.
    pub missing: amount::Amount,
    /// Tokens that the holder would like for the time ahead, on top of these.
    pub want: amount::Amount,
    /// Estimated tokens a second that requests need.
    pub demand: amount::Amount,
}

/// An owner's answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the ask.
    pub seq: u64,
    /// One grant for each report, none if the ask had another epoch.
    pub grants: Vec<Grant>,
    /// Budgets that are short of tokens: what is unused should come back.
    pub low: Vec<LowBudget>,
}

/// What an owner grants of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// Number that stands for the budget.
    pub budget: u64,
    /// Tokens that move to the holder.
    pub tokens: amount::Amount,
    /// Tokens of the holder's slots that the owner has taken in.
    pub received: amount::Amount,
    /// Microseconds that the holder's lent tokens live on, 0 for no longer than before.
    pub ttl_micros: u64,
    /// Microseconds for which asking again is in vain, 0 where nothing is missed.
    pub retry_micros: u64,
    /// Whether the budget is used beyond its rate, so that waiting is in vain, too.
    pub is_oversubscribed: bool,
}

/// A budget of which the owner is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LowBudget {
    /// Number that stands for the budget.
    pub budget: u64,
    /// Whether the owner has next to nothing left.
    pub is_scarce: bool,
}
