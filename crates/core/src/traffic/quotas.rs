//! One host's parts of every client account's rate and burst.

use std::collections;
use std::net;
use std::time;

use crate::budget;
use crate::instant;
use crate::name;

use super::desk;
use super::fleet;
use super::hash;
use super::layout;
use super::quota;
use super::report;
use super::rules;

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
    parts: collections::HashMap<name::Account, Part>,
}

/// What a host has of one account's share.
#[derive(Debug)]
struct Part {
    own: quota::Quota,
    pool: Option<Pool>,
}

/// A region's part of a share that is too small to be divided among hosts.
#[derive(Debug)]
struct Pool {
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
pub enum Charge {
    /// A token was taken.
    Taken,
    /// No token is there before a pause.
    Over(time::Duration),
    /// The host with this control address must be asked.
    Ask(net::SocketAddr),
}

/// What a host knows of itself and the others when it divides shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scene<'a> {
    pub(super) identity: &'a desk::Identity,
    pub(super) layout: &'a layout::Layout,
    pub(super) fleet: &'a fleet::Fleet,
    /// The other hosts, without their demand.
    pub(super) crowd: quota::Others,
}

/// Requests a second of one account at the other hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    all: f64,
    /// Part of all of which relays tell.
    summed: f64,
    in_region: f64,
}

impl Quotas {
    /// Pause of a caller whose account's holder did not answer.
    pub const UNHEARD_PAUSE: time::Duration = time::Duration::from_millis(200);

    /// Takes in the accounts of new rules.
    pub fn set_rules(&mut self, rules: &rules::Rules, crowd: quota::Others, now: instant::Instant) {
        let mut before = std::mem::take(&mut self.parts);
        let limited = rules.accounts.iter().filter_map(|a| Some((a, a.share?)));
        for (account, share) in limited {
            let part = match before.remove(&account.name) {
                Some(mut part) => {
                    part.own.resize(share, crowd, now);
                    part
                }
                None => Part {
                    own: quota::Quota::new(share, crowd, now),
                    pool: None,
                },
            };
            self.parts.insert(account.name.clone(), part);
        }
    }

    /// Works out this host's parts from the demand that the other hosts told.
    pub(super) fn divide(&mut self, scene: Scene<'_>, now: instant::Instant) {
        let mut sums: collections::HashMap<u32, Asked> = collections::HashMap::new();
        let identity = scene.identity;
        let demands = scene
            .fleet
            .demands(&identity.zone, scene.layout, SILENCE, now);
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
        for (account, part) in &mut self.parts {
            let asked = sums.get(&hash::digest(account.as_str())).copied();
            let asked = asked.unwrap_or_default();
            let others = quota::Others {
                demand: asked.all,
                summed: has_sums.then_some(asked.summed),
                ..scene.crowd
            };
            part.own.divide(others, now);
            let share = part.own.whole();
            if !is_pooled(share, scene.crowd.hosts + 1) {
                part.pool = None;
                continue;
            }
            let elsewhere = asked.all - asked.in_region;
            let other_regions = quota::Others {
                demand: elsewhere,
                summed: has_sums.then_some(elsewhere),
                hosts: regions.saturating_sub(1),
                is_heard: scene.crowd.is_heard,
            };
            let pool = part.pool.get_or_insert_with(|| Pool {
                bucket: quota::Quota::new(share, other_regions, now),
                holder: Holder::Here,
            });
            let before = pool.holder;
            pool.holder = holder(account, &holders);
            if before != pool.holder && pool.holder == Holder::Here {
                // The holder before may have spent what this host would count as unused.
                pool.bucket = quota::Quota::new(share, other_regions, now);
            }
            pool.bucket.resize(share, other_regions, now);
            let demand = part.own.reported() + asked.in_region;
            pool.bucket.set_part(demand, other_regions, now);
        }
    }

    /// Returns this host's demand by account, to be reported now.
    pub fn report(&mut self, now: instant::Instant) -> Vec<(u32, f32)> {
        let parts = self.parts.iter_mut();
        let told = parts.map(|(account, part)| {
            let demand = desk::narrow(part.own.report(now));
            (hash::digest(account.as_str()), demand)
        });
        told.filter(|(_account, demand)| *demand >= LEAST_TOLD)
            .collect()
    }

    /// Counts a request of an account against its rate.
    pub fn take(&mut self, account: &name::Account, now: instant::Instant) -> Charge {
        let Some(part) = self.parts.get_mut(account) else {
            return Charge::Taken;
        };
        part.own.count(now);
        let drawn = match &mut part.pool {
            None => part.own.draw(now),
            Some(pool) => match pool.holder {
                Holder::Here => pool.bucket.draw(now),
                Holder::At(host) => return Charge::Ask(host),
            },
        };
        drawn.map_or_else(Charge::Over, |()| Charge::Taken)
    }

    /// Takes a token for another host, which names the account by its digest.
    ///
    /// # Errors
    ///
    /// Fails with the pause after which a token may be there.
    pub fn grant(&mut self, account: u32, now: instant::Instant) -> Result<(), time::Duration> {
        let pool = self.held(account).ok_or(Self::UNHEARD_PAUSE)?;
        pool.bucket.draw(now)
    }

    /// Takes back the token of a request that did not run; returns the host that holds it, if another.
    pub fn refund(&mut self, account: &name::Account) -> Option<net::SocketAddr> {
        let part = self.parts.get_mut(account)?;
        match &mut part.pool {
            None => part.own.refund(),
            Some(pool) => match pool.holder {
                Holder::Here => pool.bucket.refund(),
                Holder::At(host) => return Some(host),
            },
        }
        None
    }

    /// Takes back a token for another host.
    pub fn take_back(&mut self, account: u32) {
        if let Some(pool) = self.held(account) {
            pool.bucket.refund();
        }
    }

    /// Returns the pool of an account if this host holds it.
    fn held(&mut self, account: u32) -> Option<&mut Pool> {
        let mut parts = self.parts.iter_mut();
        let (_account, part) =
            parts.find(|(name, _part)| hash::digest(name.as_str()) == account)?;
        let pool = part.pool.as_mut()?;
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
    let others = near.map(|member| (&member.host, Some(member.control)));
    others.chain([(&identity.host, None)]).collect()
}

/// Returns the holder of an account's pool: the host that wins it by rendezvous hashing.
fn holder(account: &name::Account, holders: &[(&name::Host, Option<net::SocketAddr>)]) -> Holder {
    let object = hash::Object::new("pool", account.as_str().as_bytes());
    let rank = |host: &name::Host| object.rank(host.as_str(), 1.0);
    let best = holders
        .iter()
        .max_by(|a, b| rank(a.0).total_cmp(&rank(b.0)));
    best.and_then(|(_host, control)| *control)
        .map_or(Holder::Here, Holder::At)
}
