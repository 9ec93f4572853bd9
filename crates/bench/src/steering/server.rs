//! Emulated server behind a target: slots, a bounded queue and a lagging load report.

use std::collections;

/// Number of requests that are slow after the cache was lost.
const COLD_REQUESTS: u32 = 300;
/// Factor on the service time while the cache is cold.
const COLD_SLOWDOWN: u64 = 4;
/// Minimum time between two updates of the reported load.
const REPORT_LAG_MICROS: u64 = 250_000;

/// The state of one target.
#[derive(Clone, Debug)]
pub struct Server {
    /// Index of the availability zone.
    pub zone: usize,
    /// Factor on the service time of every request.
    pub slowdown: u64,
    /// Whether it always reports a load of zero.
    pub is_misleading: bool,
    /// Whether requests to it fail.
    pub is_unreachable: bool,
    /// Whether its answers announce that it is leaving.
    pub is_leaving: bool,
    /// Sum of the service times of its slots, in microseconds.
    pub busy_micros: u64,
    /// Start of the latest request, in microseconds.
    pub last_start: u64,
    slots: usize,
    running: usize,
    queue: collections::VecDeque<usize>,
    cold_requests: u32,
    /// Time of the last update in microseconds, and the load reported since.
    reported: (u64, u32),
}

/// What happened to a request that reached a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The request started in a free slot.
    Started,
    /// The request waits in the queue of the target.
    Queued,
    /// Slots and queue are full, so the target refused the request.
    Shed,
}

impl Server {
    /// Creates an idle target with a warm cache.
    pub fn new(zone: usize, slots: u32) -> Self {
        Self {
            zone,
            slowdown: 1,
            is_misleading: false,
            is_unreachable: false,
            is_leaving: false,
            busy_micros: 0,
            last_start: 0,
            slots: slots as usize,
            running: 0,
            queue: collections::VecDeque::new(),
            cold_requests: 0,
            reported: (0, 0),
        }
    }

    /// Clears the cache, which slows the next [`COLD_REQUESTS`] requests.
    pub const fn clear_cache(&mut self) {
        self.cold_requests = COLD_REQUESTS;
    }

    /// Starts, queues or sheds a request; the queue holds as many requests as there are slots.
    pub fn accept(&mut self, request: usize) -> Acceptance {
        if self.running < self.slots {
            self.running += 1;
            return Acceptance::Started;
        }
        if self.queue.len() < self.slots {
            self.queue.push_back(request);
            return Acceptance::Queued;
        }
        Acceptance::Shed
    }

    /// Starts a request and returns how long it occupies its slot, in microseconds.
    pub fn start(&mut self, service_time: u64, now: u64) -> u64 {
        let cold = if self.cold_requests > 0 {
            COLD_SLOWDOWN
        } else {
            1
        };
        self.cold_requests = self.cold_requests.saturating_sub(1);
        let time = service_time * cold * self.slowdown;
        self.busy_micros += time;
        self.last_start = now;
        time
    }

    /// Finishes a request; returns the queued request that gets its slot, if any.
    pub fn finish(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Returns the load in requests that the target reports at `now` microseconds.
    pub fn reported_load(&mut self, now: u64) -> u32 {
        if self.is_misleading {
            return 0;
        }
        if now >= self.reported.0 + REPORT_LAG_MICROS {
            let load = self.running + self.queue.len();
            self.reported = (now, u32::try_from(load).unwrap_or(u32::MAX));
        }
        self.reported.1
    }
}
