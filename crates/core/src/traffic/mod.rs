//! Request steering on an entry host that serves a whole deployment from shared rules.
//!
//! The module is free of I/O and reads no clock. A [`Dispatcher`] holds the rules, the
//! state of the targets and the state of the other entry hosts. For each request it
//! selects a target, queues the request, or refuses it with a reason.

mod account;
mod candidate;
mod cold_start;
mod crashes;
mod directory;
mod dispatcher;
mod evacuations;
mod fleet;
mod fleet_view;
mod hash;
mod limits;
mod max_wait;
mod meter;
mod peer;
mod placement;
mod pool;
mod position;
mod processing_time;
mod quota;
mod quotas;
mod region_split;
mod registry;
mod replica;
mod report;
mod request;
mod retry_budget;
mod round;
mod round_robin;
mod route;
mod rules;
mod source_choice;
mod spillover;
mod suspension;
mod target;
mod target_status;
mod topology;
mod wait_queue;
mod zone_summary;

pub use account::Account;
pub use crashes::Crashes;
pub use directory::choose as choose_hosts;
pub use dispatcher::{Dispatcher, Identity, RetryLimits};
pub use evacuations::Evacuations;
pub use fleet::{Fleet, MemberChange, RemoteDemand};
pub use fleet_view::{FleetView, Scope};
pub use hash::{HashKey, digest, fingerprint};
pub use limits::{CallerLimits, ServiceLimits};
pub use meter::Meter;
pub use placement::{AttemptResult, Dequeued, Load, Pick, Placement, Refusal};
pub use pool::Pool;
pub use position::Position;
pub use processing_time::Warmth;
pub use quota::{PeerDemand, Quota};
pub use quotas::{QuotaDecision, Quotas};
pub use region_split::{RegionCapacity, RegionSplit};
pub use registry::Registry;
pub use replica::{Changes, Replica, Row};
pub use report::{Demand, Member, Phase, Report, StoreAccess, Versions};
pub use request::Request;
pub use retry_budget::RetryBudget;
pub use round::Round;
pub use round_robin::RoundRobin;
pub use route::{Idempotency, Route, WeightedService};
pub use rules::{RouteMatch, Rules};
pub use source_choice::SourceChoice;
pub use spillover::Spillover;
pub use suspension::Suspension;
pub use target::{Target, TargetState};
pub use target_status::TargetStatus;
pub use topology::Topology;
pub use wait_queue::WaitQueue;
pub use zone_summary::ZoneSummary;
