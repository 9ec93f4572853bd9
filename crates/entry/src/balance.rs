//! Choice of a target by the requests that this host has running there.

use std::collections;
use std::sync;

use skylark_core::catalog;
use skylark_core::name;
use skylark_core::record;

/// Requests that this host has running at each target.
#[derive(Debug, Default)]
pub struct Balance {
    running: sync::Mutex<collections::BTreeMap<name::Target, u32>>,
}

/// A place at a target, given back when dropped.
#[derive(Debug)]
pub struct Slot<'a> {
    balance: &'a Balance,
    target: name::Target,
}

impl Balance {
    /// Takes a place at the least loaded target of the service, nearest zone first.
    #[must_use]
    pub fn choose(
        &self,
        catalog: &catalog::Catalog,
        service: &record::Service,
        zone: &name::Zone,
        tried: &[name::Target],
    ) -> Option<(record::Target, Slot<'_>)> {
        let mut running = self.lock();
        let candidates = catalog.targets.values().filter(|target| {
            target.service == service.name
                && !catalog.is_drained(target)
                && !tried.contains(&target.name)
        });
        let load = |target: &record::Target| running.get(&target.name).copied().unwrap_or(0);
        let chosen = candidates.min_by_key(|target| {
            let is_full = load(target) >= target.slots;
            (is_full, distance(catalog, zone, &target.zone), load(target))
        })?;
        let chosen = chosen.clone();
        *running.entry(chosen.name.clone()).or_default() += 1;
        let slot = Slot {
            balance: self,
            target: chosen.name.clone(),
        };
        Some((chosen, slot))
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<name::Target, u32>> {
        self.running
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.balance.lock().get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
    }
}

/// How far one availability zone is from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    Far,
}

fn distance(catalog: &catalog::Catalog, from: &name::Zone, to: &name::Zone) -> Distance {
    if from == to {
        return Distance::Zone;
    }
    match (catalog.zones.get(from), catalog.zones.get(to)) {
        (Some(a), Some(b)) if a == b => Distance::Region,
        _ => Distance::Far,
    }
}
