//! One host's shares of the rate limits of all client accounts.

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
use super::share_role;
use super::topology;

/// Age of a report from which on its demand is ignored.
const MAX_DEMAND_AGE: time::Duration = time::Duration::from_secs(5);
/// Smallest demand to report, in requests per second.
const MIN_REPORTED_DEMAND: f32 = 0.02;
/// Time after which shares that were not computed again are no longer used to grant tokens.
///
/// A process that was suspended meanwhile may have lost a region's share to another holder.
const MAX_SHARE_AGE: time::Duration = time::Duration::from_secs(1);
/// Smallest burst per host, in tokens, for a limit to be divided among the hosts.
const MIN_TOKENS_PER_HOST: u64 = 4;

/// One host's shares of the rate limits of all client accounts.
///
/// A limit that gives each host some tokens is divided among the hosts, and a request
/// needs no message. A smaller limit would leave most hosts without a token when a
/// request arrives. It is divided among the regions instead: in each region one host,
/// chosen by rendezvous hashing, holds the region's share, and the others ask it for
/// each token.
#[derive(Debug, Default)]
pub struct Quotas {
    accounts: collections::HashMap<name::Account, AccountQuota>,
    /// When the shares were last computed.
    updated_at: instant::Instant,
    /// Control address of this host, once it has reported itself.
    control_address: Option<net::SocketAddr>,
    /// Messages to other hosts that are not sent yet.
    outgoing: Vec<(net::SocketAddr, RoleMessage)>,
}

/// A message between hosts about the holder of a region's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RoleMessage {
    /// Digest of the account's name.
    pub account: u32,
    /// Control address of the host that sends the message.
    pub from: net::SocketAddr,
    /// What it says.
    pub notice: share_role::RoleNotice,
}

/// Why another host gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDenial {
    /// No token is available; the next one is after this delay.
    Over(time::Duration),
    /// The host with this control address holds the share.
    Moved(net::SocketAddr),
}

/// A host's share of one account's limit.
#[derive(Debug)]
struct AccountQuota {
    own: quota::Quota,
    shared: Option<SharedQuota>,
}

/// A region's share of a limit that is too small to be divided among hosts.
#[derive(Debug)]
struct SharedQuota {
    quota: quota::Quota,
    role: share_role::ShareRole,
    /// Demand of the other regions.
    others: quota::PeerDemand,
}

impl SharedQuota {
    /// Applies a change of the role; returns what to tell another host.
    fn apply(
        &mut self,
        effect: share_role::Effect,
        now: instant::Instant,
    ) -> Option<(net::SocketAddr, share_role::RoleNotice)> {
        if let Some(start) = effect.start {
            self.quota = quota::Quota::new(self.quota.limit(), self.others, now);
            match start {
                share_role::Start::Idle => {}
                share_role::Start::Empty => self.quota.set_level(budget::Amount::ZERO),
                share_role::Start::Rest(rest) => self.quota.set_level(rest),
            }
        }
        effect.notice
    }
}

/// The decision on a request that is charged against an account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// A token was taken.
    Admitted,
    /// No token is available; the next one is after this delay.
    Limited(time::Duration),
    /// The host with this control address must be asked for a token.
    AskHolder(net::SocketAddr),
}

/// The state from which the shares are computed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inputs<'a> {
    pub(super) identity: &'a dispatcher::Identity,
    pub(super) topology: &'a topology::Topology,
    pub(super) fleet: &'a fleet::Fleet,
    /// Number of the other hosts and whether most are live; the demand is empty.
    pub(super) peers: quota::PeerDemand,
}

/// The demand for one account at the other hosts, in requests per second.
#[derive(Clone, Copy, Debug, Default)]
struct AccountDemand {
    total: f64,
    /// The part of `total` that relays summed up.
    summed: f64,
    /// The part of `total` at hosts of this region.
    in_region: f64,
}

impl Quotas {
    /// Retry delay of a caller whose account's share holder did not answer.
    pub const UNANSWERED_DELAY: time::Duration = time::Duration::from_millis(200);

    /// Applies the accounts of new rules; accounts that stay keep their tokens.
    pub fn set_rules(
        &mut self,
        rules: &rules::Rules,
        peers: quota::PeerDemand,
        now: instant::Instant,
    ) {
        let mut previous = std::mem::take(&mut self.accounts);
        let limited = rules.accounts.iter().filter_map(|a| Some((a, a.limit?)));
        for (account, limit) in limited {
            let account_quota = match previous.remove(&account.name) {
                Some(mut account_quota) => {
                    account_quota.own.set_limit(limit, peers, now);
                    account_quota
                }
                None => AccountQuota {
                    own: quota::Quota::new(limit, peers, now),
                    shared: None,
                },
            };
            self.accounts.insert(account.name.clone(), account_quota);
        }
    }

    /// Recomputes this host's shares from the demand that the other hosts reported.
    pub(super) fn update_shares(&mut self, inputs: Inputs<'_>, now: instant::Instant) {
        let updated_at = std::mem::replace(&mut self.updated_at, now);
        let own_report = inputs.fleet.own_report();
        self.control_address = own_report.map(|report| report.member.control_address);
        let mut sums: collections::HashMap<u32, AccountDemand> = collections::HashMap::new();
        let identity = inputs.identity;
        let demands =
            inputs
                .fleet
                .remote_demand(&identity.zone, inputs.topology, MAX_DEMAND_AGE, now);
        let has_sums = demands.iter().any(|remote| remote.is_summed);
        for remote in demands {
            let is_same_region = remote.region == Some(&identity.region);
            for (account, demand) in &remote.demand.accounts {
                let sum = sums.entry(*account).or_default();
                sum.total += f64::from(*demand);
                if remote.is_summed {
                    sum.summed += f64::from(*demand);
                }
                if is_same_region {
                    sum.in_region += f64::from(*demand);
                }
            }
        }
        let regions = u32::try_from(inputs.topology.regions().len()).unwrap_or(u32::MAX);
        let candidates = candidates(inputs, now);
        let live = inputs.fleet.live(now).map(|member| member.control_address);
        let live: collections::HashSet<net::SocketAddr> = live.collect();
        for (account, account_quota) in &mut self.accounts {
            let demand_at_peers = sums.get(&hash::digest(account.as_str())).copied();
            let demand_at_peers = demand_at_peers.unwrap_or_default();
            let others = quota::PeerDemand {
                rate: demand_at_peers.total,
                summed_rate: has_sums.then_some(demand_at_peers.summed),
                ..inputs.peers
            };
            account_quota.own.update_share(others, now);
            let limit = account_quota.own.limit();
            if !is_shared(limit, inputs.peers.hosts + 1) {
                account_quota.shared = None;
                continue;
            }
            let other_regions_rate = demand_at_peers.total - demand_at_peers.in_region;
            let other_regions = quota::PeerDemand {
                rate: other_regions_rate,
                summed_rate: has_sums.then_some(other_regions_rate),
                hosts: regions.saturating_sub(1),
                has_majority: inputs.peers.has_majority,
            };
            let elected = elect(account, &candidates);
            if let Some(shared) = &mut account_quota.shared {
                let has_peers = inputs.peers.hosts > 0;
                shared.role.observe_gap(updated_at, has_peers, now);
            }
            let shared = account_quota.shared.get_or_insert_with(|| SharedQuota {
                quota: quota::Quota::new(limit, other_regions, now),
                role: share_role::ShareRole::new(elected),
                others: other_regions,
            });
            shared.others = other_regions;
            shared.quota.set_limit(limit, other_regions, now);
            let level = shared.quota.level(now);
            let is_live = |host| live.contains(&host);
            let effect = shared.role.elect(elected, level, is_live, now);
            if let (Some((to, notice)), Some(from)) =
                (shared.apply(effect, now), self.control_address)
            {
                let account = hash::digest(account.as_str());
                let message = RoleMessage {
                    account,
                    from,
                    notice,
                };
                self.outgoing.push((to, message));
            }
            let demand = account_quota.own.reported_demand() + demand_at_peers.in_region;
            shared.quota.set_share(demand, other_regions, now);
        }
    }

    /// Returns the number of accounts whose share of the region this host holds.
    #[must_use]
    pub fn held(&self) -> usize {
        let shared = self.accounts.values().filter_map(|a| a.shared.as_ref());
        shared
            .filter(|shared| shared.role.holder() == Some(share_role::Holder::Here))
            .count()
    }

    /// Removes and returns the messages to other hosts, with their control addresses.
    pub fn take_messages(&mut self) -> Vec<(net::SocketAddr, RoleMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Applies a message of another host about the holder of a share.
    pub fn receive(&mut self, message: RoleMessage, now: instant::Instant) {
        let Some(own_address) = self.control_address else {
            return;
        };
        let updated_at = self.updated_at;
        let notice = match self.shared_mut(message.account) {
            Some(shared) => {
                shared.role.observe_gap(updated_at, true, now);
                let level = shared.quota.level(now);
                let effect = shared
                    .role
                    .receive(message.from, message.notice, level, now);
                shared.apply(effect, now)
            }
            // A limit that this host does not know is not held here.
            None if message.notice == share_role::RoleNotice::Request => Some((
                message.from,
                share_role::RoleNotice::HandOver(budget::Amount::ZERO),
            )),
            None => None,
        };
        self.outgoing.extend(notice.map(|(to, notice)| {
            let reply = RoleMessage {
                from: own_address,
                notice,
                ..message
            };
            (to, reply)
        }));
    }

    /// Measures this host's demand by account digest, in requests per second, for its next report.
    pub fn report(&mut self, now: instant::Instant) -> Vec<(u32, f32)> {
        let accounts = self.accounts.iter_mut();
        let demands = accounts.map(|(account, account_quota)| {
            let demand = dispatcher::to_f32(account_quota.own.report_demand(now));
            (hash::digest(account.as_str()), demand)
        });
        demands
            .filter(|(_account, demand)| *demand >= MIN_REPORTED_DEMAND)
            .collect()
    }

    /// Charges a request against its account's limit.
    pub fn admit(&mut self, account: &name::Account, now: instant::Instant) -> QuotaDecision {
        let Some(account_quota) = self.accounts.get_mut(account) else {
            return QuotaDecision::Admitted;
        };
        account_quota.own.count_request(now);
        let has_lapsed = now.since(self.updated_at) > MAX_SHARE_AGE;
        let Some(shared) = &mut account_quota.shared else {
            let taken = account_quota.own.take_token(now);
            return taken.map_or_else(QuotaDecision::Limited, |()| QuotaDecision::Admitted);
        };
        match shared.role.holder() {
            Some(share_role::Holder::Here) if !has_lapsed => {
                let taken = shared.quota.take_token(now);
                taken.map_or_else(QuotaDecision::Limited, |()| QuotaDecision::Admitted)
            }
            Some(share_role::Holder::At(host)) => QuotaDecision::AskHolder(host),
            Some(share_role::Holder::Here) | None => QuotaDecision::Limited(Self::UNANSWERED_DELAY),
        }
    }

    /// Takes a token for another host, which identifies the account by the digest of its name.
    ///
    /// # Errors
    ///
    /// Fails with the delay after which a token may be available, or with the holder's address.
    pub fn grant_token(&mut self, account: u32, now: instant::Instant) -> Result<(), TokenDenial> {
        let unanswered = TokenDenial::Over(Self::UNANSWERED_DELAY);
        if now.since(self.updated_at) > MAX_SHARE_AGE {
            return Err(unanswered);
        }
        let shared = self.shared_mut(account).ok_or(unanswered)?;
        match shared.role.holder() {
            Some(share_role::Holder::Here) => {
                shared.quota.take_token(now).map_err(TokenDenial::Over)
            }
            Some(share_role::Holder::At(host)) => Err(TokenDenial::Moved(host)),
            None => Err(unanswered),
        }
    }

    /// Returns the token of a request that did not run.
    ///
    /// If another host holds the share, nothing changes here and its control address is
    /// returned: that host must get the token back.
    pub fn refund(&mut self, account: &name::Account) -> Option<net::SocketAddr> {
        let account_quota = self.accounts.get_mut(account)?;
        match &mut account_quota.shared {
            None => account_quota.own.refund(),
            Some(shared) => match shared.role.holder() {
                Some(share_role::Holder::Here) => shared.quota.refund(),
                Some(share_role::Holder::At(host)) => return Some(host),
                None => {}
            },
        }
        None
    }

    /// Takes a token back from another host.
    pub fn return_token(&mut self, account: u32) {
        let shared = self.shared_mut(account);
        let held = shared.filter(|shared| shared.role.holder() == Some(share_role::Holder::Here));
        if let Some(shared) = held {
            shared.quota.refund();
        }
    }

    /// Returns the region's share of the limit of an account, by the digest of its name.
    fn shared_mut(&mut self, account: u32) -> Option<&mut SharedQuota> {
        let mut accounts = self.accounts.iter_mut();
        let (_account, account_quota) =
            accounts.find(|(name, _quota)| hash::digest(name.as_str()) == account)?;
        account_quota.shared.as_mut()
    }
}

/// Returns whether a limit is too small to be divided among the hosts.
fn is_shared(limit: budget::Limit, hosts: u32) -> bool {
    limit.burst < budget::Amount::from_tokens(MIN_TOKENS_PER_HOST.saturating_mul(hosts.into()))
}

/// Returns the hosts of the region that may hold shares; `None` stands for this host.
///
/// Hosts that leave or start hold shares only where no other host can, so that a share changes hands
/// while both hosts run.
fn candidates(
    inputs: Inputs<'_>,
    now: instant::Instant,
) -> Vec<(&name::Host, Option<net::SocketAddr>)> {
    let identity = inputs.identity;
    let own_report = inputs.fleet.own_report();
    let own_phase = own_report.map_or(report::Phase::Starting, |report| report.member.phase);
    let region_hosts = inputs
        .fleet
        .live(now)
        .filter(|member| inputs.topology.region(&member.zone) == Some(&identity.region));
    let others = region_hosts.map(|member| {
        let control = Some(member.control_address);
        (member.phase, (&member.host, control))
    });
    let all: Vec<_> = others
        .chain([(own_phase, (&identity.host, None))])
        .collect();
    let order = [
        report::Phase::Ready,
        report::Phase::Leaving,
        report::Phase::Starting,
    ];
    let is_present = |phase: &report::Phase| all.iter().any(|(other, _host)| other == phase);
    let best = order.into_iter().find(is_present);
    all.into_iter()
        .filter(|(phase, _host)| Some(*phase) == best)
        .map(|(_phase, host)| host)
        .collect()
}

/// Elects the holder of the region's share of an account's limit, by rendezvous hashing.
fn elect(
    account: &name::Account,
    candidates: &[(&name::Host, Option<net::SocketAddr>)],
) -> share_role::Holder {
    let key = hash::HashKey::new("pool", account.as_str().as_bytes());
    let score = |host: &name::Host| key.score(host.as_str(), 1.0);
    let best = candidates
        .iter()
        .max_by(|a, b| score(a.0).total_cmp(&score(b.0)));
    best.and_then(|(_host, control)| *control)
        .map_or(share_role::Holder::Here, share_role::Holder::At)
}
