//! Where a request goes, and how it ended there.

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
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the target.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// A target that was chosen for one attempt of a request.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Service of the target.
    pub service: name::Service,
    /// The target.
    pub target: name::Target,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Place of the target in the object's order, 0 for its own.
    pub preference: usize,
    /// What is known of its warmth for the object.
    pub warmth: processing_time::Warmth,
    /// Requests that were reckoned to be at the target before this one.
    pub load: f64,
    /// Time to the answer that was reckoned with.
    pub expected_latency: time::Duration,
    /// When it was chosen.
    pub chosen_at: instant::Instant,
}

/// Why a request gets no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: kind::ErrorKind,
    /// When the caller may come back.
    pub pause: time::Duration,
}

/// What becomes of a request now.
#[derive(Clone, Debug)]
pub enum Placement {
    /// It is sent to a target.
    Send(Pick),
    /// It waits for room until an instant.
    Wait(instant::Instant),
    /// It is refused and has not run.
    Refuse(Refusal),
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered that it did its work.
    Answered(Option<Load>),
    /// The target answered that it failed.
    Failed(Option<Load>),
    /// The target said that it did not run the request.
    NotRun(Option<Load>),
    /// Another target has the address.
    Misdirected,
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// The connection broke, or what came was no answer to this request.
    Disconnected,
    /// The time was up before an answer came.
    TimedOut,
    /// The caller left.
    Cancelled,
}

/// A request that leaves the line.
#[derive(Debug)]
pub struct Dequeued<T> {
    /// The request.
    pub request: request::Request,
    /// What the caller of [`super::Dispatcher::wait`] handed over.
    pub item: T,
    /// What becomes of it; never [`Placement::Wait`].
    pub placement: Placement,
}
