//! Detection of times in which the process or its machine did not run.

use std::time;

use crate::instant;

/// Gap between two observations after which the process counts as suspended. Observations come
/// several times a second, and changes must be in force within 2.5 s.
const MAX_GAP: time::Duration = time::Duration::from_secs(2);
/// Time after which requests are served again without evidence, as when no host can be reached.
const MAX_CATCH_UP: time::Duration = time::Duration::from_secs(1);

/// Detects that the process was suspended, and refuses to act on what it knew before.
///
/// Keys may have been withdrawn and targets may have left meanwhile. So nothing is served until
/// another host or the store has answered a question that was asked after the wake-up.
#[derive(Debug, Default)]
pub struct Suspension {
    observed: Option<(instant::Instant, time::Duration)>,
    /// When the last suspension was noticed.
    woken_at: Option<instant::Instant>,
    /// Whether a question that was asked since then has been answered.
    has_evidence: bool,
}

impl Suspension {
    /// Observes the clocks; returns the length of a suspension that has just ended.
    ///
    /// `boot_time` is the time since the machine's start, which counts on while it is suspended.
    pub fn observe(
        &mut self,
        now: instant::Instant,
        boot_time: time::Duration,
    ) -> Option<time::Duration> {
        let (last, last_boot) = self.observed.replace((now, boot_time))?;
        let gap = now.since(last).max(boot_time.saturating_sub(last_boot));
        if gap <= MAX_GAP {
            return None;
        }
        self.woken_at = Some(now);
        self.has_evidence = false;
        Some(gap)
    }

    /// Records an answer to a question that was asked at an instant.
    pub fn record_evidence(&mut self, asked_at: instant::Instant) {
        if self.woken_at.is_some_and(|woken_at| asked_at >= woken_at) {
            self.has_evidence = true;
        }
    }

    /// Returns whether a suspension was noticed after an instant.
    ///
    /// What lapsed meanwhile, such as the time limit of a request, tells nothing about others.
    #[must_use]
    pub fn has_ended_since(&self, at: instant::Instant) -> bool {
        self.woken_at.is_some_and(|woken_at| woken_at > at)
    }

    /// Returns whether nothing has shown yet that what the process knows is from after its last
    /// suspension, also once it serves requests again without evidence.
    #[must_use]
    pub const fn lacks_evidence(&self) -> bool {
        self.woken_at.is_some() && !self.has_evidence
    }

    /// Returns whether what the process knows may be from before a suspension.
    #[must_use]
    pub fn is_catching_up(&self, now: instant::Instant) -> bool {
        self.lacks_evidence()
            && self
                .woken_at
                .is_some_and(|woken_at| now.since(woken_at) < MAX_CATCH_UP)
    }
}
