//! What a control process answers to an entry process that asks for tokens.

use skylark_core::budget;
use skylark_core::record;

/// The answer to an ask for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The owner's answer.
    Answered(budget::Reply),
    /// Another control process owns the budgets or knows who does.
    Redirect(record::Address),
    /// Nobody is known to own the budgets, or the ask was answered before.
    Unanswered,
}
