//! Target selection, admission control under overload, and retry budgets.

mod admission;
mod allowance;
mod candidate;
mod choice;
mod completion;
mod decaying_rate;
mod drain;
mod draw;
mod ewma;
mod hysteresis;
mod locality;
mod outlier_ejection;
mod pool;
mod queue;
mod ramp;
mod retry_budget;
mod shift_state;
mod target_query;
mod target_status;
mod tier;

pub use admission::{Admission, AdmissionResult};
pub use allowance::Allowance;
pub use candidate::{Candidate, MAX_REPORT_AGE_MICROS};
pub use choice::{Choice, Inputs, MAX_TIERS};
pub use completion::{Completion, LoadReport};
pub use decaying_rate::DecayingRate;
pub use drain::{Drain, HostListing};
pub use draw::{Positions, Seed};
pub use ewma::Ewma;
pub use hysteresis::{Hysteresis, Measurement, Thresholds};
pub use locality::Locality;
pub use outlier_ejection::OutlierEjection;
pub use pool::{Pool, Usage};
pub use queue::{Dequeued, Enqueued, Queue, QueueEntry, Throughput};
pub use ramp::Ramp;
pub use retry_budget::RetryBudget;
pub use shift_state::ShiftState;
pub use target_query::{RegionShift, TargetQuery};
pub use target_status::TargetStatus;
pub use tier::{MAX_DRAWN, Nearness, SpeedFilter, Tier};

/// Basis points in 100%.
pub const WHOLE_BASIS_POINTS: u32 = 10_000;
