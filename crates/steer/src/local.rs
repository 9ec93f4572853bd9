//! Telling the host's own entry and look-up processes what is known.

use std::io;
use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::control;
use skylark_wire::rpc;
use tarpc::client;
use tarpc::context;

use super::known;
use super::state;

const RETELL_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Which of the host's processes is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The entry process.
    Entry,
    /// The look-up process.
    Lookup,
}

/// A reading of the receiver's clock and the own time at which it had arrived.
#[derive(Clone, Copy, Debug)]
struct Reading {
    theirs: instant::Instant,
    own: instant::Instant,
}

/// Tells one process what is known, on each change and from time to time.
///
/// # Errors
///
/// Fails when the process does not answer.
pub async fn run(state: sync::Arc<state::State>, role: Role) -> io::Result<()> {
    let told = keep_telling(&state, role).await;
    if role == Role::Entry {
        state.with(|known| known.entry = None);
    }
    told
}

async fn keep_telling(state: &state::State, role: Role) -> io::Result<()> {
    let address = address(state, role);
    let transport = rpc::connect_json(address).await?;
    let peer = control::ControlClient::new(client::Config::default(), transport).spawn();
    let mut changed = state.changed.subscribe();
    let mut holds = unit::Version::NONE;
    loop {
        let installed = tell(state, &peer, holds).await?;
        if role == Role::Entry {
            note(state, &installed);
        }
        holds = installed.version;
        if !installed.needs_records {
            let _woken = tokio::time::timeout(RETELL_PERIOD, changed.changed()).await;
        }
    }
}

const fn address(state: &state::State, role: Role) -> record::Address {
    match role {
        Role::Entry => state.settings.ports.control,
        Role::Lookup => state.settings.lookup_control,
    }
}

async fn tell(
    state: &state::State,
    peer: &control::ControlClient,
    holds: unit::Version,
) -> io::Result<control::Installed> {
    let theirs = peer
        .clock(context::current())
        .await
        .map_err(io::Error::other)?;
    let reading = Reading {
        theirs,
        own: state.clock.now(),
    };
    let known = state.view();
    let records = (known.version > holds).then(|| known.records.as_ref().clone());
    let view = control::View {
        version: known.version,
        records,
        fresh_at: known.fresh_at.and_then(|at| reading.convert(at)),
        hosts: known.hosts,
    };
    peer.install(context::current(), view)
        .await
        .map_err(io::Error::other)
}

impl Reading {
    /// Returns an instant of the receiver's clock that is not after the own instant `at`.
    ///
    /// There is none when `at` lies before the receiver's life.
    fn convert(&self, at: instant::Instant) -> Option<instant::Instant> {
        let age = self.own.since(at);
        let life = self.theirs.since(instant::Instant::ORIGIN);
        (life >= age).then(|| self.theirs.before(age))
    }
}

fn note(state: &state::State, installed: &control::Installed) {
    let Some(incarnation) = installed.incarnation.clone() else {
        return;
    };
    let entry = known::Entry {
        incarnation,
        phase: installed.phase,
        version: installed.version,
    };
    state.with(|known| known.entry = Some(entry));
}
