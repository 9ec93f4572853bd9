//! What this process owns of the budgets.

use std::sync;

use skylark_core::budget;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::grant;

use crate::state;

/// Name of the lease of all budgets.
pub const LEASE: &str = "budgets";

/// Epoch of the first owner that ever was.
const FIRST_EPOCH: u64 = 1;

/// What this process owns of the budgets.
#[derive(Debug, Default)]
pub struct Post {
    held: sync::Mutex<Held>,
}

/// The owner of an epoch, and when the epoch began.
#[derive(Debug, Default)]
struct Held {
    owner: Option<budget::Owner>,
    version: unit::Version,
    epoch: u64,
    since: instant::Instant,
}

impl Post {
    /// Follows the tenure, the reading of the claimed slots and the records.
    pub fn follow(
        &self,
        tenure: lease::Term,
        reading: budget::Reading,
        state: &state::State,
        now: instant::Instant,
    ) {
        let timing = budget::Timing::default();
        let mut held = self.lock();
        if held.epoch != tenure.epoch {
            *held = Held {
                epoch: tenure.epoch,
                since: now,
                ..Held::default()
            };
        }
        let has_forerunner = tenure.epoch > FIRST_EPOCH;
        if has_forerunner && now.since(held.since) < timing.succession_delay() {
            return;
        }
        if held.owner.is_none() {
            log::info!(epoch = tenure.epoch; "budgets owned");
        }
        let owner = held.owner.take();
        let mut owner = owner.unwrap_or_else(|| budget::Owner::new(tenure, reading, timing));
        owner.renew(tenure, reading, now);
        let version = state.with(|known| known.config.version());
        if version != held.version {
            state.with(|known| set(&mut owner, &known.records, now));
            held.version = version;
        }
        held.owner = Some(owner);
    }

    /// Answers an entry process that asks for tokens.
    pub fn lend(&self, ask: &budget::Request, state: &state::State) -> grant::Reply {
        let tenure = state.tenure_held(LEASE);
        let now = state.clock.now();
        if tenure.is_none_or(|tenure| !tenure.is_valid(now)) {
            return elsewhere(state);
        }
        let mut held = self.lock();
        let owner = held.owner.as_mut();
        match owner.and_then(|owner| owner.answer(ask, now)) {
            Some(answer) => grant::Reply::Answered(answer),
            None => grant::Reply::Unanswered,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Held> {
        self.held
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Names the holder of the lease as this process saw it last, or its zone's member.
fn elsewhere(state: &state::State) -> grant::Reply {
    let address = state.with(|known| {
        let roster = known.node.roster();
        let holder = known.seats.get(LEASE).and_then(lease::Elector::holder);
        let holder = holder.and_then(|life| roster.member(life));
        let member = holder.or_else(|| roster.zone_member(&state.settings.zone));
        member.map(|member| member.steer)
    });
    match address {
        Some(address) if address != state.settings.ports.steer => grant::Reply::Redirect(address),
        _ => grant::Reply::Unanswered,
    }
}

fn set(owner: &mut budget::Owner, records: &[record::Document], now: instant::Instant) {
    let accounts = records.iter().filter_map(|record| record.account.as_ref());
    let mut keep = std::collections::BTreeSet::new();
    for account in accounts {
        let budget = budget::Key::Account(account.name.clone()).id();
        let whole = budget::Limit::of_requests(account.rate, account.burst);
        owner.set_limit(budget, whole, now);
        keep.insert(budget);
    }
    owner.retain(&keep, now);
}
