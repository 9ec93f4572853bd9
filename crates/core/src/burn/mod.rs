//! Burn rates of error budgets, computed from decision records.
//!
//! A burn rate is the fraction of bad requests in a window, divided by the
//! fraction that the objective allows. At a burn rate of 1, the error budget is
//! spent exactly as fast as it accrues.

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
