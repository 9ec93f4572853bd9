//! Replies of control processes to entry processes that request tokens of account budgets.

use skylark_core::budget;
use skylark_core::record;

/// The reply to a request for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The reply of the budgets' owner.
    Answered(budget::Reply),
    /// Address of a control process that owns the budgets or may know their owner.
    Redirect(record::Address),
    /// No owner is known, or the owner has already replied to this or a later request.
    Unanswered,
}
