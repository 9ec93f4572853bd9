//! Where a caller's key may not show up, and an entry process that starts in a cut-off zone.

mod common;

use std::fs;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use skylark_wire::header;

const BOUND: time::Duration = time::Duration::from_secs(3);
const OTHER_KEY: &str = "other-key-of-shop-0123456789";

/// A target that keeps every byte that it receives.
struct Spy {
    address: net::SocketAddr,
    seen: sync::Arc<sync::Mutex<Vec<u8>>>,
}

impl Spy {
    fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let seen = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let kept = sync::Arc::clone(&seen);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let kept = sync::Arc::clone(&kept);
                thread::spawn(move || answer(stream, &kept));
            }
        });
        Self { address, seen }
    }
}

fn answer(mut stream: net::TcpStream, kept: &sync::Mutex<Vec<u8>>) {
    let mut buffer = vec![0; 65_536];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            return;
        }
        kept.lock()
            .expect("not poisoned")
            .extend_from_slice(&buffer[..count]);
        let _sent = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    }
}

/// Starts an entry process again with all its logs in a file and its metrics at an address.
fn restart_entry(fleet: &mut common::Fleet, metrics: net::SocketAddr, log: &path::Path) {
    let settings = fleet.folder().join("host-0-entry.yaml");
    let text = fs::read_to_string(&settings).expect("settings");
    fs::write(&settings, format!("{text}statsd: {metrics}\n")).expect("settings");
    let _ended = fleet.hosts[0].entry.kill();
    let _reaped = fleet.hosts[0].entry.wait();
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_skylark-entry"));
    command.arg(&settings).env("SKYLARK_LOG", "trace");
    command.stderr(fs::File::create(log).expect("a log"));
    fleet.hosts[0].entry = command.spawn().expect("it starts");
}

fn records(spy: net::SocketAddr) -> String {
    let digest = skylark_core::secret::Secret::new(OTHER_KEY).digest();
    let digest = String::from(digest);
    format!(
        "schema: 1
service:
  name: spied
  routes:
    - {{methods: [GET], path: /spied, access: keyed, idempotent: true}}
    - {{methods: [GET], path: /open, access: open, idempotent: true}}
    - {{methods: [POST], path: /spied, access: keyed, idempotent: false}}
  deadline: 2s
  queue: 64
  objective: {{good: 99.9%, within: 250ms}}
---
schema: 1
target: {{name: spy, service: spied, zone: east-a, address: '{spy}', slots: 8, connections: 100}}
---
schema: 1
key: {{name: shop-2, account: shop, digest: {digest}}}
"
    )
}

fn holds_key(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let encoded = common::KEY.replace('-', "%2D");
    [common::KEY, OTHER_KEY, encoded.as_str()]
        .iter()
        .any(|key| text.contains(key))
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_shows_in_targets_logs_metrics_records_or_errors() {
    let spy = Spy::start();
    let zones = &common::ZONES[..2];
    let mut fleet =
        common::Fleet::with_records(zones, &format!("---\n{}", records(spy.address))).await;
    let metrics = net::UdpSocket::bind("127.0.0.1:0").expect("an address");
    metrics.set_nonblocking(true).expect("a mode");
    let log = fleet.folder().join("entry.log");
    restart_entry(&mut fleet, metrics.local_addr().expect("an address"), &log);
    fleet.wait_ready().await;
    let host = &fleet.hosts[0];
    let home = fleet.lookup(&fleet.hosts[1]).await["home"].clone();
    let once = format!("{}.spied", home.as_str().expect("a home"));
    let bearer = format!("Bearer {}", common::KEY);
    let basic = format!("Basic {OTHER_KEY}");
    let cookie = format!("session={}", common::KEY);
    let encoded = common::KEY.replace('-', "%2D");
    let paths = [
        format!("/spied/a?key={}&keep=1", common::KEY),
        format!("/spied/b?keep=1&k={encoded}"),
        format!("/spied/c?keep=1&other={OTHER_KEY}"),
        format!("/open/d?keep=1&key={OTHER_KEY}"),
        format!("/spied/{}", common::KEY),
        format!("/nowhere?key={}", common::KEY),
    ];
    let headers = [
        ("authorization", bearer.as_str()),
        ("proxy-authorization", basic.as_str()),
        ("cookie", cookie.as_str()),
        ("x-api-key", OTHER_KEY),
        ("x-note", common::KEY),
        (header::IDEMPOTENCY_KEY, once.as_str()),
        (header::ATTEMPT, "1"),
    ];
    let mut answers = Vec::new();
    for path in &paths {
        for method in ["GET", "POST", "DELETE"] {
            let reply = fleet
                .call(host, method, path, &headers)
                .await
                .expect("an answer");
            answers.push((path, method, reply));
        }
    }
    for (path, method, reply) in &answers {
        assert!(!holds_key(&reply.body), "{method} {path}: {:?}", reply.body);
        let shown = format!("{:?}", reply.headers);
        assert!(!holds_key(shown.as_bytes()), "{method} {path}: {shown}");
    }
    let count = answers
        .iter()
        .filter(|(.., reply)| reply.status == 200)
        .count();
    assert!(
        count >= 5,
        "{:?}",
        answers.iter().map(|(.., r)| r.status).collect::<Vec<_>>()
    );
    tokio::time::sleep(BOUND).await;
    let seen = spy.seen.lock().expect("not poisoned").clone();
    let text = String::from_utf8_lossy(&seen).into_owned();
    assert!(
        text.contains("keep=1") && text.contains("client-account: shop"),
        "{text}"
    );
    assert!(!holds_key(&seen), "{text}");
    let log = fs::read(&log).expect("a log");
    assert!(
        !log.is_empty() && !holds_key(&log),
        "{}",
        String::from_utf8_lossy(&log)
    );
    assert_metrics_clean(&metrics);
    assert_platform_clean(&fleet).await;
}

fn assert_metrics_clean(metrics: &net::UdpSocket) {
    let mut buffer = vec![0; 65_536];
    let mut total = 0;
    while let Ok(count) = metrics.recv(&mut buffer) {
        total += count;
        assert!(!holds_key(&buffer[..count]));
    }
    assert!(total > 0, "metrics were sent");
}

async fn assert_platform_clean(fleet: &common::Fleet) {
    let get = async |path: &str| {
        let url = format!("{}{path}", fleet.platform);
        let reply = fleet.http.send("GET", &url, Vec::new()).await;
        reply.expect("the platform answers").body
    };
    assert!(!holds_key(&get("/table/rows/").await));
    let objects: Vec<String> = serde_json::from_slice(&get("/list/").await).expect("a list");
    assert!(!objects.is_empty(), "decisions were stored");
    for object in objects {
        assert!(
            !holds_key(&get(&format!("/objects/{object}")).await),
            "{object}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_process_that_starts_in_a_cut_off_zone_honours_no_key() {
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    fleet.cut_platform(0);
    fleet.cut_peers();
    tokio::time::sleep(BOUND).await;
    let metrics = net::UdpSocket::bind("127.0.0.1:0").expect("an address");
    let log = fleet.folder().join("entry.log");
    restart_entry(&mut fleet, metrics.local_addr().expect("an address"), &log);
    let mut stale = 0;
    let end = time::Instant::now() + BOUND * 2;
    while time::Instant::now() < end {
        let reply = fleet.get(&fleet.hosts[0], "/stock/oars").await;
        let status = reply.as_ref().map(|reply| reply.status);
        assert!(status.is_none_or(|status| status == 503), "{status:?}");
        let body = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        stale += u32::from(body.is_some_and(|body| body.contains("stale-keys")));
    }
    assert!(stale > 0, "the records were in force again");
}
