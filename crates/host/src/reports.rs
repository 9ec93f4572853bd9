//! Messages between hosts, in one datagram each.
//!
//! A small fleet sends each report to each host. In a larger one a host tells
//! its own availability zone only; the zone's relays add the reports up, send
//! the sums to the other zones' relays, and pass on what they get from them.

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
use super::passing;
use super::state;
use super::waiting;

/// Time between two reports, and between two looks at shares and plans.
const ROUND: time::Duration = time::Duration::from_millis(250);
/// Shortest time between two reports, when there is news.
const SHORTEST_GAP: time::Duration = time::Duration::from_millis(30);
/// Rounds for which another host must know more before it is asked by one that reads the store.
const BEHIND_FOR: u32 = 2;
/// Largest message.
const MESSAGE_BYTES: usize = 32 * 1_024;
/// Hosts up to which each one is told every report.
const SMALL_FLEET: usize = 16;

/// Tells the other hosts what this one does, until the task is dropped.
pub(crate) async fn tell(state: sync::Arc<state::State>) -> error::Result<()> {
    let mut round = 0_u32;
    let mut behind = 0_u32;
    loop {
        let is_news = tokio::select! {
            () = tokio::time::sleep(ROUND) => false,
            () = state.news.notified() => true,
        };
        let now = state.clock.now();
        state.connections.expire(now);
        round = round.wrapping_add(1);
        let cadence = if is_news {
            traffic::Cadence::News
        } else {
            traffic::Cadence::Round(round)
        };
        send(&state, cadence).await;
        state.knowledge().refresh(now);
        behind = if is_behind(&state) { behind + 1 } else { 0 };
        if behind >= BEHIND_FOR {
            state.behind.notify_one();
        }
        if is_news {
            tokio::time::sleep(SHORTEST_GAP).await;
        }
    }
}

async fn send(state: &state::State, cadence: traffic::Cadence) {
    let now = state.clock.now();
    let member = state.member();
    let (report, direct, relays, summary) = {
        let mut known = state.knowledge();
        let report = known.desk_mut().report(member, now);
        let fleet = known.desk().fleet();
        let is_small = fleet.known(now).count() < SMALL_FLEET;
        let zone = &state.identity.zone;
        let near = |other: &name::Zone| is_small || other == zone;
        let direct = state.peers.due(near, now);
        let relays = if is_small {
            Vec::new()
        } else {
            due_relays(known.desk(), &state.identity, cadence, now)
        };
        let summary = (!relays.is_empty()).then(|| fleet.summarize(&report, now));
        (report, direct, relays, summary)
    };
    post(state, &message::Message::Report(report), &direct).await;
    if let Some(summary) = summary {
        post(state, &message::Message::Summary(summary), &relays).await;
    }
}

/// Returns the relays of other zones that are to get this zone's sum now.
fn due_relays(
    desk: &traffic::Desk<waiting::Waker>,
    identity: &traffic::Identity,
    cadence: traffic::Cadence,
    now: instant::Instant,
) -> Vec<net::SocketAddr> {
    let fleet = desk.fleet();
    let place = fleet.place_in(&identity.zone, &identity.host, now);
    let relays = fleet.relays(&identity.zone, now).into_iter();
    let due = relays.filter(|relay| {
        let is_near = desk.layout().region(&relay.zone) == Some(&identity.region);
        cadence.is_due(place, is_near)
    });
    due.map(|relay| relay.control).collect()
}

/// Sends one message to the hosts with these control addresses.
pub(crate) async fn post(
    state: &state::State,
    message: &message::Message,
    hosts: &[net::SocketAddr],
) {
    let port = state.settings().report_port;
    let bytes = match bincode::DefaultOptions::new().serialize(message) {
        Ok(bytes) => bytes,
        Err(fault) => {
            log::error!(error:% = fault; "message to other hosts could not be written");
            return;
        }
    };
    for control in hosts {
        let address = net::SocketAddr::new(control.ip(), port);
        if let Err(fault) = state.reports.send_to(&bytes, address).await {
            log::debug!(address:% = address, error:% = fault; "message not sent");
        }
    }
}

fn is_behind(state: &state::State) -> bool {
    let now = state.clock.now();
    let known = state.knowledge();
    let own = known.versions();
    let mut others = known.desk().fleet().live(now);
    let is_empty = own.orders == 0 || own.targets == 0;
    is_empty || others.any(|member| member.versions.is_newer(own))
}

/// Takes in the other hosts' messages, until the task is dropped.
pub(crate) async fn hear(state: sync::Arc<state::State>) -> error::Result<()> {
    let mut buffer = vec![0; MESSAGE_BYTES];
    let mut passing = passing::Passing::default();
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
            message::Message::Report(report) => {
                let now = state.clock.now();
                let member = report.member.clone();
                let news = state.knowledge().desk_mut().hear(report, now);
                take(&state, &member, news, now);
            }
            message::Message::Summary(summary) => pass_on(&state, &passing, summary).await,
            message::Message::Passed(summary) => {
                let now = state.clock.now();
                passing.hear(&summary.zone, now);
                take_summary(&state, summary, now);
            }
            message::Message::Ask { number, account } => {
                let grant = asks::grant(&state, account);
                let answer = message::Message::Grant { number, grant };
                post(&state, &answer, &[from]).await;
            }
            message::Message::Grant { number, grant } => state.asks.answer(number, grant),
            message::Message::Refund { account } => {
                let mut known = state.knowledge();
                known.desk_mut().quotas_mut().take_back(account);
            }
        }
    }
}

/// Takes in another zone's sum, and passes it on to the own zone.
async fn pass_on(state: &state::State, passing: &passing::Passing, summary: traffic::Summary) {
    let now = state.clock.now();
    let is_due = passing.is_due(state, &summary.zone, now);
    let passed = is_due.then(|| message::Message::Passed(summary.clone()));
    take_summary(state, summary, now);
    if let Some(passed) = passed {
        let mates = zone_mates(state, now);
        post(state, &passed, &mates).await;
    }
}

fn zone_mates(state: &state::State, now: instant::Instant) -> Vec<net::SocketAddr> {
    let known = state.knowledge();
    let live = known.desk().fleet().live(now);
    let mates = live.filter(|member| member.zone == state.identity.zone);
    mates.map(|member| member.control).collect()
}

fn take_summary(state: &state::State, summary: traffic::Summary, now: instant::Instant) {
    let members: Vec<traffic::Member> = summary.members.iter().map(|(m, _age)| m.clone()).collect();
    let news = state.knowledge().desk_mut().hear_summary(summary, now);
    for member in members {
        let found = news.iter().find(|(other, _news)| other.host == member.host);
        let news = found.map_or(traffic::News::Same, |(_member, news)| *news);
        take(state, &member, news, now);
    }
}

/// Takes in what changed with a host that was heard.
fn take(
    state: &state::State,
    member: &traffic::Member,
    news: traffic::News,
    now: instant::Instant,
) {
    state.peers.heard(member, now);
    if news != traffic::News::Same {
        log::info!(host:% = member.host, phase:? = member.phase, life = member.life, news:? = news; "host heard");
    }
    if news == traffic::News::Joined {
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
