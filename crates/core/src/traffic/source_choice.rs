//! Choice of the host that is asked for table changes.

use std::collections;
use std::net;
use std::time;

use crate::instant;

/// Time for which a host that did not answer is asked only if there is no other.
const AVOID_TIME: time::Duration = time::Duration::from_secs(5);

/// Chooses among the hosts that have newer tables, in turn, those that recently did not answer last.
#[derive(Debug)]
pub struct SourceChoice {
    turn: u32,
    failures: collections::HashMap<net::SocketAddr, instant::Instant>,
}

impl SourceChoice {
    /// Creates a choice; hosts with different seeds begin at different sources.
    #[must_use]
    pub fn new(seed: u32) -> Self {
        Self {
            turn: seed,
            failures: collections::HashMap::new(),
        }
    }

    /// Returns the source to ask next.
    pub fn choose(
        &mut self,
        sources: &[net::SocketAddr],
        now: instant::Instant,
    ) -> Option<net::SocketAddr> {
        self.failures
            .retain(|_source, failed_at| now.since(*failed_at) < AVOID_TIME);
        let untried: Vec<net::SocketAddr> = self.untried(sources).collect();
        self.turn = self.turn.wrapping_add(1);
        let count = u32::try_from(untried.len()).unwrap_or(u32::MAX);
        let position = self.turn.checked_rem(count);
        let next = position.and_then(|n| untried.get(usize::try_from(n).ok()?).copied());
        next.or_else(|| {
            let oldest = sources
                .iter()
                .min_by_key(|source| self.failures.get(source));
            oldest.copied()
        })
    }

    /// Records that a source did not answer.
    pub fn record_failure(&mut self, source: net::SocketAddr, now: instant::Instant) {
        self.failures.insert(source, now);
    }

    /// Returns whether a source is left that did not fail recently.
    #[must_use]
    pub fn has_untried(&self, sources: &[net::SocketAddr]) -> bool {
        self.untried(sources).next().is_some()
    }

    fn untried(&self, sources: &[net::SocketAddr]) -> impl Iterator<Item = net::SocketAddr> {
        let is_untried = |source: &net::SocketAddr| !self.failures.contains_key(source);
        sources.iter().copied().filter(is_untried)
    }
}
