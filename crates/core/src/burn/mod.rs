//! How fast error budgets burn, reckoned from decision records.
//!
//! A burn rate is the part of bad requests in a window, divided by the part
//! that the objective allows: at 1 the budget is used up exactly as it accrues.

mod bucket;
mod count;
mod latency;
mod report;
mod request_class;
mod row;
mod series;

pub use count::Count;
pub use latency::Latency;
pub use report::{Report, Windows};
pub use request_class::RequestClass;
pub use row::Row;
pub use series::{Point, Series};
