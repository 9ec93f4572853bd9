//! Ledger of a home: the in-memory record of its keys, which starts each at most once.

use std::collections;
use std::sync;
use std::time;

use crate::instant;
use crate::kind;
use crate::timestamp;

/// The keys of one home, of which each starts at most once.
///
/// Keys are kept in segments by issue time. A segment expires as a whole, and from
/// then on all its keys are rejected as expired. So no key can start again after the
/// ledger has removed it.
#[derive(Debug)]
pub struct Ledger {
    limits: super::Limits,
    origin: timestamp::Timestamp,
    /// Oldest segment that is still kept; keys of older ones are rejected as expired.
    floor: u64,
    segments: collections::BTreeMap<u64, collections::HashMap<super::Id, Record>>,
    count: usize,
    /// Responses in memory, in the order of eviction.
    stored: collections::VecDeque<StoredResponse>,
    response_bytes: usize,
    phase: Phase,
}

#[derive(Debug)]
struct Record {
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
struct StoredResponse {
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
    /// Creates an empty ledger; `origin` is the wall-clock time at [`instant::Instant::ORIGIN`].
    #[must_use]
    pub fn new(limits: super::Limits, origin: timestamp::Timestamp) -> Self {
        Self {
            limits,
            origin,
            floor: 0,
            segments: collections::BTreeMap::new(),
            count: 0,
            stored: collections::VecDeque::new(),
            response_bytes: 0,
            phase: Phase::Open,
        }
    }

    /// Decides whether a request may start whose key names this home.
    pub fn begin(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        fingerprint: super::Fingerprint,
    ) -> super::Disposition {
        self.expire(now);
        let Some(home) = key.home() else {
            return self.peek(now, key, fingerprint);
        };
        if home.segment() < self.floor || self.is_future(now, home.issued) {
            return super::Disposition::Expired;
        }
        self.start(home.segment(), key.id(), fingerprint)
    }

    /// Decides on a request whose key names no home and whose claim this process owns.
    pub fn begin_claimed(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        fingerprint: super::Fingerprint,
    ) -> super::Disposition {
        self.expire(now);
        let id = key.id();
        let known = self.find_segment(id);
        let segment = known.unwrap_or(self.wall_seconds(now) / super::SEGMENT_SECONDS);
        self.start(segment, id, fingerprint)
    }

    /// Returns the state of a key without starting it.
    pub fn peek(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        fingerprint: super::Fingerprint,
    ) -> super::Disposition {
        self.expire(now);
        let id = key.id();
        let record = self
            .find_segment(id)
            .and_then(|segment| self.record(segment, id));
        record.map_or(super::Disposition::Expired, |record| {
            record.disposition(fingerprint)
        })
    }

    /// Refuses a key that has not started, for good; returns the decision to tell the caller.
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

    /// Records how a started request ended, and returns the entry to copy to the store.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "taking the permit keeps it from being used twice"
    )]
    pub fn finish(
        &mut self,
        permit: super::Permit,
        final_state: super::FinalState,
    ) -> Option<super::Entry> {
        let (id, segment) = (permit.id, permit.segment);
        let record = self.segments.get_mut(&segment)?.get_mut(&id)?;
        let entry = super::Entry {
            id,
            fingerprint: record.fingerprint,
            final_state: final_state.clone(),
        };
        record.state = match final_state {
            super::FinalState::Answered(response) => {
                let bytes = response.size();
                self.response_bytes += bytes;
                self.stored.push_back(StoredResponse { segment, id, bytes });
                State::Answered(response)
            }
            super::FinalState::Refused(kind) => State::Refused(kind),
            super::FinalState::Lost => State::Lost,
        };
        self.evict();
        Some(entry)
    }

    /// Stops starting keys, for good.
    pub fn leave(&mut self) {
        self.phase = Phase::Leaving;
    }

    /// Returns the marker that ends the copy, once the ledger is leaving and no request runs.
    #[must_use]
    pub fn end_marker(&self) -> Option<super::EndMarker> {
        let is_idle = self
            .segments
            .values()
            .flat_map(collections::HashMap::values);
        let is_idle = !is_idle
            .into_iter()
            .any(|s| matches!(s.state, State::Running));
        let floor = self.floor;
        (is_idle && self.phase == Phase::Leaving).then_some(super::EndMarker { floor })
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns the memory that the keys take, in bytes, without the responses.
    #[must_use]
    pub fn key_bytes(&self) -> usize {
        // hashbrown fills at most 7 of 8 buckets and keeps a control byte for each bucket.
        let entry = size_of::<(super::Id, Record)>() + size_of::<u8>();
        let segments = self.segments.values().map(collections::HashMap::capacity);
        segments.map(|capacity| capacity * 8 / 7 * entry).sum()
    }

    /// Returns the size of the responses in memory, in bytes.
    #[must_use]
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Returns whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn start(
        &mut self,
        segment: u64,
        id: super::Id,
        fingerprint: super::Fingerprint,
    ) -> super::Disposition {
        if let Some(record) = self.record(segment, id) {
            return record.disposition(fingerprint);
        }
        if self.phase == Phase::Leaving {
            return super::Disposition::Refused(kind::ErrorKind::Leaving);
        }
        if self.count >= self.limits.max_keys {
            return super::Disposition::Full;
        }
        let state = State::Running;
        let keys = self.segments.entry(segment).or_default();
        keys.insert(id, Record { fingerprint, state });
        self.count += 1;
        super::Disposition::Start(super::Permit { id, segment })
    }

    fn record(&self, segment: u64, id: super::Id) -> Option<&Record> {
        self.segments.get(&segment)?.get(&id)
    }

    fn find_segment(&self, id: super::Id) -> Option<u64> {
        let mut segments = self.segments.iter().rev();
        segments
            .find(|(_segment, keys)| keys.contains_key(&id))
            .map(|(segment, _keys)| *segment)
    }

    fn expire(&mut self, now: instant::Instant) {
        let min_issued = self
            .wall_seconds(now)
            .saturating_sub(self.limits.retention.as_secs());
        self.floor = self.floor.max(min_issued / super::SEGMENT_SECONDS);
        while let Some(oldest) = self.segments.first_entry() {
            if *oldest.key() >= self.floor {
                break;
            }
            self.count -= oldest.remove().len();
        }
    }

    fn evict(&mut self) {
        while self.response_bytes > self.limits.max_response_bytes {
            let Some(stored) = self.stored.pop_front() else {
                break;
            };
            self.response_bytes -= stored.bytes;
            let keys = self.segments.get_mut(&stored.segment);
            if let Some(record) = keys.and_then(|keys| keys.get_mut(&stored.id)) {
                record.state = State::Evicted;
            }
        }
    }

    fn is_future(&self, now: instant::Instant, issued: u64) -> bool {
        issued > self.wall_seconds(now) + self.limits.max_skew.as_secs()
    }

    fn wall_seconds(&self, now: instant::Instant) -> u64 {
        let origin = time::Duration::from_millis(self.origin.as_millis());
        (origin + now.since(instant::Instant::ORIGIN)).as_secs()
    }
}

impl Record {
    fn disposition(&self, fingerprint: super::Fingerprint) -> super::Disposition {
        if self.fingerprint != fingerprint {
            return super::Disposition::Reused;
        }
        match &self.state {
            State::Running => super::Disposition::Running,
            State::Answered(response) => super::Disposition::Replay(sync::Arc::clone(response)),
            State::Evicted => super::Disposition::Evicted,
            State::Refused(kind) => super::Disposition::Refused(*kind),
            State::Lost => super::Disposition::Unknown,
        }
    }
}
