//! An entry process's claim to slots of the reserve.

use super::share;
use super::slot;
use super::timing;
use crate::instant;
use crate::name;

/// What happened to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// The rows of all claimed slots were read, by a read sent at or after the last event.
    Read(&'a [slot::Slot]),
    /// The conditional write of the rows took effect.
    Written,
    /// The conditional write was refused; nothing was written.
    Conflict,
    /// No answer came; the write may have taken effect, now or later.
    Unanswered,
    /// The process gave its slots up after it was frozen.
    Forfeited,
}

/// What to do next about a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the rows of all claimed slots.
    Read,
    /// Write these slots, each on the condition that its row does not exist.
    Write(Vec<slot::Slot>),
    /// Spend from slots with this sum of shares.
    Spend(share::Share),
    /// Nothing, until the given instant.
    Wait(instant::Instant),
    /// Nothing.
    Done,
}

/// One entry process's claim to slots of the reserve.
///
/// After a forfeit the process reads the rows again: those that are still its own
/// settle anew, and where they were passed on it claims others.
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
    Unsure(Vec<slot::Slot>),
    Settling {
        share: share::Share,
        from: instant::Instant,
    },
    Funded,
}

impl Claim {
    /// Creates a claim to `count` slots of the process's zone.
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

    /// Takes in what happened.
    pub fn on_event(
        &mut self,
        event: Event<'_>,
        plan: &slot::Reserve,
        timing: &timing::Timing,
        now: instant::Instant,
    ) {
        let state = std::mem::replace(&mut self.state, State::Reading);
        self.state = match (state, event) {
            (_, Event::Forfeited) | (State::Writing(_), Event::Conflict) => State::Reading,
            (State::Reading, Event::Read(rows)) => self.pick(rows, plan, timing, now),
            (State::Writing(slots), Event::Written) => settle(&slots, timing, now),
            (State::Writing(slots), Event::Unanswered) => State::Unsure(slots),
            (State::Unsure(slots), Event::Read(rows)) => self.resolve(slots, rows, timing, now),
            (state, _) => state,
        };
    }

    /// Returns what to do next.
    pub fn next_step(&mut self, now: instant::Instant) -> Step {
        match &self.state {
            State::Reading | State::Unsure(_) => Step::Read,
            State::Writing(slots) => Step::Write(slots.clone()),
            State::Settling { from, .. } if now < *from => Step::Wait(*from),
            State::Settling { share, .. } => {
                let share = *share;
                self.state = State::Funded;
                Step::Spend(share)
            }
            State::Funded => Step::Done,
        }
    }

    /// Settles the slots that are the process's own, or picks vacant ones.
    fn pick(
        &self,
        rows: &[slot::Slot],
        plan: &slot::Reserve,
        timing: &timing::Timing,
        now: instant::Instant,
    ) -> State {
        let own = rows.iter().filter(|row| row.holder == self.holder);
        let own: Vec<slot::Slot> = own.cloned().collect();
        if !own.is_empty() {
            return settle(&own, timing, now);
        }
        let numbers = slot::Slot::vacant(rows, &self.zone, plan, self.count);
        if numbers.is_empty() {
            return State::Reading;
        }
        let slots = numbers.into_iter().map(|number| slot::Slot {
            zone: self.zone.clone(),
            number,
            share: plan.share(),
            host: self.host.clone(),
            holder: self.holder.clone(),
        });
        State::Writing(slots.collect())
    }

    /// Resolves a lost answer by what the table holds.
    ///
    /// The same rows are written again while they are absent: the first write may
    /// still be on its way, and either of the two makes the claim.
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
        let is_taken = |slot: &slot::Slot| {
            let mut others = rows.iter().filter(|row| row.holder != self.holder);
            others.any(|row| row.zone == slot.zone && row.number == slot.number)
        };
        if slots.iter().any(is_taken) {
            return State::Reading;
        }
        State::Writing(slots)
    }
}

fn settle(slots: &[slot::Slot], timing: &timing::Timing, now: instant::Instant) -> State {
    State::Settling {
        share: slot::Slot::total_share(slots),
        from: now + timing.settling_delay(),
    }
}
