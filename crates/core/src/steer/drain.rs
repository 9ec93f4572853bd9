//! Whether a target is leaving, from three sources of word.

use std::time;

use crate::instant;

/// State of a host in the platform's list of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListing {
    /// The list shows the host as live.
    Live,
    /// The list shows the host as leaving.
    Leaving,
    /// The list does not show the host.
    Absent,
}

/// What is known of a target's leaving.
///
/// The target's own word outlasts a list that lags: it is withdrawn only when
/// health answers without the word have come for a while, when the list showed
/// the host leaving and shows it live again, or when a recorded drain ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drain {
    by_record: bool,
    by_list: bool,
    word: Option<instant::Instant>,
    denial: Option<instant::Instant>,
}

impl Drain {
    /// Time for which health answers must deny a target's word before it counts no more.
    pub const CLEAR_DELAY: time::Duration = time::Duration::from_secs(5);

    /// Returns whether the target gets no new work.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.by_record || self.by_list || self.word.is_some()
    }

    /// Returns whether the target said so itself, so that its health is worth asking.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        self.word.is_some()
    }

    /// Takes the records' statement; the end of a recorded drain ends the target's word too.
    pub fn set_record(&mut self, is_drained: bool) {
        if self.by_record && !is_drained {
            self.word = None;
        }
        self.by_record = is_drained;
    }

    /// Takes the state of the target's host in the platform's list.
    ///
    /// A host that the list never showed is taken as live.
    pub fn set_list(&mut self, listed: HostListing) {
        let was_leaving = self.by_list;
        self.by_list = listed == HostListing::Leaving;
        if was_leaving && listed == HostListing::Live {
            self.word = None;
        }
    }

    /// Takes the target's word on an answer that it is leaving.
    pub fn announce(&mut self, now: instant::Instant) {
        self.word = Some(now);
        self.denial = None;
    }

    /// Takes a health answer; `is_leaving` is whether it held the word.
    pub fn update_health(&mut self, is_leaving: bool, now: instant::Instant) {
        if is_leaving {
            self.announce(now);
            return;
        }
        let since = *self.denial.get_or_insert(now);
        if now.since(since) >= Self::CLEAR_DELAY {
            self.word = None;
            self.denial = None;
        }
    }
}
