//! Claim of one entry process to slots of the reserve, as a state machine.

use super::share;
use super::slot;
use super::timing;
use crate::instant;
use crate::name;

/// An event that advances a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// The rows of all claimed slots, from a read sent at or after the previous event.
    Read(&'a [slot::Slot]),
    /// The conditional write of the rows took effect.
    Written,
    /// The conditional write was rejected, and nothing was written.
    Conflict,
    /// No reply arrived; the write may have taken effect, or may do so later.
    Unanswered,
    /// The process gave up its slots after it had paused too long.
    Forfeited,
}

/// The next step of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the rows of all claimed slots.
    Read,
    /// Write these slots, each on condition that its row does not exist.
    Write(Vec<slot::Slot>),
    /// Start to spend from slots with this sum of shares.
    Spend(share::Share),
    /// Nothing is due until this instant.
    Wait(instant::Instant),
    /// Nothing is due until the next event.
    Done,
}

/// The claim of one entry process to slots of the reserve.
///
/// After it gave up its slots, the process reads the rows again. Slots that it still
/// owns become usable after another settling delay; if others own them, it claims new
/// ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    host: name::Host,
    holder: name::Incarnation,
    zone: name::Zone,
    count: usize,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Reading,
    Writing(Vec<slot::Slot>),
    Uncertain(Vec<slot::Slot>),
    Settling {
        share: share::Share,
        usable_at: instant::Instant,
    },
    Funded,
}

impl Claim {
    /// Creates a claim to at most `count` slots of the process's zone.
    #[must_use]
    pub const fn new(
        host: name::Host,
        holder: name::Incarnation,
        zone: name::Zone,
        count: usize,
    ) -> Self {
        Self {
            host,
            holder,
            zone,
            count,
            state: State::Reading,
        }
    }

    /// Applies an event.
    pub fn on_event(
        &mut self,
        event: Event<'_>,
        reserve: &slot::Reserve,
        timing: &timing::Timing,
        now: instant::Instant,
    ) {
        let state = std::mem::replace(&mut self.state, State::Reading);
        self.state = match (state, event) {
            (_, Event::Forfeited) | (State::Writing(_), Event::Conflict) => State::Reading,
            (State::Reading, Event::Read(rows)) => self.choose(rows, reserve, timing, now),
            (State::Writing(slots), Event::Written) => settle(&slots, timing, now),
            (State::Writing(slots), Event::Unanswered) => State::Uncertain(slots),
            (State::Uncertain(slots), Event::Read(rows)) => self.resolve(slots, rows, timing, now),
            (state, _) => state,
        };
    }

    /// Returns the next step.
    pub fn next_step(&mut self, now: instant::Instant) -> Step {
        match &self.state {
            State::Reading | State::Uncertain(_) => Step::Read,
            State::Writing(slots) => Step::Write(slots.clone()),
            State::Settling { usable_at, .. } if now < *usable_at => Step::Wait(*usable_at),
            State::Settling { share, .. } => {
                let share = *share;
                self.state = State::Funded;
                Step::Spend(share)
            }
            State::Funded => Step::Done,
        }
    }

    /// Returns the state for the process's own slots, or else for vacant ones to claim.
    fn choose(
        &self,
        rows: &[slot::Slot],
        reserve: &slot::Reserve,
        timing: &timing::Timing,
        now: instant::Instant,
    ) -> State {
        let own = rows.iter().filter(|row| row.holder == self.holder);
        let own: Vec<slot::Slot> = own.cloned().collect();
        if !own.is_empty() {
            return settle(&own, timing, now);
        }
        let numbers = slot::Slot::vacant(rows, &self.zone, reserve, self.count);
        if numbers.is_empty() {
            return State::Reading;
        }
        let slots = numbers.into_iter().map(|number| slot::Slot {
            zone: self.zone.clone(),
            number,
            share: reserve.share(),
            host: self.host.clone(),
            holder: self.holder.clone(),
        });
        State::Writing(slots.collect())
    }

    /// Resolves a write without a reply by the rows in the table.
    ///
    /// The same rows are written again while they are absent: the first write may
    /// still be in transit, and either of the two makes the claim.
    fn resolve(
        &self,
        slots: Vec<slot::Slot>,
        rows: &[slot::Slot],
        timing: &timing::Timing,
        now: instant::Instant,
    ) -> State {
        if slots.iter().all(|slot| rows.contains(slot)) {
            return settle(&slots, timing, now);
        }
        let is_claimed_by_other = |slot: &slot::Slot| {
            let mut others = rows.iter().filter(|row| row.holder != self.holder);
            others.any(|row| row.zone == slot.zone && row.number == slot.number)
        };
        if slots.iter().any(is_claimed_by_other) {
            return State::Reading;
        }
        State::Writing(slots)
    }
}

fn settle(slots: &[slot::Slot], timing: &timing::Timing, now: instant::Instant) -> State {
    State::Settling {
        share: slot::Slot::total_share(slots),
        usable_at: now + timing.settling_delay(),
    }
}
