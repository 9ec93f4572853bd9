//! Equal static shares of each client account's rate and burst.

use std::collections;
use std::sync;
use std::time;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::record;

use super::exchange;

const MICROS_PER_REQUEST: u64 = 1_000_000;

/// This host's share of every client account's rate and burst.
#[derive(Debug, Default)]
pub struct Admission {
    buckets: sync::Mutex<collections::BTreeMap<name::Account, Bucket>>,
}

/// A token bucket in micro-requests.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: u64,
    burst: u64,
    level: u64,
    at: instant::Instant,
}

impl Admission {
    /// Takes an equal share among `hosts` of each account's rate and burst.
    pub fn configure(&self, catalog: &catalog::Catalog, hosts: usize) {
        let hosts = u64::try_from(hosts.max(1)).unwrap_or(u64::MAX);
        let mut buckets = self.lock();
        buckets.retain(|name, _bucket| catalog.accounts.contains_key(name));
        for account in catalog.accounts.values() {
            let share = Bucket::new(account, hosts);
            let bucket = buckets.entry(account.name.clone()).or_insert(share);
            bucket.rate = share.rate;
            bucket.burst = share.burst;
            bucket.level = bucket.level.min(share.burst);
        }
    }

    /// Takes one token of the account.
    ///
    /// # Errors
    ///
    /// Refuses, and charges nothing, when the share is used up.
    pub fn admit(&self, account: &name::Account, now: instant::Instant) -> exchange::Result<()> {
        let mut buckets = self.lock();
        let over = exchange::Refusal::new(kind::ErrorKind::OverRate);
        let Some(bucket) = buckets.get_mut(account) else {
            return Err(over);
        };
        bucket.take(now).map_err(|wait| over.with_after(wait))
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<name::Account, Bucket>> {
        self.buckets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Bucket {
    fn new(account: &record::Account, hosts: u64) -> Self {
        let rate = account.rate.get().saturating_mul(MICROS_PER_REQUEST) / hosts;
        let burst = account.burst.saturating_mul(MICROS_PER_REQUEST) / hosts;
        Self {
            rate,
            burst,
            level: burst,
            at: instant::Instant::ORIGIN,
        }
    }

    fn take(&mut self, now: instant::Instant) -> Result<(), time::Duration> {
        self.refill(now);
        if self.level >= MICROS_PER_REQUEST {
            self.level -= MICROS_PER_REQUEST;
            return Ok(());
        }
        let missing = MICROS_PER_REQUEST - self.level;
        let micros = missing.saturating_mul(MICROS_PER_REQUEST) / self.rate.max(1);
        Err(time::Duration::from_micros(micros))
    }

    fn refill(&mut self, now: instant::Instant) {
        let elapsed = now.since(self.at).as_micros();
        let gained = elapsed * u128::from(self.rate) / u128::from(MICROS_PER_REQUEST);
        let level = u128::from(self.level) + gained;
        self.level = u64::try_from(level.min(u128::from(self.burst))).unwrap_or(self.burst);
        self.at = self.at.max(now);
    }
}
