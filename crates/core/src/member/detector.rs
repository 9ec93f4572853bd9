//! Time-out failure detector for one peer.

use std::time;

use crate::instant;

/// A failure detector that suspects a peer after a time without replies and heartbeats.
///
/// Times are on the observer's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Detector {
    last_seen: instant::Instant,
    version: u64,
}

impl Detector {
    /// Creates a detector that counts the peer as alive at `now`.
    #[must_use]
    pub const fn new(now: instant::Instant) -> Self {
        Self {
            last_seen: now,
            version: 0,
        }
    }

    /// Records a direct reply of the peer.
    pub fn on_reply(&mut self, now: instant::Instant) {
        self.last_seen = self.last_seen.max(now);
    }

    /// Records the version of the peer's heartbeat row; only a new version counts as alive.
    pub fn on_heartbeat(&mut self, version: u64, now: instant::Instant) {
        if version != self.version {
            self.version = version;
            self.on_reply(now);
        }
    }

    /// Returns whether the peer neither replied nor wrote a heartbeat for a span.
    #[must_use]
    pub fn is_silent(&self, span: time::Duration, now: instant::Instant) -> bool {
        now.since(self.last_seen) >= span
    }
}
