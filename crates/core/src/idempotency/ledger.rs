//! The ledger of a home: the only place that lets its keys start.

use std::collections;
use std::sync;
use std::time;

use crate::instant;
use crate::kind;
use crate::timestamp;

/// The keys of one home, each started at most once.
///
/// Keys are kept by segment of their time of issue. A segment is forgotten
/// whole, and from then on each of its keys is refused as unknown: a key is
/// never both forgotten and fit to start.
#[derive(Debug)]
pub struct Ledger {
    limits: super::Limits,
    origin: timestamp::Timestamp,
    floor: u64,
    spans: collections::BTreeMap<u64, collections::HashMap<super::Id, Slot>>,
    count: usize,
    kept: collections::VecDeque<Kept>,
    bytes: usize,
    phase: Phase,
}

#[derive(Debug)]
struct Slot {
    fingerprint: super::Fingerprint,
    state: State,
}

#[derive(Debug)]
enum State {
    Running,
    Answered(sync::Arc<super::Response>),
    Evicted,
    Refused(kind::ErrorKind),
    Lost,
}

#[derive(Debug)]
struct Kept {
    segment: u64,
    id: super::Id,
    bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Leaving,
}

impl Ledger {
    /// Creates an empty ledger; `origin` is the wall-clock time at the origin of `now`.
    #[must_use]
    pub fn new(limits: super::Limits, origin: timestamp::Timestamp) -> Self {
        Self {
            limits,
            origin,
            floor: 0,
            spans: collections::BTreeMap::new(),
            count: 0,
            kept: collections::VecDeque::new(),
            bytes: 0,
            phase: Phase::Open,
        }
    }

    /// Decides whether a request may start under a key whose home this ledger is.
    pub fn begin(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        fingerprint: super::Fingerprint,
    ) -> super::Disposition {
        self.forget(now);
        let Some(home) = key.home() else {
            return self.peek(now, key, fingerprint);
        };
        if home.segment() < self.floor || self.is_early(now, home.issued) {
            return super::Disposition::Expired;
        }
        self.open(home.segment(), key.id(), fingerprint)
    }

    /// Decides for a key without a home, of which this process holds the table's claim.
    pub fn begin_claimed(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        fingerprint: super::Fingerprint,
    ) -> super::Disposition {
        self.forget(now);
        let id = key.id();
        let known = self.find(id);
        let segment = known.unwrap_or(self.seconds(now) / super::SEGMENT_SECONDS);
        self.open(segment, id, fingerprint)
    }

    /// Tells what became of a key, without letting it start.
    pub fn peek(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        fingerprint: super::Fingerprint,
    ) -> super::Disposition {
        self.forget(now);
        let id = key.id();
        let slot = self.find(id).and_then(|segment| self.slot(segment, id));
        slot.map_or(super::Disposition::Expired, |slot| {
            slot.disposition(fingerprint)
        })
    }

    /// Closes a key that has not started; returns what its caller is to be told.
    pub fn refuse(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        fingerprint: super::Fingerprint,
        kind: kind::ErrorKind,
    ) -> super::Disposition {
        match self.begin(now, key, fingerprint) {
            super::Disposition::Start(permit) => {
                self.finish(permit, super::FinalState::Refused(kind));
                super::Disposition::Refused(kind)
            }
            other => other,
        }
    }

    /// Records what became of a started request; the entry is to be copied to the store.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "taking the permit keeps it from being used twice"
    )]
    pub fn finish(
        &mut self,
        permit: super::Permit,
        fate: super::FinalState,
    ) -> Option<super::Entry> {
        let (id, segment) = (permit.id, permit.segment);
        let slot = self.spans.get_mut(&segment)?.get_mut(&id)?;
        let entry = super::Entry {
            id,
            fingerprint: slot.fingerprint,
            final_state: fate.clone(),
        };
        slot.state = match fate {
            super::FinalState::Answered(answer) => {
                let bytes = answer.size();
                self.bytes += bytes;
                self.kept.push_back(Kept { segment, id, bytes });
                State::Answered(answer)
            }
            super::FinalState::Refused(kind) => State::Refused(kind),
            super::FinalState::Lost => State::Lost,
        };
        self.shed();
        Some(entry)
    }

    /// Lets no further key start, for good.
    pub fn leave(&mut self) {
        self.phase = Phase::Leaving;
    }

    /// Returns the mark that ends the copy, once the ledger is leaving and nothing runs.
    #[must_use]
    pub fn end_marker(&self) -> Option<super::EndMarker> {
        let is_idle = self.spans.values().flat_map(collections::HashMap::values);
        let is_idle = !is_idle
            .into_iter()
            .any(|s| matches!(s.state, State::Running));
        let floor = self.floor;
        (is_idle && self.phase == Phase::Leaving).then_some(super::EndMarker { floor })
    }

    /// Returns the number of keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns the memory that the remembered keys take, in bytes, without the answers.
    #[must_use]
    pub fn key_bytes(&self) -> usize {
        let entry = size_of::<(super::Id, Slot)>() + size_of::<u8>();
        let spans = self.spans.values().map(collections::HashMap::capacity);
        spans.map(|capacity| capacity * 8 / 7 * entry).sum()
    }

    /// Returns the bytes of the answers that are kept in memory.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn open(
        &mut self,
        segment: u64,
        id: super::Id,
        fingerprint: super::Fingerprint,
    ) -> super::Disposition {
        if let Some(slot) = self.slot(segment, id) {
            return slot.disposition(fingerprint);
        }
        if self.phase == Phase::Leaving {
            return super::Disposition::Refused(kind::ErrorKind::Leaving);
        }
        if self.count >= self.limits.max_keys {
            return super::Disposition::Full;
        }
        let state = State::Running;
        let span = self.spans.entry(segment).or_default();
        span.insert(id, Slot { fingerprint, state });
        self.count += 1;
        super::Disposition::Start(super::Permit { id, segment })
    }

    fn slot(&self, segment: u64, id: super::Id) -> Option<&Slot> {
        self.spans.get(&segment)?.get(&id)
    }

    fn find(&self, id: super::Id) -> Option<u64> {
        let mut spans = self.spans.iter().rev();
        spans
            .find(|(_generation, span)| span.contains_key(&id))
            .map(|(segment, _span)| *segment)
    }

    fn forget(&mut self, now: instant::Instant) {
        let oldest = self
            .seconds(now)
            .saturating_sub(self.limits.retention.as_secs());
        self.floor = self.floor.max(oldest / super::SEGMENT_SECONDS);
        while let Some(span) = self.spans.first_entry() {
            if *span.key() >= self.floor {
                break;
            }
            self.count -= span.remove().len();
        }
    }

    fn shed(&mut self) {
        while self.bytes > self.limits.max_response_bytes {
            let Some(kept) = self.kept.pop_front() else {
                break;
            };
            self.bytes -= kept.bytes;
            let span = self.spans.get_mut(&kept.segment);
            if let Some(slot) = span.and_then(|span| span.get_mut(&kept.id)) {
                slot.state = State::Evicted;
            }
        }
    }

    fn is_early(&self, now: instant::Instant, issued: u64) -> bool {
        issued > self.seconds(now) + self.limits.max_skew.as_secs()
    }

    fn seconds(&self, now: instant::Instant) -> u64 {
        let origin = time::Duration::from_millis(self.origin.as_millis());
        (origin + now.since(instant::Instant::ORIGIN)).as_secs()
    }
}

impl Slot {
    fn disposition(&self, fingerprint: super::Fingerprint) -> super::Disposition {
        if self.fingerprint != fingerprint {
            return super::Disposition::Reused;
        }
        match &self.state {
            State::Running => super::Disposition::Running,
            State::Answered(answer) => super::Disposition::Replay(sync::Arc::clone(answer)),
            State::Evicted => super::Disposition::Evicted,
            State::Refused(kind) => super::Disposition::Refused(*kind),
            State::Lost => super::Disposition::Unknown,
        }
    }
}
