//! An emulated target.

use std::collections;

/// Requests for which a target that lost its cache is slow.
const COLD_REQUESTS: u32 = 300;
const COLD_FACTOR: u64 = 4;
/// Time between two updates of the reported load, in microseconds.
const REPORT_LAG: u64 = 250_000;

/// A target with slots, a short line of its own, and a lagging load report.
#[derive(Clone, Debug)]
pub struct Server {
    /// Zone of the target.
    pub zone: usize,
    /// Factor by which its requests take longer.
    pub factor: u64,
    /// Whether it always reports to be idle.
    pub is_misleading: bool,
    /// Whether it cannot be reached.
    pub is_dead: bool,
    /// Whether it says that it is leaving.
    pub is_leaving: bool,
    /// Time that its slots were taken, in microseconds.
    pub busy: u64,
    /// When the last request started, in microseconds.
    pub started: u64,
    slots: usize,
    running: usize,
    line: collections::VecDeque<usize>,
    cold: u32,
    reported: (u64, u32),
}

/// What a target does with a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It starts at once.
    Started,
    /// It waits at the target.
    Waits,
    /// It is refused for want of room.
    Shed,
}

impl Server {
    /// Creates a warm, idle target.
    pub fn new(zone: usize, slots: u32) -> Self {
        Self {
            zone,
            factor: 1,
            is_misleading: false,
            is_dead: false,
            is_leaving: false,
            busy: 0,
            started: 0,
            slots: slots as usize,
            running: 0,
            line: collections::VecDeque::new(),
            cold: 0,
            reported: (0, 0),
        }
    }

    /// Loses the cache.
    pub const fn chill(&mut self) {
        self.cold = COLD_REQUESTS;
    }

    /// Takes a request; as many may wait as there are slots.
    pub fn take(&mut self, request: usize) -> Taken {
        if self.running < self.slots {
            self.running += 1;
            return Taken::Started;
        }
        if self.line.len() < self.slots {
            self.line.push_back(request);
            return Taken::Waits;
        }
        Taken::Shed
    }

    /// Returns how long a request that starts now takes its slot, in microseconds.
    pub fn time(&mut self, work: u64, now: u64) -> u64 {
        let cold = if self.cold > 0 { COLD_FACTOR } else { 1 };
        self.cold = self.cold.saturating_sub(1);
        let time = work * cold * self.factor;
        self.busy += time;
        self.started = now;
        time
    }

    /// Ends a request; returns the one that takes its slot.
    pub fn finish(&mut self) -> Option<usize> {
        let next = self.line.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Returns the load that the target reports at `now`.
    pub fn report(&mut self, now: u64) -> u32 {
        if self.is_misleading {
            return 0;
        }
        if now >= self.reported.0 + REPORT_LAG {
            let load = self.running + self.line.len();
            self.reported = (now, u32::try_from(load).unwrap_or(u32::MAX));
        }
        self.reported.1
    }
}
