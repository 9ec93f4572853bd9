//! The role of the host that holds a region's share of a limit, and how it changes hands.

use std::net;
use std::time;

use crate::budget;
use crate::instant;

/// Time for which a host may hold a share although its own view names another host; the news of the
/// hand-over may have come before the news that led to it.
const VIEW_LAG: time::Duration = time::Duration::from_secs(2);
/// Time without a word of the previous holder after which the role is taken over from a live one.
const TAKEOVER_TIME: time::Duration = time::Duration::from_secs(2);
/// Time in which a host that did not run hears whether another one has replaced it: a report each
/// way, and the hand-over.
const LISTEN_TIME: time::Duration = time::Duration::from_millis(750);
/// Time without updates after which other hosts may have replaced this one.
const LAPSE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// The host that holds a region's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Holder {
    /// This host.
    Here,
    /// The host with this control address.
    At(net::SocketAddr),
}

/// What hosts tell each other about the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum RoleNotice {
    /// The sender asks for the role.
    Request,
    /// The sender grants nothing any more; the recipient holds the share, with this level of its
    /// bucket.
    HandOver(budget::Amount),
    /// The sender holds the share.
    Holding,
    /// The host with this control address got the role from the sender.
    Moved(net::SocketAddr),
}

/// The tokens with which a host takes over the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Start {
    /// Those of a share that nobody used for some time.
    Idle,
    /// None: the previous holder may have granted until now.
    Empty,
    /// The rest of the previous holder's tokens.
    Rest(budget::Amount),
}

/// What follows from a change of the role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Effect {
    /// Tokens of a share that this host holds from now on.
    pub(super) start: Option<Start>,
    /// What to tell another host.
    pub(super) notice: Option<(net::SocketAddr, RoleNotice)>,
}

/// The role of the host that holds a region's share of a limit.
///
/// Rendezvous hashing elects the holder, but hosts learn of each other at different times. So the
/// role is passed on like a token: a host ends to grant before it hands over, and an elected host
/// waits for that as long as the previous holder is live and answers. Two hosts hold a share only
/// if they do not hear each other, or until they do after they started together.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareRole {
    elected: Holder,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This host holds the share. If it got the role while another host was elected in its own view,
    /// that host, and until when this may be.
    Holding(Option<(net::SocketAddr, instant::Instant)>),
    /// This host is elected and waits for the previous holder, if it knows one, since an instant.
    Waiting(Option<net::SocketAddr>, instant::Instant),
    /// Another host holds the share; the one that got it from this host, and when.
    Other(Option<(net::SocketAddr, instant::Instant)>),
}

impl ShareRole {
    /// Creates the role of a limit that is new to this host.
    pub(super) const fn new(elected: Holder) -> Self {
        let state = match elected {
            Holder::Here => State::Holding(None),
            Holder::At(_) => State::Other(None),
        };
        Self { elected, state }
    }

    /// Returns the host to ask for tokens; `None` if nobody is known to hold the share.
    pub(super) const fn holder(&self) -> Option<Holder> {
        match (self.state, self.elected) {
            (State::Holding(_), _) => Some(Holder::Here),
            (State::Waiting(Some(from), _), _) => Some(Holder::At(from)),
            (State::Waiting(None, _), _) | (State::Other(_), Holder::Here) => None,
            (State::Other(_), Holder::At(host)) => Some(Holder::At(host)),
        }
    }

    /// Applies the election of a holder, given this host's level; `is_live` tells whether a host is
    /// heard.
    pub(super) fn elect(
        &mut self,
        elected: Holder,
        level: budget::Amount,
        is_live: impl Fn(net::SocketAddr) -> bool,
        now: instant::Instant,
    ) -> Effect {
        let previous = std::mem::replace(&mut self.elected, elected);
        match (self.state, elected) {
            (State::Holding(_), Holder::Here) => {
                self.state = State::Holding(None);
                Effect::default()
            }
            (State::Holding(Some((host, until))), Holder::At(_))
                if elected == Holder::At(host) && now < until =>
            {
                Effect::default()
            }
            (State::Holding(_), Holder::At(host)) => {
                self.state = State::Other(Some((host, now)));
                Effect {
                    start: None,
                    notice: Some((host, RoleNotice::HandOver(level))),
                }
            }
            (State::Waiting(..), Holder::At(_)) => {
                self.state = State::Other(None);
                Effect::default()
            }
            (State::Other(_), Holder::At(_)) => Effect::default(),
            (State::Waiting(from, since), Holder::Here) => self.wait(from, since, is_live, now),
            (State::Other(_), Holder::Here) => match previous {
                Holder::At(from) => self.wait(Some(from), now, is_live, now),
                Holder::Here => self.hold(Start::Empty, now),
            },
        }
    }

    /// Waits for the previous holder, or takes over if it is gone or silent.
    fn wait(
        &mut self,
        from: Option<net::SocketAddr>,
        since: instant::Instant,
        is_live: impl Fn(net::SocketAddr) -> bool,
        now: instant::Instant,
    ) -> Effect {
        if from.is_some_and(|host| !is_live(host)) {
            return self.hold(Start::Idle, now);
        }
        let limit = from.map_or(LISTEN_TIME, |_host| TAKEOVER_TIME);
        if now.since(since) >= limit {
            return self.hold(Start::Empty, now);
        }
        self.state = State::Waiting(from, since);
        Effect {
            start: None,
            notice: from.map(|host| (host, RoleNotice::Request)),
        }
    }

    fn hold(&mut self, start: Start, now: instant::Instant) -> Effect {
        let other = match self.elected {
            Holder::Here => None,
            Holder::At(host) => Some((host, now + VIEW_LAG)),
        };
        self.state = State::Holding(other);
        Effect {
            start: Some(start),
            notice: None,
        }
    }

    /// Records that this host has not run since `updated_at`: others may hold its share, and it takes
    /// them for gone until it hears them again.
    pub(super) fn observe_gap(
        &mut self,
        updated_at: instant::Instant,
        has_peers: bool,
        now: instant::Instant,
    ) {
        if has_peers && now.since(updated_at) >= LAPSE_TIME {
            self.state = State::Waiting(None, now);
        }
    }

    /// Applies what another host tells, given this host's level.
    pub(super) fn receive(
        &mut self,
        from: net::SocketAddr,
        notice: RoleNotice,
        level: budget::Amount,
        now: instant::Instant,
    ) -> Effect {
        let reply = |notice| Effect {
            start: None,
            notice: Some((from, notice)),
        };
        match (notice, self.state) {
            (RoleNotice::Request, State::Holding(_)) if self.elected == Holder::At(from) => {
                self.state = State::Other(Some((from, now)));
                reply(RoleNotice::HandOver(level))
            }
            (RoleNotice::Request, State::Holding(_)) => reply(RoleNotice::Holding),
            (RoleNotice::Request, State::Waiting(Some(previous), _)) if previous != from => {
                reply(RoleNotice::Moved(previous))
            }
            (RoleNotice::Request, State::Other(Some((host, at))))
                if host != from && now.since(at) < VIEW_LAG =>
            {
                reply(RoleNotice::Moved(host))
            }
            (RoleNotice::Request, State::Waiting(..) | State::Other(_)) => {
                reply(RoleNotice::HandOver(budget::Amount::ZERO))
            }
            (RoleNotice::HandOver(rest), State::Waiting(..) | State::Other(_)) => {
                self.hold(Start::Rest(rest), now)
            }
            (RoleNotice::Holding, State::Waiting(Some(previous), _)) if previous == from => {
                self.state = State::Waiting(Some(from), now);
                Effect::default()
            }
            (RoleNotice::Moved(host), State::Waiting(Some(previous), since))
                if previous == from =>
            {
                self.state = State::Waiting(Some(host), since);
                Effect {
                    start: None,
                    notice: Some((host, RoleNotice::Request)),
                }
            }
            (RoleNotice::HandOver(_) | RoleNotice::Holding | RoleNotice::Moved(_), _) => {
                Effect::default()
            }
        }
    }
}
