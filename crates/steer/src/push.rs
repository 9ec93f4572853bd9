//! Pushes views (records and hosts) to the host's own entry and look-up processes.
//!
//! A view is pushed on each change, and repeated with a fresh proof while nothing changes.

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

use super::control_state;
use super::state;

/// Longest time between two pushes to one process.
const REPEAT_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Process on this host that receives views.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// The entry process.
    Entry,
    /// The look-up process.
    Lookup,
}

/// Time on the recipient's clock, with the own time at which the reply arrived.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    remote: instant::Instant,
    local: instant::Instant,
}

/// Pushes views to one process, on each change and at least every `REPEAT_PERIOD`.
///
/// # Errors
///
/// Fails when the process cannot be reached or does not answer.
pub async fn run(state: sync::Arc<state::State>, recipient: Recipient) -> io::Result<()> {
    let pushed = push_views(&state, recipient).await;
    if recipient == Recipient::Entry {
        state.with(|control| control.entry = None);
    }
    pushed
}

async fn push_views(state: &state::State, recipient: Recipient) -> io::Result<()> {
    let address = address(state, recipient);
    let transport = rpc::connect_json(address).await?;
    let client = control::ControlClient::new(client::Config::default(), transport).spawn();
    let mut changed = state.changed.subscribe();
    let mut installed_version = unit::Version::NONE;
    loop {
        let installed = push_view(state, &client, installed_version).await?;
        if recipient == Recipient::Entry {
            record_entry(state, &installed);
        }
        installed_version = installed.version;
        if !installed.needs_records {
            let _woken = tokio::time::timeout(REPEAT_PERIOD, changed.changed()).await;
        }
    }
}

const fn address(state: &state::State, recipient: Recipient) -> record::Address {
    match recipient {
        Recipient::Entry => state.settings.ports.control,
        Recipient::Lookup => state.settings.lookup_control,
    }
}

async fn push_view(
    state: &state::State,
    client: &control::ControlClient,
    installed_version: unit::Version,
) -> io::Result<control::Installed> {
    let remote = client
        .clock(context::current())
        .await
        .map_err(io::Error::other)?;
    let sample = ClockSample {
        remote,
        local: state.clock.now(),
    };
    let current = state.view();
    let records = (current.version > installed_version).then(|| current.records.as_ref().clone());
    let view = control::View {
        version: current.version,
        records,
        fresh_at: current.fresh_at.and_then(|at| sample.convert(at)),
        hosts: current.hosts,
    };
    client
        .install(context::current(), view)
        .await
        .map_err(io::Error::other)
}

impl ClockSample {
    /// Returns an instant of the recipient's clock that is at or before the own instant `at`.
    ///
    /// Returns `None` when `at` is earlier than the recipient's start.
    fn convert(&self, at: instant::Instant) -> Option<instant::Instant> {
        let age = self.local.since(at);
        let uptime = self.remote.since(instant::Instant::ORIGIN);
        (uptime >= age).then(|| self.remote.before(age))
    }
}

fn record_entry(state: &state::State, installed: &control::Installed) {
    let Some(incarnation) = installed.incarnation.clone() else {
        return;
    };
    let entry = control_state::EntryStatus {
        incarnation,
        phase: installed.phase,
        version: installed.version,
    };
    state.with(|control| control.entry = Some(entry));
}
