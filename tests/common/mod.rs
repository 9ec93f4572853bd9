//! Runs a small deployment of real processes on loopback, for tests.

#![allow(dead_code, reason = "each test binary uses only some of these items")]

mod relay;

use std::collections;
use std::fmt::Write as _;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time;

use http_body_util::Full;
use skylark_wire::header;
use skylark_wire::http;

const ENTRY_PORT: u16 = 8000;
const CONTROL_PORT: u16 = 8001;
const HOME_PORT: u16 = 8005;
const LOOKUP_PORT: u16 = 8002;
const STEER_PORT: u16 = 8003;
const PEER_PORT: u16 = 8006;
const LOOKUP_CONTROL_PORT: u16 = 8004;
const ADMIN_PORT: u16 = 8010;
const TARGET_PORT: u16 = 9000;
const PLATFORM_PORT: u16 = 7000;
const LOCK_PORT: u16 = 6999;
const FIRST_HOST_OCTET: u8 = 10;
const FIRST_TARGET_OCTET: u8 = 100;
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Availability zones of the small deployment, two regions of two zones.
pub const ZONES: [&str; 4] = ["east-a", "east-b", "west-a", "west-b"];

/// API key of the client account `shop`.
pub const KEY: &str = "key-of-shop";

/// A running deployment; dropping it kills its processes.
pub struct Fleet {
    /// Entry hosts with their daemons.
    pub hosts: Vec<Host>,
    /// Base URL of the platform.
    pub platform: String,
    /// Process of the stand-in platform.
    pub platform_process: process::Child,
    /// Process that runs all stand-in targets.
    pub targets_process: process::Child,
    /// HTTP client of the tests.
    pub http: http::Client,
    addresses: AddressBlock,
    folder: tempfile::TempDir,
    relays: collections::BTreeMap<u8, Relays>,
}

/// TCP relays in front of an entry host's control process and of its platform connections.
///
/// Tests cut them to simulate network partitions.
struct Relays {
    platform: relay::Relay,
    peers: relay::Relay,
}

/// The daemons of one entry host.
pub struct Host {
    /// Name of the entry host.
    pub name: String,
    /// Availability zone of the entry host.
    pub zone: String,
    /// IP address of the entry host.
    pub ip: net::Ipv4Addr,
    /// The entry process.
    pub entry: process::Child,
    /// The look-up process.
    pub lookup: process::Child,
    /// The control process.
    pub steer: process::Child,
    /// Settings of the control process.
    pub steer_settings: path::PathBuf,
}

/// A /24 block of loopback addresses, reserved by a listener on `LOCK_PORT` of its first one.
struct AddressBlock {
    prefix: [u8; 3],
    _reservation: net::TcpListener,
}

impl AddressBlock {
    fn new() -> Self {
        let seed = process::id();
        for attempt in 0..100_000_u32 {
            let number = seed.wrapping_mul(7).wrapping_add(attempt.wrapping_mul(251));
            let bytes = number.to_be_bytes();
            let prefix = [127, 100 + bytes[2] % 100, bytes[3]];
            let address = net::Ipv4Addr::new(prefix[0], prefix[1], prefix[2], 1);
            if let Ok(reservation) = net::TcpListener::bind((address, LOCK_PORT)) {
                return Self {
                    prefix,
                    _reservation: reservation,
                };
            }
        }
        panic!("no free block of loopback addresses");
    }

    fn ip(&self, last_octet: u8) -> net::Ipv4Addr {
        net::Ipv4Addr::new(self.prefix[0], self.prefix[1], self.prefix[2], last_octet)
    }
}

impl Relays {
    fn start(addresses: &AddressBlock, index: u8) -> Self {
        let address = |octet: u8, port: u16| net::SocketAddr::from((addresses.ip(octet), port));
        let host = FIRST_HOST_OCTET + index;
        Self {
            platform: relay::Relay::start(address(host, PLATFORM_PORT), address(2, PLATFORM_PORT)),
            peers: relay::Relay::start(address(host, PEER_PORT), address(host, STEER_PORT)),
        }
    }
}

impl Host {
    /// Returns the URL of a path at the host's entry process.
    pub fn entry_url(&self, path: &str) -> String {
        format!("http://{}:{ENTRY_PORT}{path}", self.ip)
    }

    /// Returns the URL of a look-up for callers in a zone.
    pub fn lookup_url(&self, zone: &str) -> String {
        format!("http://{}:{LOOKUP_PORT}/entry-hosts?zone={zone}", self.ip)
    }

    /// Kills every daemon of the host with SIGKILL.
    pub fn kill(&mut self) {
        for child in [&mut self.entry, &mut self.lookup, &mut self.steer] {
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }
}

impl Fleet {
    /// Starts a platform, four targets per service, and one entry host in each given zone.
    pub async fn start(zones: &[&str]) -> Self {
        Self::with_records(zones, "").await
    }

    /// Starts the deployment with additional records, which replace records of the same name.
    pub async fn with_records(zones: &[&str], extra: &str) -> Self {
        let addresses = AddressBlock::new();
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let platform = format!("http://{}:{PLATFORM_PORT}", addresses.ip(2));
        let listen = format!("{}:{PLATFORM_PORT}", addresses.ip(2));
        let platform_process = spawn(standin_command(&["platform", "--listen", &listen]));
        let targets_process = spawn(standin_command(&target_arguments(&addresses)));
        let http = http::Client::new(CALL_TIMEOUT);
        let mut fleet = Self {
            hosts: Vec::new(),
            platform,
            platform_process,
            targets_process,
            http,
            addresses,
            folder,
            relays: collections::BTreeMap::new(),
        };
        fleet
            .wait("the platform", async |fleet: &Self| {
                let url = format!("{}/counts", fleet.platform);
                fleet.http.send("GET", &url, Vec::new()).await.is_ok()
            })
            .await;
        fleet.apply(&format!("{}{extra}", records(&fleet.addresses)));
        for (index, zone) in zones.iter().enumerate() {
            let index = u8::try_from(index).expect("few hosts");
            let relays = Relays::start(&fleet.addresses, index);
            fleet.relays.insert(index, relays);
            let host = fleet.start_host(index, zone);
            fleet.hosts.push(host);
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Starts an additional entry host behind its own relays.
    pub fn add_host(&mut self, index: u8, zone: &str) {
        let relays = Relays::start(&self.addresses, index);
        self.relays.insert(index, relays);
        let host = self.start_host(index, zone);
        self.hosts.push(host);
    }

    /// Starts the daemons of one entry host; relays to the platform are used where they exist.
    pub fn start_host(&self, index: u8, zone: &str) -> Host {
        let name = format!("host-{index}");
        let platform = if self.relays.contains_key(&index) {
            let ip = self.addresses.ip(FIRST_HOST_OCTET + index);
            format!("http://{ip}:{PLATFORM_PORT}")
        } else {
            self.platform.clone()
        };
        let ip = self.addresses.ip(FIRST_HOST_OCTET + index);
        let common = format!("host: {name}\nzone: {zone}\n");
        let entry = format!(
            "{common}listen: {ip}:{ENTRY_PORT}\ncontrol: {ip}:{CONTROL_PORT}\nhome: {ip}:{HOME_PORT}\n\
             admin: {ip}:{ADMIN_PORT}\nplatform: {platform}\n",
        );
        let lookup = format!(
            "{common}listen: {ip}:{LOOKUP_PORT}\ncontrol: {ip}:{LOOKUP_CONTROL_PORT}\nadmin: {ip}:{}\n",
            ADMIN_PORT + 1
        );
        let steer = format!(
            "{common}ports: {{entry: '{ip}:{ENTRY_PORT}', control: '{ip}:{CONTROL_PORT}', \
             home: '{ip}:{HOME_PORT}', \
             lookup: '{ip}:{LOOKUP_PORT}', steer: '{ip}:{PEER_PORT}'}}\n\
             steer_listen: {ip}:{STEER_PORT}\n\
             lookup_control: {ip}:{LOOKUP_CONTROL_PORT}\nadmin: {ip}:{}\nplatform: {platform}\n\
             poll: 200ms\nheartbeat: 400ms\n",
            ADMIN_PORT + 2,
        );
        let write = |role: &str, text: &str| {
            let path = self.folder.path().join(format!("{name}-{role}.yaml"));
            fs::write(&path, text).expect("settings are written");
            path
        };
        let run = |program: &str, path: &path::Path| {
            let mut command = process::Command::new(program);
            command.arg(path);
            spawn(command)
        };
        let steer_settings = write("steer", &steer);
        Host {
            entry: run(env!("CARGO_BIN_EXE_skylark-entry"), &write("entry", &entry)),
            lookup: run(
                env!("CARGO_BIN_EXE_skylark-lookup"),
                &write("lookup", &lookup),
            ),
            steer: run(env!("CARGO_BIN_EXE_skylark-steer"), &steer_settings),
            steer_settings,
            name,
            zone: zone.to_owned(),
            ip,
        }
    }

    /// Disconnects an entry host from the platform.
    pub fn cut_platform(&self, index: u8) {
        self.relays[&index].platform.cut();
    }

    /// Disconnects all control processes from each other.
    pub fn cut_peers(&self) {
        self.relays.values().for_each(|relays| relays.peers.cut());
    }

    /// Restarts the control process of an entry host with its previous settings.
    pub fn restart_steer(&mut self, index: u8) {
        let position = usize::from(index);
        let path = self.hosts[position].steer_settings.clone();
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_skylark-steer"));
        command.arg(path);
        self.hosts[position].steer = spawn(command);
    }

    /// Returns the bytes transferred between control processes so far.
    pub fn peer_bytes(&self) -> u64 {
        self.relays
            .values()
            .map(|relays| relays.peers.bytes())
            .sum()
    }

    /// Returns the bytes transferred between entry hosts and the platform so far.
    pub fn platform_bytes(&self) -> u64 {
        self.relays
            .values()
            .map(|relays| relays.platform.bytes())
            .sum()
    }

    /// Restores all connections that were cut.
    pub fn heal(&self) {
        for relays in self.relays.values() {
            relays.platform.heal();
            relays.peers.heal();
        }
    }

    /// Waits until look-ups at every host list all hosts, up to the maximum of an answer,
    /// and every host serves requests.
    pub async fn wait_ready(&self) {
        self.wait(
            "every host to be listed by look-ups",
            async |fleet: &Self| {
                for host in &fleet.hosts {
                    if fleet.looked_up_names(host).await.len()
                        != fleet.hosts.len().min(skylark_lookup::MAX_ANSWER_HOSTS)
                    {
                        return false;
                    }
                }
                true
            },
        )
        .await;
        self.wait("every host to be ready", async |fleet: &Self| {
            for host in &fleet.hosts {
                let reply = fleet.get(host, "/stock/ready").await;
                if reply.is_none_or(|reply| reply.status != 200) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within 20 s.
    pub async fn wait(&self, what: &str, check: impl AsyncFn(&Self) -> bool) {
        let end = time::Instant::now() + WAIT_TIMEOUT;
        while !check(self).await {
            assert!(time::Instant::now() < end, "timed out waiting for {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the names of the entry hosts in the answer to a look-up at `host`.
    pub async fn looked_up_names(&self, host: &Host) -> Vec<String> {
        let reply = self.lookup(host).await;
        let hosts = reply["hosts"].as_array().cloned().unwrap_or_default();
        hosts
            .iter()
            .filter_map(|entry| Some(entry["host"].as_str()?.to_owned()))
            .collect()
    }

    /// Looks up entry hosts for callers in the host's own zone; null if the look-up fails.
    pub async fn lookup(&self, host: &Host) -> serde_json::Value {
        let reply = self
            .http
            .send("GET", &host.lookup_url(&host.zone), Vec::new())
            .await;
        reply
            .ok()
            .and_then(|reply| serde_json::from_slice(&reply.body).ok())
            .unwrap_or(serde_json::Value::Null)
    }

    /// Sends a GET request that is authorized with `KEY`.
    pub async fn get(&self, host: &Host, path: &str) -> Option<http::Reply> {
        self.call(
            host,
            "GET",
            path,
            &[("authorization", &format!("Bearer {KEY}"))],
        )
        .await
    }

    /// Sends an order with an idempotency key and the number of the attempt.
    pub async fn order(&self, host: &Host, key: &str, attempt: u32) -> Option<http::Reply> {
        let bearer = format!("Bearer {KEY}");
        let attempt = attempt.to_string();
        let headers = [
            ("authorization", bearer.as_str()),
            (header::IDEMPOTENCY_KEY, key),
            (header::ATTEMPT, attempt.as_str()),
        ];
        self.call(host, "POST", "/orders", &headers).await
    }

    /// Sends one request to an entry host; returns `None` if the exchange fails.
    pub async fn call(
        &self,
        host: &Host,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<http::Reply> {
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(host.entry_url(path));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::default()).expect("the request is valid");
        self.http.call(request).await.ok()
    }

    /// Applies records with the operator's command line, and waits until they take effect.
    pub fn apply(&self, text: &str) {
        self.apply_with(text, &[]);
    }

    /// Applies records with the operator's command line, without waiting for the hosts.
    pub fn apply_without_wait(&self, text: &str) {
        self.apply_with(text, &["--wait", "0s"]);
    }

    fn apply_with(&self, text: &str, flags: &[&str]) {
        let path = self.folder.path().join("records.yaml");
        fs::write(&path, text).expect("records are written");
        let path = path.to_str().expect("the path is UTF-8");
        let output = self.skylark(&[&["apply", path], flags].concat());
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// Runs the operator's command line.
    pub fn skylark(&self, arguments: &[&str]) -> process::Output {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_skylark"));
        command.args(["--platform", &self.platform]).args(arguments);
        command.output().expect("the command line runs")
    }

    /// Sets the faults that the platform injects.
    pub async fn platform_faults(&self, faults: &serde_json::Value) {
        let url = format!("{}/faults", self.platform);
        let body = faults.to_string().into_bytes();
        let reply = self
            .http
            .send("PUT", &url, body)
            .await
            .expect("the platform accepts the faults");
        assert_eq!(reply.status, 200);
    }

    /// Sets the faults that a target injects.
    pub async fn target_faults(&self, target: u8, faults: &serde_json::Value) {
        let url = format!("http://{}/standin/faults", self.target_address(target));
        let body = faults.to_string().into_bytes();
        let reply = self
            .http
            .send("PUT", &url, body)
            .await
            .expect("the target accepts the faults");
        assert_eq!(reply.status, 200);
    }

    /// Returns how often all targets together started the request with a key.
    pub async fn starts(&self, key: &str) -> u64 {
        let mut starts = 0;
        for target in 0..TARGETS {
            starts += self.report(target).await["starts"][key]
                .as_u64()
                .unwrap_or(0);
        }
        starts
    }

    /// Returns the counters of a stand-in target.
    pub async fn report(&self, target: u8) -> serde_json::Value {
        let url = format!("http://{}/standin/report", self.target_address(target));
        let reply = self
            .http
            .send("GET", &url, Vec::new())
            .await
            .expect("the target reports");
        serde_json::from_slice(&reply.body).expect("the report is JSON")
    }

    /// Returns the temporary folder of settings and logs.
    pub fn folder(&self) -> &path::Path {
        self.folder.path()
    }

    fn target_address(&self, target: u8) -> String {
        format!(
            "{}:{TARGET_PORT}",
            self.addresses.ip(FIRST_TARGET_OCTET + target)
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        for child in [&mut self.platform_process, &mut self.targets_process] {
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }
}

/// Number of targets: 0 to 3 serve `stock`, 4 to 7 serve `orders`.
pub const TARGETS: u8 = 8;

fn target_arguments(addresses: &AddressBlock) -> Vec<String> {
    let argument = |index: u8| {
        let ip = addresses.ip(FIRST_TARGET_OCTET + index);
        format!("target-{index}={ip}:{TARGET_PORT}/8")
    };
    std::iter::once("targets".to_owned())
        .chain((0..TARGETS).map(argument))
        .collect()
}

fn records(addresses: &AddressBlock) -> String {
    let digest = skylark_core::secret::Secret::new(KEY).digest();
    let mut text = RECORDS.replace("DIGEST", &String::from(digest));
    for index in 0..TARGETS {
        let service = if index < TARGETS / 2 {
            "stock"
        } else {
            "orders"
        };
        let zone = ZONES[usize::from(index) % ZONES.len()];
        let ip = addresses.ip(FIRST_TARGET_OCTET + index);
        write!(
            text,
            "---\nschema: 1\ntarget: {{name: target-{index}, service: {service}, zone: {zone}, \
             address: '{ip}:{TARGET_PORT}', slots: 8, connections: 100}}\n"
        )
        .expect("writing to a string succeeds");
    }
    text
}

const RECORDS: &str = "schema: 1
region: {name: east, zones: [east-a, east-b], delay: 3ms}
---
schema: 1
region: {name: west, zones: [west-a, west-b], delay: 3ms}
---
schema: 1
link: {name: east-west, between: [east, west], bandwidth: 1000 Mbit/s, delay: 20ms}
---
schema: 1
account: {name: shop, rate: 1000/s, burst: 2000}
---
schema: 1
account: {name: small, rate: 10/s, burst: 20}
---
schema: 1
key: {name: shop-1, account: shop, digest: DIGEST}
---
schema: 1
policy: {reserve: 50%, shortage: ask, stale_after: 3s, answer_ttl: 1s}
---
schema: 1
service:
  name: stock
  routes:
    - {methods: [GET], path: /stock, access: keyed, idempotent: true}
    - {methods: [GET], path: /public, access: open, idempotent: true}
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}
---
schema: 1
service:
  name: orders
  routes:
    - {methods: [POST], path: /orders, access: keyed, idempotent: false}
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 500ms}
";

fn standin_command<S: AsRef<std::ffi::OsStr>>(arguments: &[S]) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_skylark-standin"));
    command.args(arguments);
    command
}

fn spawn(mut command: process::Command) -> process::Child {
    let level = std::env::var("SKYLARK_LOG").unwrap_or_else(|_absent| "error".to_owned());
    command.env("SKYLARK_LOG", level);
    command.stdin(process::Stdio::null());
    command.spawn().expect("the program starts")
}

/// Sends a signal to a child; after `-STOP`, waits until every thread has stopped.
pub fn signal(name: &str, child: &process::Child) {
    let mut command = process::Command::new("kill");
    command.arg(name).arg(child.id().to_string());
    assert!(command.status().expect("kill runs").success());
    let end = time::Instant::now() + WAIT_TIMEOUT;
    while name == "-STOP" && !is_stopped(child.id()) {
        assert!(
            time::Instant::now() < end,
            "timed out waiting for the process to stop"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn is_stopped(process: u32) -> bool {
    let threads = fs::read_dir(format!("/proc/{process}/task")).expect("the process exists");
    threads.flatten().all(|thread| {
        let state = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        state
            .rsplit(')')
            .next()
            .is_some_and(|rest| rest.starts_with(" T"))
    })
}
