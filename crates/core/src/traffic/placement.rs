//! The decision on a request, and the result of an attempt at a target.

use std::net;
use std::time;

use crate::instant;
use crate::kind;
use crate::name;

use super::processing_time;
use super::request;

/// A target's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that are queued at the target.
    pub waiting: u32,
    /// Number of requests that the target runs at once.
    pub slots: u32,
}

/// A target that was selected for one attempt of a request.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Service of the target.
    pub service: name::Service,
    /// Name of the target.
    pub target: name::Target,
    /// Address that the target listens on.
    pub address: net::SocketAddr,
    /// Availability zone of the target.
    pub zone: name::Zone,
    /// Position of the target in the request's preference order, 0 for the preferred target.
    pub preference: usize,
    /// Warmth of the target for the affinity key.
    pub warmth: processing_time::Warmth,
    /// Estimated number of requests at the target before this one.
    pub load: f64,
    /// Expected time to the answer.
    pub expected_latency: time::Duration,
    /// When the target was selected.
    pub chosen_at: instant::Instant,
    /// Whether a token of the target's cold rate was taken.
    pub is_cold: bool,
}

/// The refusal of a request that gets no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: kind::ErrorKind,
    /// Delay after which the caller may retry.
    pub pause: time::Duration,
}

/// The decision on a request.
#[derive(Clone, Debug)]
pub enum Placement {
    /// The request is sent to a target.
    Send(Pick),
    /// The request waits in the queue, at most until this instant.
    Wait(instant::Instant),
    /// The request is refused and did not run.
    Refuse(Refusal),
}

/// The result of an attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered with success.
    Answered(Option<Load>),
    /// The target answered with a server error.
    Failed(Option<Load>),
    /// The target answered that it did not run the request.
    NotRun(Option<Load>),
    /// Another target listens on the address now.
    Misdirected,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The target was not tried, as the caller left or the host held the request back.
    Unsent,
    /// The connection was lost, or the answer didn't belong to this request.
    Disconnected,
    /// The deadline passed before an answer arrived.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
}

impl AttemptResult {
    /// Returns whether the target may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::Answered(_)
            | Self::Failed(_)
            | Self::Disconnected
            | Self::TimedOut
            | Self::Cancelled => true,
            Self::NotRun(_) | Self::Misdirected | Self::ConnectFailed | Self::Unsent => false,
        }
    }
}

/// A request that leaves the queue.
#[derive(Debug)]
pub struct Dequeued<T> {
    /// The request.
    pub request: request::Request,
    /// Value passed to [`super::Dispatcher::enqueue`].
    pub item: T,
    /// The decision on the request; never [`Placement::Wait`].
    pub placement: Placement,
}
