//! Messages between hosts, in one datagram each.
//!
//! A small fleet sends each report to each host. In a larger one a host tells
//! its own availability zone only, and in a large zone that zone's relays; they
//! add the reports up, send the sums to the other zones' relays, and tell their
//! own zone of the whole fleet.

use std::net;
use std::sync;
use std::time;

use bincode::Options as _;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::traffic;

use super::asks;
use super::error;
use super::message;
use super::state;
use super::waiting;

/// Time between two reports, and between two looks at shares and plans.
const ROUND: time::Duration = time::Duration::from_millis(250);
/// Shortest time between two messages, when there is news.
const SHORTEST_GAP: time::Duration = time::Duration::from_millis(30);
/// The same in a fleet with relays, whose messages go to many.
const RELAYED_GAP: time::Duration = time::Duration::from_millis(100);
/// Rounds for which another host must know more before it is asked by one that reads the store.
const BEHIND_FOR: u32 = 2;
/// Largest message.
const MESSAGE_BYTES: usize = 64 * 1_024;

/// Tells the other hosts what this one does, until the task is dropped.
pub(crate) async fn tell(state: sync::Arc<state::State>) -> error::Result<()> {
    let mut round = 0_u32;
    let mut behind = 0_u32;
    let mut rounds = tokio::time::interval(ROUND);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let is_news = tokio::select! {
            _at = rounds.tick() => false,
            () = state.news.notified() => true,
        };
        let now = state.clock.now();
        state.connections.expire(now);
        let is_small = is_small(state.knowledge().dispatcher().fleet(), now);
        match (is_news, is_small) {
            (_, true) => send_to_all(&state, now).await,
            (true, false) => send_news(&state, now).await,
            (false, false) => send_round(&state, round, now).await,
        }
        if !is_news {
            round = round.wrapping_add(1);
        }
        state.knowledge().refresh(now);
        behind = if is_behind(&state) { behind + 1 } else { 0 };
        if behind >= BEHIND_FOR {
            state.behind.notify_one();
        }
        if is_news {
            let gap = if is_small { SHORTEST_GAP } else { RELAYED_GAP };
            tokio::time::sleep(gap).await;
        }
    }
}

/// Tells every host of a small fleet.
async fn send_to_all(state: &state::State, now: instant::Instant) {
    let member = state.member();
    let report = state.knowledge().dispatcher_mut().report(member, now);
    let all = state.peers.due(|_address, _zone| true, now);
    post(state, &message::Message::Report(report), &all).await;
}

/// Tells the own zone what changed with this host, without its demand.
///
/// The demand of many hosts would fill their relays' links whenever the store
/// has news.
async fn send_news(state: &state::State, now: instant::Instant) {
    let member = state.member();
    let hosts = {
        let known = state.knowledge();
        let (fleet, own) = (known.dispatcher().fleet(), &state.identity);
        match own_relays(fleet, own, now) {
            Some(relays) if !fleet.is_view_publisher(&own.zone, &own.host, now) => relays,
            _ => addresses(fleet.zone_peers(&own.zone, now)),
        }
    };
    post(state, &message::Message::News(member), &hosts).await;
}

/// Tells what a round of a fleet with relays has for others.
async fn send_round(state: &state::State, round: u32, now: instant::Instant) {
    let member = state.member();
    for (message, hosts) in letters(state, member, round, now) {
        post(state, &message, &hosts).await;
    }
}

/// Returns the messages of a round in a fleet with relays, each with whom it goes to.
fn letters(
    state: &state::State,
    member: traffic::Member,
    round: u32,
    now: instant::Instant,
) -> Vec<(message::Message, Vec<net::SocketAddr>)> {
    let mut letters = Vec::new();
    let mut known = state.knowledge();
    let report = known.dispatcher_mut().report(member, now);
    let desk = known.dispatcher();
    let (fleet, own) = (desk.fleet(), &state.identity);
    let cadence = traffic::Round(round);
    let (near_relays, far_relays) = due_relays(desk, own, cadence, now);
    let near_scope = cadence.same_region_scope();
    let has_far_loads = cadence.has_cross_region_loads();
    for (relays, scope, has_loads) in [
        (near_relays, near_scope, true),
        (far_relays, cadence.cross_region_scope(), has_far_loads),
    ] {
        if !relays.is_empty() {
            let summary = fleet.summarize(&report, scope, has_loads, now);
            letters.push((message::Message::Summary(summary), relays));
        }
    }
    if fleet.is_view_publisher(&own.zone, &own.host, now) {
        let view = fleet.view(&report, desk.topology(), near_scope, has_far_loads, now);
        let audience = audience(fleet, own, now);
        letters.push((message::Message::View(view), audience));
    }
    let relays = own_relays(fleet, own, now);
    let is_near = |address: net::SocketAddr, zone: &name::Zone| {
        *zone == own.zone
            && relays
                .as_ref()
                .is_none_or(|relays| relays.contains(&address))
    };
    let direct = state.peers.due(is_near, now);
    letters.push((message::Message::Report(report), direct));
    letters
}

fn is_small(fleet: &traffic::Fleet, now: instant::Instant) -> bool {
    fleet.host_count(now) < traffic::Fleet::MIN_RELAYED_HOSTS
}

/// Returns the relays that a host of a large zone tells; none means the whole zone.
fn own_relays(
    fleet: &traffic::Fleet,
    own: &traffic::Identity,
    now: instant::Instant,
) -> Option<Vec<net::SocketAddr>> {
    let is_large = fleet.is_large_zone(&own.zone, now);
    is_large.then(|| addresses(fleet.zone_relays(&own.zone, now)))
}

/// Returns to whom a view is passed that this host made or heard.
fn audience(
    fleet: &traffic::Fleet,
    own: &traffic::Identity,
    now: instant::Instant,
) -> Vec<net::SocketAddr> {
    addresses(fleet.view_recipients(&own.zone, &own.host, now))
}

fn addresses<'a>(hosts: impl IntoIterator<Item = &'a traffic::Member>) -> Vec<net::SocketAddr> {
    hosts
        .into_iter()
        .map(|member| member.control_address)
        .collect()
}

/// Returns the relays of other zones that are to get this zone's sum now: those of the own
/// region, and those of others.
fn due_relays(
    desk: &traffic::Dispatcher<waiting::Waker>,
    identity: &traffic::Identity,
    cadence: traffic::Round,
    now: instant::Instant,
) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
    let fleet = desk.fleet();
    let place = fleet.zone_position(&identity.zone, &identity.host, now);
    let mut near = Vec::new();
    let mut far = Vec::new();
    for (other, relay) in fleet.remote_relays(&identity.zone, now) {
        let is_near = desk.topology().region(&relay.zone) == Some(&identity.region);
        if cadence.is_due(place, other, is_near) {
            let due = if is_near { &mut near } else { &mut far };
            due.push(relay.control_address);
        }
    }
    (near, far)
}

/// Sends one message to the hosts with these control addresses.
pub(crate) async fn post(
    state: &state::State,
    message: &message::Message,
    hosts: &[net::SocketAddr],
) {
    match bincode::DefaultOptions::new().serialize(message) {
        Ok(bytes) => post_bytes(state, &bytes, hosts).await,
        Err(fault) => {
            log::error!(error:% = fault; "message to other hosts could not be written");
        }
    }
}

async fn post_bytes(state: &state::State, bytes: &[u8], hosts: &[net::SocketAddr]) {
    let port = state.report_port();
    for control in hosts {
        let address = net::SocketAddr::new(control.ip(), port);
        if let Err(fault) = state.reports.send_to(bytes, address).await {
            log::debug!(address:% = address, error:% = fault; "message not sent");
        }
    }
}

fn is_behind(state: &state::State) -> bool {
    let now = state.clock.now();
    let known = state.knowledge();
    let own = known.versions();
    let mut others = known.dispatcher().fleet().live(now);
    let is_empty = own.config == 0 || own.targets == 0;
    is_empty || others.any(|member| member.versions.is_newer(own))
}

/// Takes in the other hosts' messages, until the task is dropped.
pub(crate) async fn hear(state: sync::Arc<state::State>) -> error::Result<()> {
    let mut buffer = vec![0; MESSAGE_BYTES];
    loop {
        let (length, from) = state.reports.recv_from(&mut buffer).await?;
        let message = match bincode::DefaultOptions::new().deserialize(&buffer[..length]) {
            Ok(message) => message,
            Err(fault) => {
                log::warn!(from:% = from, error:% = fault; "report refused");
                continue;
            }
        };
        match message {
            message::Message::Report(report) => hear_report(&state, report).await,
            message::Message::News(member) => {
                let now = state.clock.now();
                let news = state
                    .knowledge()
                    .dispatcher_mut()
                    .apply_member(&member, now);
                take(&state, &member, news, now);
            }
            message::Message::Summary(summary) => {
                let now = state.clock.now();
                let news = state
                    .knowledge()
                    .dispatcher_mut()
                    .apply_summary(summary, now);
                take_all(&state, &news, now);
            }
            message::Message::View(view) => hear_view(&state, view, &buffer[..length]).await,
            message::Message::Ask { number, account } => {
                let grant = asks::grant(&state, account);
                let answer = message::Message::Grant { number, grant };
                post(&state, &answer, &[from]).await;
            }
            message::Message::Grant { number, grant } => state.asks.answer(number, grant),
            message::Message::Refund { account } => {
                let mut known = state.knowledge();
                known.dispatcher_mut().quotas_mut().return_token(account);
            }
        }
    }
}

/// Takes in a host's own report; a relay answers one that heard no view with a whole one.
async fn hear_report(state: &state::State, report: traffic::Report) {
    let now = state.clock.now();
    let member = report.member.clone();
    let is_blind = report.is_view_needed;
    let news = state.knowledge().dispatcher_mut().apply_report(report, now);
    take(state, &member, news, now);
    let view = is_blind.then(|| whole_view(state, &member, now)).flatten();
    if let Some(view) = view {
        post(
            state,
            &message::Message::View(view),
            &[member.control_address],
        )
        .await;
    }
}

/// Returns a view of all hosts, if this host is a relay of the asking host's zone.
fn whole_view(
    state: &state::State,
    asker: &traffic::Member,
    now: instant::Instant,
) -> Option<traffic::FleetView> {
    let known = state.knowledge();
    let (desk, own) = (known.dispatcher(), &state.identity);
    let fleet = desk.fleet();
    let is_relay = asker.zone == own.zone
        && !is_small(fleet, now)
        && fleet.zone_position(&own.zone, &own.host, now) < traffic::Fleet::RELAYS_PER_ZONE;
    let report = is_relay.then(|| fleet.own_report()).flatten()?;
    Some(fleet.view(report, desk.topology(), traffic::Scope::Full, true, now))
}

/// Takes in what a relay of the own zone tells of the whole fleet, and passes the message as it
/// came to a group of hosts if that falls to this one.
async fn hear_view(state: &state::State, view: traffic::FleetView, message: &[u8]) {
    let now = state.clock.now();
    let own = &state.identity;
    if view.zone != own.zone {
        log::warn!(zone:% = view.zone; "view of another zone refused");
        return;
    }
    let (news, audience) = {
        let mut known = state.knowledge();
        let news = known.dispatcher_mut().apply_view(view, now);
        let fleet = known.dispatcher().fleet();
        let live = fleet.live(now);
        live.for_each(|member| state.peers.heard(member, now));
        (news, audience(fleet, own, now))
    };
    take_all(state, &news, now);
    post_bytes(state, message, &audience).await;
}

fn take_all(
    state: &state::State,
    all: &[(traffic::Member, traffic::MemberChange)],
    now: instant::Instant,
) {
    for (member, news) in all {
        take(state, member, *news, now);
    }
}

/// Takes in what changed with a host that was heard.
fn take(
    state: &state::State,
    member: &traffic::Member,
    news: traffic::MemberChange,
    now: instant::Instant,
) {
    state.peers.heard(member, now);
    if news != traffic::MemberChange::Same {
        log::info!(host:% = member.host, phase:? = member.phase, life = member.incarnation, news:? = news; "host heard");
    }
    if news == traffic::MemberChange::Joined {
        state.news.notify_one();
    }
    let is_newer = {
        let known = state.knowledge();
        !known.is_following() && member.versions.is_newer(known.versions())
    };
    if is_newer {
        state.behind.notify_one();
    }
}
