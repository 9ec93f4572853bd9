//! How long a peer has shown no sign of life.

use std::time;

use crate::instant;

/// How long a peer has shown no sign of life, on the observer's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Detector {
    heard: instant::Instant,
    beat: u64,
}

impl Detector {
    /// Starts to watch a peer.
    #[must_use]
    pub const fn new(now: instant::Instant) -> Self {
        Self {
            heard: now,
            beat: 0,
        }
    }

    /// Takes note of an answer of the peer itself.
    pub fn on_answer(&mut self, now: instant::Instant) {
        self.heard = self.heard.max(now);
    }

    /// Takes note of the version of the peer's heartbeat row.
    pub fn on_heartbeat(&mut self, beat: u64, now: instant::Instant) {
        if beat != self.beat {
            self.beat = beat;
            self.on_answer(now);
        }
    }

    /// Returns whether the peer was silent for a span, to the observer and in the table.
    #[must_use]
    pub fn is_silent(&self, span: time::Duration, now: instant::Instant) -> bool {
        now.since(self.heard) >= span
    }
}
