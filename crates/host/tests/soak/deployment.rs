//! Host processes and test doubles of one soak run.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use super::common;
use super::common::host;
use super::common::store;
use super::common::target;
use super::history;
use super::proxy;

/// Targets of a run; enough that a zone keeps some when one of them fails.
pub(crate) const TARGETS: usize = 6;
const ZONES: [(&str, &str); 2] = [("a1", "a"), ("b1", "b")];
/// Rate of the account that no run is to bring over its limit.
const AMPLE_RATE: u64 = 100_000;
/// Version of the first configuration.
const FIRST_VERSION: u64 = 16;

/// Rows of another table that are written at a time.
const OTHER_ROWS: usize = 10;
/// Age up to which copies of the store are kept.
const MAX_COPY_AGE: time::Duration = time::Duration::from_millis(6_500);

/// A version of the configuration, and when the store acknowledged it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Version {
    pub(crate) number: u64,
    pub(crate) at: time::Instant,
}

/// Host processes and test doubles of one soak run.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) store: store::Store,
    pub(crate) store_proxies: Vec<proxy::Proxy>,
    pub(crate) hosts: Vec<tokio::sync::Mutex<host::Host>>,
    /// Starts of each host's process, less the first.
    pub(crate) incarnations: Vec<atomic::AtomicU64>,
    pub(crate) caller_proxies: Vec<proxy::Proxy>,
    pub(crate) targets: Vec<target::Target>,
    pub(crate) target_proxies: Vec<proxy::Proxy>,
    /// Held while a target drains, so that no other drain ends it early.
    pub(crate) drain_locks: Vec<tokio::sync::Mutex<()>>,
    pub(crate) history: history::History,
    version: sync::Mutex<Version>,
    /// State that each target has registered last.
    states: Vec<sync::Mutex<&'static str>>,
    copies: sync::Mutex<collections::VecDeque<(time::Instant, store::Contents)>>,
    numbers: atomic::AtomicU64,
}

impl Deployment {
    /// Starts the processes, and waits until all are ready.
    pub(crate) async fn start(hosts: usize) -> Self {
        let store = store::Store::start().await;
        store.put("op", "config", &configuration(0));
        let mut targets = Vec::new();
        let mut target_proxies = Vec::new();
        for n in 0..TARGETS {
            let target = target::Target::start(&format!("i-{n}")).await;
            target_proxies.push(proxy::Proxy::start(target.address).await);
            targets.push(target);
        }
        let mut deployment = Self {
            store,
            store_proxies: Vec::new(),
            hosts: Vec::new(),
            incarnations: Vec::new(),
            caller_proxies: Vec::new(),
            targets,
            target_proxies,
            drain_locks: (0..TARGETS)
                .map(|_n| tokio::sync::Mutex::default())
                .collect(),
            history: history::History::default(),
            version: sync::Mutex::new(Version {
                number: 0,
                at: time::Instant::now(),
            }),
            states: (0..TARGETS).map(|_n| sync::Mutex::new("ready")).collect(),
            copies: sync::Mutex::default(),
            numbers: atomic::AtomicU64::new(0),
        };
        for n in 0..TARGETS {
            deployment.register(n, "ready");
        }
        for n in 0..hosts {
            let (zone, region) = ZONES[n % ZONES.len()];
            let store_proxy = proxy::Proxy::start(deployment.store.address).await;
            let host = host::Host::start_at(host::Place {
                name: &format!("front-{zone}-{n}"),
                zone,
                region,
                store: store_proxy.address,
            });
            let caller_proxy = proxy::Proxy::start(host.callers).await;
            deployment.caller_proxies.push(caller_proxy);
            deployment.store_proxies.push(store_proxy);
            deployment.incarnations.push(atomic::AtomicU64::new(0));
            deployment.hosts.push(tokio::sync::Mutex::new(host));
        }
        for host in &deployment.hosts {
            let host = host.lock().await;
            common::eventually("each host is ready", || host.is_ready()).await;
        }
        deployment
    }

    /// Registers a target in the store.
    pub(crate) fn register(&self, target: usize, state: &'static str) {
        let mut registered = self.states[target].lock().expect("state");
        *registered = state;
        self.write_target(target, state);
    }

    /// Registers a target again in the state that it has.
    pub(crate) fn register_again(&self, target: usize) {
        let registered = self.states[target].lock().expect("state");
        self.write_target(target, *registered);
    }

    fn write_target(&self, target: usize, state: &str) {
        let (zone, _region) = ZONES[target % ZONES.len()];
        let address = self.target_proxies[target].address;
        self.targets[target].register_at(&self.store, state, address, zone);
    }

    /// Writes the next version: one more route, and a new key in place of the previous one.
    pub(crate) fn put_version(&self) {
        let mut version = self.version.lock().expect("version");
        version.number += 1;
        self.store
            .put("op", "config", &configuration(version.number));
        version.at = time::Instant::now();
    }

    /// Writes the newest version again.
    pub(crate) fn put_version_again(&self) {
        let version = self.version.lock().expect("version");
        self.store
            .put("op", "config", &configuration(version.number));
    }

    /// Writes rows that no host reads, so that a return loses many versions.
    pub(crate) fn write_other_rows(&self) {
        for n in 0..OTHER_ROWS {
            self.store.put("other", &n.to_string(), "");
        }
    }

    /// Keeps a copy of the store, and drops those that are too old.
    pub(crate) fn keep_copy(&self) {
        let now = time::Instant::now();
        let mut copies = self.copies.lock().expect("copies");
        copies.push_back((now, self.store.copy()));
        copies.retain(|(at, _copy)| now.duration_since(*at) < MAX_COPY_AGE);
    }

    /// Returns the youngest kept copy of an age, or the oldest if there is none.
    pub(crate) fn copy_of(&self, age: time::Duration) -> Option<store::Contents> {
        let now = time::Instant::now();
        let copies = self.copies.lock().expect("copies");
        let is_older = |at: &time::Instant| now.duration_since(*at) >= age;
        let older = copies.iter().rfind(|(at, _copy)| is_older(at));
        let (_at, copy) = older.or_else(|| copies.front())?;
        Some(copy.clone())
    }

    pub(crate) fn version(&self) -> Version {
        *self.version.lock().expect("version")
    }

    /// Returns an id that no other request has.
    pub(crate) fn next_id(&self) -> String {
        format!("r{}", self.numbers.fetch_add(1, atomic::Ordering::Relaxed))
    }
}

/// Returns a configuration: each version has one more route, and a key that the next one lacks.
fn configuration(number: u64) -> String {
    let version = format!("{:08x}", FIRST_VERSION + number);
    let text = host::configuration(&version, "/look/");
    let mut rules: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let paths = &mut rules["virtualHosts"][0]["paths"];
    let template = paths[0].clone();
    for n in 1..=number {
        let mut path = template.clone();
        path["name"] = format!("added-{n}").into();
        path["prefix"] = format!("/v{n}/").into();
        paths.as_array_mut().expect("paths").push(path);
    }
    let account = |name: &str, key: &str, rate: f64, burst: f64| {
        serde_json::json!({"name": name, "apiKeys": [key], "priority": 1, "ratePerS": rate,
            "burst": burst, "allowedRegions": []})
    };
    let accounts = rules["tenants"].as_array_mut().expect("accounts");
    accounts[0]["ratePerS"] = AMPLE_RATE.into();
    accounts[0]["burst"] = AMPLE_RATE.into();
    let (rate, burst) = (history::SMALL_RATE, history::SMALL_BURST);
    accounts.push(account("small", "key-small", rate, burst));
    accounts.push(account("brief", &version_key(number), 500.0, 500.0));
    rules.to_string()
}

/// Returns the key that only one version has.
pub(crate) fn version_key(version: u64) -> String {
    format!("key-brief-{version}")
}
