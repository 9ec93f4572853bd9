//! The ledger of a home: the only place that lets its keys start.

use std::collections;
use std::sync;
use std::time;

use crate::instant;
use crate::kind;
use crate::timestamp;

/// The keys of one home, each started at most once.
///
/// Keys are kept by generation of their time of issue. A generation is forgotten
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
    print: super::Print,
    state: State,
}

#[derive(Debug)]
enum State {
    Running,
    Answered(sync::Arc<super::Answer>),
    Stored,
    Refused(kind::ErrorKind),
    Lost,
}

#[derive(Debug)]
struct Kept {
    generation: u64,
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
        print: super::Print,
    ) -> super::Begin {
        self.forget(now);
        let Some(home) = key.home() else {
            return self.look(now, key, print);
        };
        if home.generation() < self.floor || self.is_early(now, home.issued) {
            return super::Begin::Expired;
        }
        self.open(home.generation(), key.id(), print)
    }

    /// Decides for a key without a home, of which this process holds the table's claim.
    pub fn begin_claimed(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        print: super::Print,
    ) -> super::Begin {
        self.forget(now);
        let id = key.id();
        let known = self.find(id);
        let generation = known.unwrap_or(self.seconds(now) / super::GENERATION_SECONDS);
        self.open(generation, id, print)
    }

    /// Tells what became of a key, without letting it start.
    pub fn look(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        print: super::Print,
    ) -> super::Begin {
        self.forget(now);
        let id = key.id();
        let slot = self
            .find(id)
            .and_then(|generation| self.slot(generation, id));
        slot.map_or(super::Begin::Expired, |slot| slot.tell(print))
    }

    /// Closes a key that has not started; returns what its caller is to be told.
    pub fn refuse(
        &mut self,
        now: instant::Instant,
        key: &super::Key,
        print: super::Print,
        kind: kind::ErrorKind,
    ) -> super::Begin {
        match self.begin(now, key, print) {
            super::Begin::Start(permit) => {
                self.finish(permit, super::Fate::Refused(kind));
                super::Begin::Closed(kind)
            }
            other => other,
        }
    }

    /// Records what became of a started request; the entry is to be copied to the store.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "taking the permit keeps it from being used twice"
    )]
    pub fn finish(&mut self, permit: super::Permit, fate: super::Fate) -> Option<super::Entry> {
        let (id, generation) = (permit.id, permit.generation);
        let slot = self.spans.get_mut(&generation)?.get_mut(&id)?;
        let entry = super::Entry {
            id,
            print: slot.print,
            fate: fate.clone(),
        };
        slot.state = match fate {
            super::Fate::Answered(answer) => {
                let bytes = answer.size();
                self.bytes += bytes;
                self.kept.push_back(Kept {
                    generation,
                    id,
                    bytes,
                });
                State::Answered(answer)
            }
            super::Fate::Refused(kind) => State::Refused(kind),
            super::Fate::Lost => State::Lost,
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
    pub fn end(&self) -> Option<super::End> {
        let is_idle = self.spans.values().flat_map(collections::HashMap::values);
        let is_idle = !is_idle
            .into_iter()
            .any(|s| matches!(s.state, State::Running));
        let floor = self.floor;
        (is_idle && self.phase == Phase::Leaving).then_some(super::End { floor })
    }

    /// Returns the number of keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns the memory that the remembered keys take, in bytes, without the answers.
    #[must_use]
    pub fn key_memory(&self) -> usize {
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

    fn open(&mut self, generation: u64, id: super::Id, print: super::Print) -> super::Begin {
        if let Some(slot) = self.slot(generation, id) {
            return slot.tell(print);
        }
        if self.phase == Phase::Leaving {
            return super::Begin::Closed(kind::ErrorKind::Leaving);
        }
        if self.count >= self.limits.keys {
            return super::Begin::Full;
        }
        let state = State::Running;
        let span = self.spans.entry(generation).or_default();
        span.insert(id, Slot { print, state });
        self.count += 1;
        super::Begin::Start(super::Permit { id, generation })
    }

    fn slot(&self, generation: u64, id: super::Id) -> Option<&Slot> {
        self.spans.get(&generation)?.get(&id)
    }

    fn find(&self, id: super::Id) -> Option<u64> {
        let mut spans = self.spans.iter().rev();
        spans
            .find(|(_generation, span)| span.contains_key(&id))
            .map(|(generation, _span)| *generation)
    }

    fn forget(&mut self, now: instant::Instant) {
        let oldest = self
            .seconds(now)
            .saturating_sub(self.limits.retention.as_secs());
        self.floor = self.floor.max(oldest / super::GENERATION_SECONDS);
        while let Some(span) = self.spans.first_entry() {
            if *span.key() >= self.floor {
                break;
            }
            self.count -= span.remove().len();
        }
    }

    fn shed(&mut self) {
        while self.bytes > self.limits.answers {
            let Some(kept) = self.kept.pop_front() else {
                break;
            };
            self.bytes -= kept.bytes;
            let span = self.spans.get_mut(&kept.generation);
            if let Some(slot) = span.and_then(|span| span.get_mut(&kept.id)) {
                slot.state = State::Stored;
            }
        }
    }

    fn is_early(&self, now: instant::Instant, issued: u64) -> bool {
        issued > self.seconds(now) + self.limits.skew.as_secs()
    }

    fn seconds(&self, now: instant::Instant) -> u64 {
        let origin = time::Duration::from_millis(self.origin.as_millis());
        (origin + now.since(instant::Instant::ORIGIN)).as_secs()
    }
}

impl Slot {
    fn tell(&self, print: super::Print) -> super::Begin {
        if self.print != print {
            return super::Begin::Reused;
        }
        match &self.state {
            State::Running => super::Begin::Running,
            State::Answered(answer) => super::Begin::Replay(sync::Arc::clone(answer)),
            State::Stored => super::Begin::Stored,
            State::Refused(kind) => super::Begin::Closed(*kind),
            State::Lost => super::Begin::Unknown,
        }
    }
}
