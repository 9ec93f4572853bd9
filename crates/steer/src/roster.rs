//! Heartbeats of this host, and the hosts whose heartbeats still rise.

use std::collections;
use std::sync;

use skylark_core::instant;
use skylark_core::name;
use skylark_core::unit;
use skylark_wire::control;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::state;

const HOST_PREFIX: &str = "host/";
const MISSED_HEARTBEATS: u32 = 3;

/// The row by which a host tells that it lives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Heartbeat {
    host: control::Host,
    version: unit::Version,
    count: u64,
}

/// When a host's heartbeat was last seen to rise.
#[derive(Clone, Copy, Debug)]
struct Seen {
    count: u64,
    at: instant::Instant,
}

/// Writes and reads heartbeats until the task is dropped.
///
/// # Errors
///
/// Never fails: a call that fails is tried again after the pause.
pub async fn run(state: sync::Arc<state::State>) -> platform::Result<()> {
    let mut seen = collections::BTreeMap::new();
    let mut count = 0;
    loop {
        count += 1;
        if let Err(error) = beat(&state, count).await {
            log::debug!(error:% = error; "heartbeat not written");
        }
        if let Err(error) = look(&state, &mut seen).await {
            log::debug!(error:% = error; "heartbeats not read");
        }
        tokio::time::sleep(state.settings.heartbeat.get()).await;
    }
}

async fn beat(state: &state::State, count: u64) -> platform::Result<()> {
    let Some(entry) = state.known().entry else {
        return Ok(());
    };
    let host = control::Host {
        host: state.settings.host.clone(),
        incarnation: entry.incarnation.clone(),
        zone: state.settings.zone.clone(),
        ports: state.settings.ports,
        phase: entry.phase,
    };
    let heartbeat = Heartbeat {
        host,
        version: entry.version,
        count,
    };
    let value = serde_json::to_value(heartbeat).map_err(|error| platform::Error::BadAnswer {
        reason: error.to_string(),
    })?;
    let key = format!("{HOST_PREFIX}{}", entry.incarnation);
    let write = platform::Write {
        key,
        value: Some(value),
    };
    state
        .platform
        .commit(&platform::Commit {
            conditions: Vec::new(),
            writes: vec![write],
        })
        .await
}

async fn look(
    state: &state::State,
    seen: &mut collections::BTreeMap<name::Incarnation, Seen>,
) -> platform::Result<()> {
    let rows = state.platform.rows(HOST_PREFIX).await?;
    let now = state.clock.now();
    let limit = state.settings.heartbeat.get() * MISSED_HEARTBEATS;
    let mut hosts = Vec::new();
    for row in rows {
        let Ok(heartbeat) = serde_json::from_value::<Heartbeat>(row.value) else {
            continue;
        };
        let last = seen
            .entry(heartbeat.host.incarnation.clone())
            .or_insert(Seen {
                count: heartbeat.count,
                at: now,
            });
        if heartbeat.count > last.count {
            *last = Seen {
                count: heartbeat.count,
                at: now,
            };
        }
        if now.since(last.at) <= limit {
            hosts.push(heartbeat.host);
        }
    }
    if hosts != state.known().hosts {
        log::info!(hosts = hosts.len(); "entry hosts known");
        state.learn(|known| known.hosts = hosts);
        state.tell();
    }
    Ok(())
}
