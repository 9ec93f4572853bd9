//! Drain state of a target, from three sources: records, host list and the target.

use std::time;

use crate::instant;

/// State of a host in the platform's list of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListing {
    /// The host is listed as live.
    Live,
    /// The host is listed as leaving.
    Leaving,
    /// The host is not listed.
    Absent,
}

/// Drain state of a target.
///
/// The host list lags, so it doesn't clear what the target announced. An
/// announcement is cleared when health checks have contradicted it for
/// [`Self::CLEAR_DELAY`], when the list goes from leaving back to live, or when
/// a recorded drain ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drain {
    is_recorded: bool,
    is_listed: bool,
    announced_at: Option<instant::Instant>,
    denied_since: Option<instant::Instant>,
}

impl Drain {
    /// Time for which health checks must contradict an announcement to clear it.
    pub const CLEAR_DELAY: time::Duration = time::Duration::from_secs(5);

    /// Returns whether the target gets no new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_recorded || self.is_listed || self.announced_at.is_some()
    }

    /// Returns whether the target announced the drain, which health checks can clear.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        self.announced_at.is_some()
    }

    /// Sets the drain by record; the end of a recorded drain clears the announcement too.
    pub fn set_record(&mut self, is_drained: bool) {
        if self.is_recorded && !is_drained {
            self.announced_at = None;
        }
        self.is_recorded = is_drained;
    }

    /// Sets the state of the target's host in the platform's list.
    ///
    /// An absent host counts as not leaving, but doesn't clear an announcement.
    pub fn set_list(&mut self, listed: HostListing) {
        let was_listed = self.is_listed;
        self.is_listed = listed == HostListing::Leaving;
        if was_listed && listed == HostListing::Live {
            self.announced_at = None;
        }
    }

    /// Records that the target announced its drain in a response.
    pub fn announce(&mut self, now: instant::Instant) {
        self.announced_at = Some(now);
        self.denied_since = None;
    }

    /// Records a health check; `is_leaving` states whether it announced the drain.
    pub fn update_health(&mut self, is_leaving: bool, now: instant::Instant) {
        if is_leaving {
            self.announce(now);
            return;
        }
        let since = *self.denied_since.get_or_insert(now);
        if now.since(since) >= Self::CLEAR_DELAY {
            self.announced_at = None;
            self.denied_since = None;
        }
    }
}
