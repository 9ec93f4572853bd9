//! Exchange of state between hosts by datagrams, hierarchical in larger fleets.
//!
//! In a small fleet each host sends its report to every other host. In a larger
//! one a host sends it to its own availability zone only, and in a large zone to
//! that zone's relays only. The relays send a summary of their zone to the relays
//! of other zones, and a view of the whole fleet to the hosts of their own zone.

use std::net;
use std::sync;
use std::time;

use bincode::Options as _;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::traffic;

use super::error;
use super::message;
use super::queue;
use super::state;
use super::tokens;

/// Time between two rounds of reports, and between two updates of shares and splits.
const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Shortest time between two messages about changes in a fleet without relays.
const MIN_SEND_INTERVAL: time::Duration = time::Duration::from_millis(30);
/// Shortest time between two messages in a fleet with relays, where each goes to many hosts.
const RELAYED_SEND_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Rounds for which another host must have newer tables before it is asked for them. A host
/// that reads the store may get the changes there first.
const PULL_AFTER_ROUNDS: u32 = 2;
/// Size of the receive buffer; no UDP datagram is larger.
const MAX_MESSAGE_BYTES: usize = 64 * 1_024;

/// Sends this host's state to the others until the task is dropped.
pub(crate) async fn send(state: sync::Arc<state::State>) -> error::Result<()> {
    let mut round = 0_u32;
    let mut behind = 0_u32;
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let is_changed = tokio::select! {
            _at = rounds.tick() => false,
            () = state.changed.notified() => true,
        };
        state.is_catching_up();
        let now = state.clock.now();
        state.connections.expire(now);
        let is_small = is_small(state.cluster().dispatcher().fleet(), now);
        match (is_changed, is_small) {
            (_, true) => send_to_all(&state, now).await,
            (true, false) => send_changes(&state, now).await,
            (false, false) => send_round(&state, round, now).await,
        }
        if !is_changed {
            round = round.wrapping_add(1);
        }
        state.cluster().refresh(now);
        send_role_messages(&state).await;
        behind = if is_behind(&state) { behind + 1 } else { 0 };
        if behind >= PULL_AFTER_ROUNDS {
            state.pulls.notify();
        }
        if is_changed {
            let gap = if is_small {
                MIN_SEND_INTERVAL
            } else {
                RELAYED_SEND_INTERVAL
            };
            tokio::time::sleep(gap).await;
        }
    }
}

/// Sends a report to every host of a small fleet.
async fn send_to_all(state: &state::State, now: instant::Instant) {
    let member = state.member();
    let (report, limits) = {
        let mut cluster = state.cluster();
        let report = cluster.dispatcher_mut().report(member, now);
        let limits = cluster.dispatcher_mut().limits_mut();
        (report, limits.report(traffic::Audience::Peers, now))
    };
    let all = state.contacts.due_for_report(|_address, _zone| true, now);
    send_message(state, &message::Message::Report(report), &all).await;
    if let Some(limits) = limits {
        send_message(state, &message::Message::Limits(limits), &all).await;
    }
}

/// Sends this host's changed membership to its own zone, without its demand.
///
/// The demand of many hosts would fill the links of their relays whenever the store
/// has changes.
async fn send_changes(state: &state::State, now: instant::Instant) {
    let member = state.member();
    let hosts = {
        let mut cluster = state.cluster();
        cluster.dispatcher_mut().set_own_member(&member);
        let (fleet, own) = (cluster.dispatcher().fleet(), &state.identity);
        match own_relays(fleet, own, now) {
            Some(relays) if !fleet.is_view_publisher(&own.zone, &own.host, now) => relays,
            _ => addresses(fleet.zone_peers(&own.zone, now)),
        }
    };
    send_message(state, &message::Message::Member(member), &hosts).await;
}

/// Tells other hosts how the holders of shares change.
async fn send_role_messages(state: &state::State) {
    let messages = state
        .cluster()
        .dispatcher_mut()
        .quotas_mut()
        .take_messages();
    for (host, message) in messages {
        log::info!(host:% = host, account = message.account, notice:? = message.notice; "holder of an account's share");
        send_message(state, &message::Message::Role(message), &[host]).await;
    }
}

/// Sends the messages of one round in a fleet with relays.
async fn send_round(state: &state::State, round: u32, now: instant::Instant) {
    let member = state.member();
    for (message, hosts) in round_messages(state, member, round, now) {
        send_message(state, &message, &hosts).await;
    }
}

/// Returns the messages of one round in a fleet with relays, each with its recipients.
fn round_messages(
    state: &state::State,
    member: traffic::Member,
    round: u32,
    now: instant::Instant,
) -> Vec<(message::Message, Vec<net::SocketAddr>)> {
    let mut messages = Vec::new();
    let mut cluster = state.cluster();
    let report = cluster.dispatcher_mut().report(member, now);
    let dispatcher = cluster.dispatcher();
    let (fleet, own) = (dispatcher.fleet(), &state.identity);
    let round_number = traffic::Round(round);
    let (near_relays, remote_relays) = due_relays(dispatcher, own, round_number, now);
    let near_scope = round_number.same_region_scope();
    let has_remote_loads = round_number.has_cross_region_loads();
    let mut audiences = Vec::new();
    for (audience, relays, scope, has_loads) in [
        (traffic::Audience::NearRelays, near_relays, near_scope, true),
        (
            traffic::Audience::FarRelays,
            remote_relays,
            round_number.cross_region_scope(),
            has_remote_loads,
        ),
    ] {
        if !relays.is_empty() {
            audiences.push((audience, relays.clone()));
            let summary = fleet.summarize(&report, scope, has_loads, now);
            messages.push((message::Message::Summary(summary), relays));
        }
    }
    // Hosts that pass views on pass limits on as well.
    let recipients = view_recipients(fleet, own, now);
    audiences.push((traffic::Audience::Zone, recipients.clone()));
    if fleet.is_view_publisher(&own.zone, &own.host, now) {
        let view = fleet.view(
            &report,
            dispatcher.topology(),
            near_scope,
            has_remote_loads,
            now,
        );
        messages.push((message::Message::View(view), recipients));
    }
    let relays = own_relays(fleet, own, now);
    let is_near = |address: net::SocketAddr, zone: &name::Zone| {
        *zone == own.zone
            && relays
                .as_ref()
                .is_none_or(|relays| relays.contains(&address))
    };
    let direct = state.contacts.due_for_report(is_near, now);
    audiences.push((traffic::Audience::Peers, direct.clone()));
    messages.push((message::Message::Report(report), direct));
    let limits = cluster.dispatcher_mut().limits_mut();
    for (audience, hosts) in audiences {
        let told = (!hosts.is_empty()).then(|| limits.report(audience, now));
        if let Some(told) = told.flatten() {
            messages.push((message::Message::Limits(told), hosts));
        }
    }
    messages
}

fn is_small(fleet: &traffic::Fleet, now: instant::Instant) -> bool {
    fleet.host_count(now) < traffic::Fleet::MIN_RELAYED_HOSTS
}

/// Returns the relays that a host of a large zone reports to, or `None` for the whole zone.
fn own_relays(
    fleet: &traffic::Fleet,
    own: &traffic::Identity,
    now: instant::Instant,
) -> Option<Vec<net::SocketAddr>> {
    let is_large = fleet.is_large_zone(&own.zone, now);
    is_large.then(|| addresses(fleet.zone_relays(&own.zone, now)))
}

/// Returns the hosts to which this one sends or forwards a fleet view.
fn view_recipients(
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

/// Returns the relays of other zones that are due for this zone's summary: those of the own
/// region, and those of other regions.
fn due_relays(
    dispatcher: &traffic::Dispatcher<queue::Waiter>,
    identity: &traffic::Identity,
    round_number: traffic::Round,
    now: instant::Instant,
) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
    let fleet = dispatcher.fleet();
    let position = fleet.zone_position(&identity.zone, &identity.host, now);
    let mut near = Vec::new();
    let mut far = Vec::new();
    for (other, relay) in fleet.remote_relays(&identity.zone, now) {
        let is_near = dispatcher.topology().region(&relay.zone) == Some(&identity.region);
        if round_number.is_due(position, other, is_near) {
            let due = if is_near { &mut near } else { &mut far };
            due.push(relay.control_address);
        }
    }
    (near, far)
}

/// Sends one message to the hosts with these control addresses.
pub(crate) async fn send_message(
    state: &state::State,
    message: &message::Message,
    hosts: &[net::SocketAddr],
) {
    match bincode::DefaultOptions::new().serialize(message) {
        Ok(bytes) => send_bytes(state, &bytes, hosts).await,
        Err(error) => {
            log::error!(error:% = error; "message to other hosts could not be serialized; not sent");
        }
    }
}

async fn send_bytes(state: &state::State, bytes: &[u8], hosts: &[net::SocketAddr]) {
    let port = state.report_port();
    for control in hosts {
        let address = net::SocketAddr::new(control.ip(), port);
        if let Err(error) = state.reports.send_to(bytes, address).await {
            log::debug!(address:% = address, error:% = error; "datagram could not be sent; dropped");
        }
    }
}

/// Sends one message at once; it is dropped if the socket has no room, as a datagram may be lost.
pub(crate) fn send_now(state: &state::State, message: &message::Message, host: net::SocketAddr) {
    let Ok(bytes) = bincode::DefaultOptions::new().serialize(message) else {
        log::error!("message to another host could not be serialized; not sent");
        return;
    };
    let address = net::SocketAddr::new(host.ip(), state.report_port());
    if let Err(error) = state.reports.try_send_to(&bytes, address) {
        log::debug!(address:% = address, error:% = error; "datagram could not be sent; dropped");
    }
}

fn is_behind(state: &state::State) -> bool {
    let now = state.clock.now();
    let cluster = state.cluster();
    let own = cluster.versions();
    let mut others = cluster.dispatcher().fleet().live(now);
    let is_empty = own.config.is_zero() || own.targets.is_zero();
    is_empty || others.any(|member| member.versions.is_newer(own))
}

/// Receives the messages of other hosts until the task is dropped.
pub(crate) async fn receive(state: sync::Arc<state::State>) -> error::Result<()> {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (length, from) = state.reports.recv_from(&mut buffer).await?;
        let message = match bincode::DefaultOptions::new().deserialize(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(from:% = from, error:% = error; "datagram could not be decoded; dropped");
                continue;
            }
        };
        match message {
            message::Message::Report(report) => receive_report(&state, report).await,
            message::Message::Member(member) => {
                let now = state.clock.now();
                let change = state.cluster().dispatcher_mut().apply_member(&member, now);
                record_change(&state, &member, change, now);
            }
            message::Message::Summary(summary) => {
                let now = state.clock.now();
                let changes = state.cluster().dispatcher_mut().apply_summary(summary, now);
                record_all(&state, &changes, now);
            }
            message::Message::View(view) => receive_view(&state, view, &buffer[..length]).await,
            message::Message::Limits(limits) => {
                let now = state.clock.now();
                let is_changed = state
                    .cluster()
                    .dispatcher_mut()
                    .limits_mut()
                    .apply(&limits, now);
                if is_changed {
                    log::info!(from:% = from, notices = limits.notices.len(); "limits of targets changed, as another host tells");
                }
            }
            message::Message::TokenRequest { number, account } => {
                let grant = tokens::grant(&state, account);
                let answer = message::Message::TokenReply { number, grant };
                send_message(&state, &answer, &[from]).await;
            }
            message::Message::TokenReply { number, grant } => {
                tokens::complete(&state, from, number, grant);
            }
            message::Message::Role(message) => {
                let now = state.clock.now();
                state
                    .cluster()
                    .dispatcher_mut()
                    .quotas_mut()
                    .receive(message, now);
                send_role_messages(&state).await;
            }
            message::Message::TokenReturn { account } => {
                let mut cluster = state.cluster();
                cluster.dispatcher_mut().quotas_mut().return_token(account);
            }
        }
    }
}

/// Applies a host's report; a relay replies with a full view if the host has none yet.
async fn receive_report(state: &state::State, report: traffic::Report) {
    let now = state.clock.now();
    let member = report.member.clone();
    let is_view_needed = report.is_view_needed;
    let change = state.cluster().dispatcher_mut().apply_report(report, now);
    record_change(state, &member, change, now);
    let view = is_view_needed
        .then(|| whole_view(state, &member, now))
        .flatten();
    let knows_no_limits =
        view.is_some() || change == traffic::MemberChange::Joined && is_first(state, now);
    let limits = {
        let cluster = state.cluster();
        let limits = knows_no_limits.then(|| cluster.dispatcher().limits().full_report(now));
        limits.flatten()
    };
    let messages = [
        view.map(message::Message::View),
        limits.map(message::Message::Limits),
    ];
    for message in messages.into_iter().flatten() {
        send_message(state, &message, &[member.control_address]).await;
    }
}

/// Returns whether this host, of a small fleet, tells those that join what they missed.
fn is_first(state: &state::State, now: instant::Instant) -> bool {
    let cluster = state.cluster();
    let fleet = cluster.dispatcher().fleet();
    // The host that joined may come before this one.
    is_small(fleet, now) && fleet.position(&state.identity.host, now) <= 1
}

/// Returns a view of all hosts, if this host is a relay of the requesting host's zone.
fn whole_view(
    state: &state::State,
    requester: &traffic::Member,
    now: instant::Instant,
) -> Option<traffic::FleetView> {
    let cluster = state.cluster();
    let (dispatcher, own) = (cluster.dispatcher(), &state.identity);
    let fleet = dispatcher.fleet();
    let is_relay = requester.zone == own.zone
        && !is_small(fleet, now)
        && fleet.zone_position(&own.zone, &own.host, now) < traffic::Fleet::RELAYS_PER_ZONE;
    let report = is_relay.then(|| fleet.own_report()).flatten()?;
    Some(fleet.view(
        report,
        dispatcher.topology(),
        traffic::Scope::Full,
        true,
        now,
    ))
}

/// Applies the fleet view of a relay in the own zone, and forwards the datagram unchanged to the
/// hosts that this one is responsible for, if any.
async fn receive_view(state: &state::State, view: traffic::FleetView, message: &[u8]) {
    let now = state.clock.now();
    let own = &state.identity;
    if view.zone != own.zone {
        log::warn!(zone:% = view.zone; "fleet view of another zone dropped");
        return;
    }
    let (changes, recipients) = {
        let mut cluster = state.cluster();
        let changes = cluster.dispatcher_mut().apply_view(view, now);
        let fleet = cluster.dispatcher().fleet();
        let live = fleet.live(now);
        live.for_each(|member| state.contacts.record_heard(member, now));
        (changes, view_recipients(fleet, own, now))
    };
    record_all(state, &changes, now);
    send_bytes(state, message, &recipients).await;
}

fn record_all(
    state: &state::State,
    changes: &[(traffic::Member, traffic::MemberChange)],
    now: instant::Instant,
) {
    for (member, change) in changes {
        record_change(state, member, *change, now);
    }
}

/// Records a change of a host that was heard.
fn record_change(
    state: &state::State,
    member: &traffic::Member,
    change: traffic::MemberChange,
    now: instant::Instant,
) {
    state.contacts.record_heard(member, now);
    if change != traffic::MemberChange::Same {
        log::info!(host:% = member.host, phase:% = member.phase, life = member.incarnation, news:% = change; "host changed");
    }
    if change == traffic::MemberChange::Joined {
        state.changed.notify_one();
    }
    let is_newer = {
        let cluster = state.cluster();
        !cluster.is_store_reader() && member.versions.is_newer(cluster.versions())
    };
    if is_newer {
        state.pulls.notify();
    }
}
