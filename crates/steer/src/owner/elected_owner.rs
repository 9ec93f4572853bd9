//! Budget owner that lends tokens only while this process holds the lease of the budgets.

use std::sync;

use skylark_core::budget;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::grant;

use crate::state;

/// Name of the lease that covers all budgets.
pub const LEASE: &str = "budgets";

/// Epoch of the first holder of the lease, which has no predecessor whose grants must expire.
const FIRST_EPOCH: u64 = 1;

/// Owner of all budgets, which lends tokens only while this process holds their lease.
#[derive(Debug, Default)]
pub struct ElectedOwner {
    current: sync::Mutex<CurrentTerm>,
}

/// Owner in the latest term of the lease, and when this process saw that term begin.
#[derive(Debug, Default)]
struct CurrentTerm {
    owner: Option<budget::Owner>,
    version: unit::Version,
    epoch: u64,
    started: instant::Instant,
}

impl ElectedOwner {
    /// Updates the owner from the term, the reading of the claimed slots and the records in force.
    ///
    /// After a predecessor, the owner starts once the grants of that predecessor have expired.
    pub fn update(
        &self,
        term: lease::Term,
        reading: budget::Reading,
        state: &state::State,
        now: instant::Instant,
    ) {
        let timing = budget::Timing::default();
        let mut current = self.lock();
        if current.epoch != term.epoch {
            *current = CurrentTerm {
                epoch: term.epoch,
                started: now,
                ..CurrentTerm::default()
            };
        }
        let has_predecessor = term.epoch > FIRST_EPOCH;
        if has_predecessor && now.since(current.started) < timing.succession_delay() {
            return;
        }
        if current.owner.is_none() {
            log::info!(epoch = term.epoch; "lease of the budgets held; lending tokens");
        }
        let owner = current.owner.take();
        let mut owner = owner.unwrap_or_else(|| budget::Owner::new(term, reading, timing));
        owner.renew(term, reading, now);
        let version = state.with(|control| control.config.version());
        if version != current.version {
            state.with(|control| set_limits(&mut owner, &control.records, now));
            current.version = version;
        }
        current.owner = Some(owner);
    }

    /// Answers an entry process that asks for tokens, or redirects it to the owner.
    pub fn lend(&self, request: &budget::Request, state: &state::State) -> grant::Reply {
        let term = state.existing_term(LEASE);
        let now = state.clock.now();
        if term.is_none_or(|term| !term.is_valid(now)) {
            return redirect(state);
        }
        let mut current = self.lock();
        let owner = current.owner.as_mut();
        match owner.and_then(|owner| owner.answer(request, now)) {
            Some(reply) => grant::Reply::Answered(reply),
            None => grant::Reply::Unanswered,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, CurrentTerm> {
        self.current
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Redirects to the last known holder of the lease, or to this zone's member if none is known.
fn redirect(state: &state::State) -> grant::Reply {
    let address = state.with(|control| {
        let roster = control.node.roster();
        let holder = control.electors.get(LEASE).and_then(lease::Elector::holder);
        let holder = holder.and_then(|incarnation| roster.member(incarnation));
        let member = holder.or_else(|| roster.zone_member(&state.settings.zone));
        member.map(|member| member.steer)
    });
    match address {
        Some(address) if address != state.settings.ports.steer => grant::Reply::Redirect(address),
        _ => grant::Reply::Unanswered,
    }
}

fn set_limits(owner: &mut budget::Owner, records: &[record::Document], now: instant::Instant) {
    let accounts = records.iter().filter_map(|record| record.account.as_ref());
    let mut present = std::collections::BTreeSet::new();
    for account in accounts {
        let key = budget::Key::Account(account.name.clone()).id();
        let limit = budget::Limit::of_requests(account.rate, account.burst);
        owner.set_limit(key, limit, now);
        present.insert(key);
    }
    owner.retain(&present, now);
}
