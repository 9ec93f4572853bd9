//! One host's parts of every client account's rate and burst.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::desk;
use super::fleet;
use super::hash;
use super::quota;
use super::rules;

/// Silence of a host after which its demand counts no more.
const SILENCE: time::Duration = time::Duration::from_secs(5);
/// Requests a second below which a host does not tell of an account.
const LEAST_TOLD: f32 = 0.02;

/// One host's parts of every client account's rate and burst.
#[derive(Debug, Default)]
pub struct Quotas {
    parts: collections::HashMap<name::Account, quota::Quota>,
}

impl Quotas {
    /// Takes in the accounts of new rules.
    pub fn set_rules(&mut self, rules: &rules::Rules, crowd: quota::Others, now: instant::Instant) {
        let mut before = std::mem::take(&mut self.parts);
        let limited = rules.accounts.iter().filter_map(|a| Some((a, a.share?)));
        for (account, share) in limited {
            let quota = match before.remove(&account.name) {
                Some(mut quota) => {
                    quota.resize(share, crowd, now);
                    quota
                }
                None => quota::Quota::new(share, crowd, now),
            };
            self.parts.insert(account.name.clone(), quota);
        }
    }

    /// Works out this host's parts from the demand that the other hosts told.
    pub fn divide(
        &mut self,
        zone: &name::Zone,
        fleet: &fleet::Fleet,
        crowd: quota::Others,
        now: instant::Instant,
    ) {
        let mut sums: collections::HashMap<u32, f64> = collections::HashMap::new();
        for (_zone, told) in fleet.demands(zone, SILENCE, now) {
            for (account, demand) in &told.accounts {
                *sums.entry(*account).or_default() += f64::from(*demand);
            }
        }
        for (account, quota) in &mut self.parts {
            let digest = hash::digest(account.as_str());
            let demand = sums.get(&digest).copied().unwrap_or(0.0);
            quota.divide(quota::Others { demand, ..crowd }, now);
        }
    }

    /// Returns this host's demand by account, to be reported now.
    pub fn report(&mut self, now: instant::Instant) -> Vec<(u32, f32)> {
        let parts = self.parts.iter_mut();
        let told = parts.map(|(account, quota)| {
            let demand = desk::narrow(quota.report(now));
            (hash::digest(account.as_str()), demand)
        });
        told.filter(|(_account, demand)| *demand >= LEAST_TOLD)
            .collect()
    }

    /// Counts a request of an account against its rate.
    ///
    /// # Errors
    ///
    /// Fails with the pause after which the account has room again.
    pub fn take(
        &mut self,
        account: &name::Account,
        now: instant::Instant,
    ) -> Result<(), time::Duration> {
        match self.parts.get_mut(account) {
            Some(quota) => quota.take(now),
            None => Ok(()),
        }
    }

    /// Takes back the charge of a request that did not run.
    pub fn refund(&mut self, account: &name::Account) {
        if let Some(quota) = self.parts.get_mut(account) {
            quota.refund();
        }
    }
}
