//! A host process as the platform starts it.

use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::time;

use super::Reply;
use super::store;

/// Name of the host in tests with one host.
const NAME: &str = "front-a1-1";

/// Where a host stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) region: &'a str,
    /// Where it reaches the store.
    pub(crate) store: net::SocketAddr,
}

impl<'a> Place<'a> {
    /// Places a host in the zone of tests with one.
    pub(crate) fn new(store: &store::Store, name: &'a str) -> Self {
        Self {
            name,
            zone: "a1",
            region: "a",
            store: store.address,
        }
    }
}

/// A host process, ended when it is dropped.
#[derive(Debug)]
pub(crate) struct Host {
    child: process::Child,
    directory: tempfile::TempDir,
    pub(crate) callers: net::SocketAddr,
    pub(crate) readiness: net::SocketAddr,
    pub(crate) lookups: net::SocketAddr,
    pub(crate) control: net::SocketAddr,
    pub(crate) metrics: net::SocketAddr,
}

impl Host {
    /// Starts a process that is ready.
    pub(crate) async fn start(store: &store::Store) -> Self {
        Self::start_named(store, NAME).await
    }

    /// Starts a process of a named host, and waits until it is ready.
    pub(crate) async fn start_named(store: &store::Store, name: &str) -> Self {
        Self::spawn(Place::new(store, name), None)
            .wait_until_ready()
            .await
    }

    /// Starts a process that writes its log to a pipe, and waits until it is ready.
    pub(crate) async fn start_with_log(store: &store::Store, log: std::io::PipeWriter) -> Self {
        Self::spawn(Place::new(store, NAME), Some(log))
            .wait_until_ready()
            .await
    }

    /// Starts a process with a grace period, and waits until it is ready.
    pub(crate) async fn start_with_grace(store: &store::Store, grace: time::Duration) -> Self {
        let change = |settings: &mut serde_json::Value| {
            settings["terms"]["bounds"]["graceS"] = grace.as_secs().into();
        };
        Self::spawn_changed(Place::new(store, NAME), None, change)
            .wait_until_ready()
            .await
    }

    async fn wait_until_ready(self) -> Self {
        let host = self;
        let began = time::Instant::now();
        while !host.is_ready().await {
            let log = host.log();
            assert!(began.elapsed() < super::WAIT_TIMEOUT, "not ready:\n{log}");
            tokio::time::sleep(super::POLL_INTERVAL).await;
        }
        host
    }

    /// Starts a process without waiting until it is ready.
    pub(crate) fn start_unready(store: &store::Store) -> Self {
        Self::spawn(Place::new(store, NAME), None)
    }

    /// Starts a process of a host at a place without waiting until it is ready.
    pub(crate) fn start_at(place: Place<'_>) -> Self {
        Self::spawn(place, None)
    }

    fn spawn(place: Place<'_>, pipe: Option<std::io::PipeWriter>) -> Self {
        Self::spawn_changed(place, pipe, |_settings| {})
    }

    /// Starts a process whose settings are changed first.
    fn spawn_changed(
        place: Place<'_>,
        pipe: Option<std::io::PipeWriter>,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        let directory = tempfile::tempdir().expect("directory");
        let [callers, readiness, control, lookups, reports, metrics] = free_addresses();
        let mut settings = settings(
            place.store,
            callers,
            readiness,
            control,
            lookups,
            reports.port(),
        );
        settings["self"]["node"] = place.name.into();
        settings["self"]["zone"] = place.zone.into();
        settings["self"]["region"] = place.region.into();
        change(&mut settings);
        std::fs::write(directory.path().join("boot.json"), settings.to_string()).expect("write");
        let child = launch(directory.path(), metrics.port(), pipe);
        Self {
            child,
            directory,
            callers,
            readiness,
            lookups,
            control,
            metrics,
        }
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let request = super::request("GET", "/api/ready", "r", Vec::new());
        if tokio::net::TcpStream::connect(self.readiness)
            .await
            .is_err()
        {
            return false;
        }
        super::call(self.readiness, request)
            .await
            .is_ok_and(|reply| reply.status == 200)
    }

    /// Sends a caller's request.
    pub(crate) async fn request(&self, method: &str, path: &str, id: &str) -> Reply {
        let request = super::request(method, path, id, Vec::new());
        super::call(self.callers, request).await.expect("answer")
    }

    pub(crate) fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = process::Command::new("kill")
            .args([signal, &id])
            .status()
            .expect("kill");
        assert!(sent.success());
    }

    /// Returns the peak memory of the process, in KiB.
    pub(crate) fn peak_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("status");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let mut words = line.expect("VmHWM").split_whitespace();
        words.nth(1).expect("figure").parse().expect("KiB")
    }

    /// Starts the process again after it has ended, with the same settings.
    pub(crate) fn restart(&mut self) {
        self.child = launch(self.directory.path(), self.metrics.port(), None);
    }

    /// Starts the process again with a named pipe as settings file; returns once the process has
    /// opened it, with the pipe and the settings to write to it.
    pub(crate) fn restart_without_settings(&mut self) -> (std::fs::File, String) {
        let path = self.directory.path().join("boot.json");
        let settings = std::fs::read_to_string(&path).expect("settings");
        std::fs::remove_file(&path).expect("remove");
        let made = process::Command::new("mkfifo").arg(&path).status();
        assert!(made.expect("mkfifo").success());
        self.restart();
        // Opening a pipe for writing returns once the process has opened it for reading.
        let writer = std::fs::File::options().write(true).open(&path);
        std::fs::remove_file(&path).expect("remove");
        std::fs::write(&path, &settings).expect("write");
        (writer.expect("open"), settings)
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("state");
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("state").is_some()
    }

    /// Returns the log of the process.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.directory.path().join("log")).expect("log")
    }

    /// Waits for a log line that contains every text.
    pub(crate) async fn wait_for_log(&self, texts: &[&str]) -> String {
        let began = time::Instant::now();
        loop {
            let log = self.log();
            let found = log
                .lines()
                .find(|line| texts.iter().all(|text| line.contains(text)));
            if let Some(line) = found {
                return line.to_owned();
            }
            assert!(
                began.elapsed() < super::WAIT_TIMEOUT,
                "no line with {texts:?} in\n{log}"
            );
            tokio::time::sleep(super::POLL_INTERVAL).await;
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Err(error) = self.child.kill() {
            eprintln!("host process: {error}");
        }
        if let Err(error) = self.child.wait() {
            eprintln!("host process: {error}");
        }
    }
}

fn launch(
    directory: &path::Path,
    metrics: u16,
    pipe: Option<std::io::PipeWriter>,
) -> process::Child {
    let mut options = std::fs::File::options();
    let log = options.create(true).append(true);
    let log = log.open(directory.join("log")).expect("log");
    command(&directory.join("boot.json"))
        .args(["--metrics", &metrics.to_string()])
        .stderr(log.try_clone().expect("log"))
        .stdout(pipe.map_or(process::Stdio::from(log), process::Stdio::from))
        .spawn()
        .expect("start")
}

/// Returns the command of a host process with a settings file.
pub(crate) fn command(settings: &path::Path) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_skylark-host"));
    command.env("SKYLARKMOUNT_CONFIG", settings);
    command
}

/// Returns addresses on a loopback address that no other host of any test run uses.
fn free_addresses() -> [net::SocketAddr; 6] {
    static HOSTS: atomic::AtomicU8 = atomic::AtomicU8::new(1);
    let number = HOSTS.fetch_add(1, atomic::Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    let ip = net::Ipv4Addr::new(127, high | 128, low, number);
    let ports = [8_200, 8_201, 8_202, 8_203, 8_204, 8_205];
    ports.map(|port| net::SocketAddr::from((ip, port)))
}

/// Returns settings in the platform's format.
pub(crate) fn settings(
    store: net::SocketAddr,
    callers: net::SocketAddr,
    readiness: net::SocketAddr,
    control: net::SocketAddr,
    lookups: net::SocketAddr,
    reports: u16,
) -> serde_json::Value {
    serde_json::json!({
        "self": {"node": NAME, "role": "host", "zone": "a1", "region": "a", "ip": "127.0.0.1",
            "limits": {"memoryMb": 260}},
        "network": {
            "listen": {"front": callers, "ready": readiness, "control": control, "directory": lookups},
            "internalPorts": [reports, reports],
            "seeds": [],
            "zones": {"a1": "a", "b1": "b"}
        },
        "platform": {"discovery": "platform", "platform": {"address": store, "form": "table"}},
        "terms": {"bounds": {"graceS": 6, "retryBudgetRatio": 0.2, "retrySlack": 56, "ttl_max_s": 5}}
    })
}

/// Returns an operator's configuration.
pub(crate) fn configuration(version: &str, safe_prefix: &str) -> String {
    let path = |name: &str, prefix: &str, kind: &str| {
        serde_json::json!({"name": name, "prefix": prefix, "type": kind, "timeoutS": 4,
            "targetLatencyS": 1, "priority": 1, "service": "ledger", "maxAttempts": 2,
            "public": false, "sessionAffinity": true, "allowedRegions": []})
    };
    serde_json::json!({
        "version": version,
        "services": [{"name": "ledger", "healthPath": "/health", "maxConnections": 100,
            "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 15.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 8_388_608, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "tenants": [{"name": "acme", "apiKeys": ["key-1"], "priority": 1, "ratePerS": 500,
            "burst": 500, "allowedRegions": []}],
        "virtualHosts": [{"hostname": "shop.example", "paths": [
            path("look", safe_prefix, "safe"), path("order", "/order/", "unsafe")]}]
    })
    .to_string()
}
