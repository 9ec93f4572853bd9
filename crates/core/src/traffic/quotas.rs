//! One host's parts of every client account's rate and burst.

use std::collections;
use std::net;
use std::time;

use crate::budget;
use crate::instant;
use crate::name;

use super::dispatcher;
use super::fleet;
use super::hash;
use super::quota;
use super::report;
use super::rules;
use super::topology;

/// Silence of a host after which its demand counts no more.
const SILENCE: time::Duration = time::Duration::from_secs(5);
/// Requests a second below which a host does not tell of an account.
const LEAST_TOLD: f32 = 0.02;
/// Tokens of the burst that each host must get for an account to be divided among the hosts.
const LEAST_TOKENS: u64 = 4;

/// One host's parts of every client account's rate and burst.
///
/// It answers many hosts with few requests of an account each. A share that
/// gives each host some tokens is divided among the hosts, without a message.
/// A smaller one would leave most hosts without a token when a request comes;
/// it is divided among the regions, and in each region one host, the same for
/// all, holds the region's part and is asked for each token.
#[derive(Debug, Default)]
pub struct Quotas {
    accounts: collections::HashMap<name::Account, AccountQuota>,
}

/// What a host has of one account's share.
#[derive(Debug)]
struct AccountQuota {
    own: quota::Quota,
    shared: Option<SharedQuota>,
}

/// A region's part of a share that is too small to be divided among hosts.
#[derive(Debug)]
struct SharedQuota {
    bucket: quota::Quota,
    holder: Holder,
}

/// Which host of the region holds a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// This host.
    Here,
    /// The host with a control address.
    At(net::SocketAddr),
}

/// What becomes of a request that an account's share must cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// A token was taken.
    Admitted,
    /// No token is there before a pause.
    Limited(time::Duration),
    /// The host with this control address must be asked.
    AskHolder(net::SocketAddr),
}

/// What a host knows of itself and the others when it divides shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scene<'a> {
    pub(super) identity: &'a dispatcher::Identity,
    pub(super) layout: &'a topology::Topology,
    pub(super) fleet: &'a fleet::Fleet,
    /// The other hosts, without their demand.
    pub(super) crowd: quota::PeerDemand,
}

/// Requests a second of one account at the other hosts.
#[derive(Clone, Copy, Debug, Default)]
struct AccountDemand {
    all: f64,
    /// Part of all of which relays tell.
    summed: f64,
    in_region: f64,
}

impl Quotas {
    /// Pause of a caller whose account's holder did not answer.
    pub const UNANSWERED_DELAY: time::Duration = time::Duration::from_millis(200);

    /// Takes in the accounts of new rules.
    pub fn set_rules(
        &mut self,
        rules: &rules::Rules,
        crowd: quota::PeerDemand,
        now: instant::Instant,
    ) {
        let mut before = std::mem::take(&mut self.accounts);
        let limited = rules.accounts.iter().filter_map(|a| Some((a, a.limit?)));
        for (account, share) in limited {
            let part = match before.remove(&account.name) {
                Some(mut part) => {
                    part.own.set_limit(share, crowd, now);
                    part
                }
                None => AccountQuota {
                    own: quota::Quota::new(share, crowd, now),
                    shared: None,
                },
            };
            self.accounts.insert(account.name.clone(), part);
        }
    }

    /// Works out this host's parts from the demand that the other hosts told.
    pub(super) fn divide(&mut self, scene: Scene<'_>, now: instant::Instant) {
        let mut sums: collections::HashMap<u32, AccountDemand> = collections::HashMap::new();
        let identity = scene.identity;
        let demands = scene
            .fleet
            .remote_demand(&identity.zone, scene.layout, SILENCE, now);
        let has_sums = demands.iter().any(|told| told.is_summed);
        for told in demands {
            let is_near = told.region == Some(&identity.region);
            for (account, demand) in &told.demand.accounts {
                let sum = sums.entry(*account).or_default();
                sum.all += f64::from(*demand);
                if told.is_summed {
                    sum.summed += f64::from(*demand);
                }
                if is_near {
                    sum.in_region += f64::from(*demand);
                }
            }
        }
        let regions = u32::try_from(scene.layout.regions().len()).unwrap_or(u32::MAX);
        let holders = holders(scene, now);
        for (account, part) in &mut self.accounts {
            let asked = sums.get(&hash::digest(account.as_str())).copied();
            let asked = asked.unwrap_or_default();
            let others = quota::PeerDemand {
                rate: asked.all,
                summed_rate: has_sums.then_some(asked.summed),
                ..scene.crowd
            };
            part.own.update_share(others, now);
            let share = part.own.limit();
            if !is_pooled(share, scene.crowd.hosts + 1) {
                part.shared = None;
                continue;
            }
            let elsewhere = asked.all - asked.in_region;
            let other_regions = quota::PeerDemand {
                rate: elsewhere,
                summed_rate: has_sums.then_some(elsewhere),
                hosts: regions.saturating_sub(1),
                has_majority: scene.crowd.has_majority,
            };
            let pool = part.shared.get_or_insert_with(|| SharedQuota {
                bucket: quota::Quota::new(share, other_regions, now),
                holder: Holder::Here,
            });
            let before = pool.holder;
            pool.holder = holder(account, &holders);
            if before != pool.holder && pool.holder == Holder::Here {
                // The holder before may have spent what this host would count as unused.
                pool.bucket = quota::Quota::new(share, other_regions, now);
            }
            pool.bucket.set_limit(share, other_regions, now);
            let demand = part.own.reported_demand() + asked.in_region;
            pool.bucket.set_share(demand, other_regions, now);
        }
    }

    /// Returns this host's demand by account, to be reported now.
    pub fn report(&mut self, now: instant::Instant) -> Vec<(u32, f32)> {
        let parts = self.accounts.iter_mut();
        let told = parts.map(|(account, part)| {
            let demand = dispatcher::to_f32(part.own.report_demand(now));
            (hash::digest(account.as_str()), demand)
        });
        told.filter(|(_account, demand)| *demand >= LEAST_TOLD)
            .collect()
    }

    /// Counts a request of an account against its rate.
    pub fn admit(&mut self, account: &name::Account, now: instant::Instant) -> QuotaDecision {
        let Some(part) = self.accounts.get_mut(account) else {
            return QuotaDecision::Admitted;
        };
        part.own.count_request(now);
        let drawn = match &mut part.shared {
            None => part.own.take_token(now),
            Some(pool) => match pool.holder {
                Holder::Here => pool.bucket.take_token(now),
                Holder::At(host) => return QuotaDecision::AskHolder(host),
            },
        };
        drawn.map_or_else(QuotaDecision::Limited, |()| QuotaDecision::Admitted)
    }

    /// Takes a token for another host, which names the account by its digest.
    ///
    /// # Errors
    ///
    /// Fails with the pause after which a token may be there.
    pub fn grant_token(
        &mut self,
        account: u32,
        now: instant::Instant,
    ) -> Result<(), time::Duration> {
        let pool = self.held_here(account).ok_or(Self::UNANSWERED_DELAY)?;
        pool.bucket.take_token(now)
    }

    /// Takes back the token of a request that did not run; returns the host that holds it, if another.
    pub fn refund(&mut self, account: &name::Account) -> Option<net::SocketAddr> {
        let part = self.accounts.get_mut(account)?;
        match &mut part.shared {
            None => part.own.refund(),
            Some(pool) => match pool.holder {
                Holder::Here => pool.bucket.refund(),
                Holder::At(host) => return Some(host),
            },
        }
        None
    }

    /// Takes back a token for another host.
    pub fn return_token(&mut self, account: u32) {
        if let Some(pool) = self.held_here(account) {
            pool.bucket.refund();
        }
    }

    /// Returns the pool of an account if this host holds it.
    fn held_here(&mut self, account: u32) -> Option<&mut SharedQuota> {
        let mut parts = self.accounts.iter_mut();
        let (_account, part) =
            parts.find(|(name, _part)| hash::digest(name.as_str()) == account)?;
        let pool = part.shared.as_mut()?;
        (pool.holder == Holder::Here).then_some(pool)
    }
}

/// Returns whether a share is too small to be divided among the hosts.
fn is_pooled(share: budget::Limit, hosts: u32) -> bool {
    share.burst < budget::Amount::from_tokens(LEAST_TOKENS.saturating_mul(hosts.into()))
}

/// Returns the hosts of the region that may hold pools, none standing for this one.
fn holders(scene: Scene<'_>, now: instant::Instant) -> Vec<(&name::Host, Option<net::SocketAddr>)> {
    let identity = scene.identity;
    let near = scene.fleet.live(now).filter(|member| {
        let is_near = scene.layout.region(&member.zone) == Some(&identity.region);
        is_near && member.phase == report::Phase::Ready
    });
    let others = near.map(|member| (&member.host, Some(member.control_address)));
    others.chain([(&identity.host, None)]).collect()
}

/// Returns the holder of an account's pool: the host that wins it by rendezvous hashing.
fn holder(account: &name::Account, holders: &[(&name::Host, Option<net::SocketAddr>)]) -> Holder {
    let object = hash::HashKey::new("pool", account.as_str().as_bytes());
    let rank = |host: &name::Host| object.score(host.as_str(), 1.0);
    let best = holders
        .iter()
        .max_by(|a, b| rank(a.0).total_cmp(&rank(b.0)));
    best.and_then(|(_host, control)| *control)
        .map_or(Holder::Here, Holder::At)
}
