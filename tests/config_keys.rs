//! Keys of callers leak nowhere, and an entry process that starts in a partition accepts none.

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

/// `stale_after` of the policy.
const STALE_AFTER: time::Duration = time::Duration::from_secs(3);
const OTHER_KEY: &str = "other-key-of-shop-0123456789";

/// A target that records every byte it receives.
struct RecordingTarget {
    address: net::SocketAddr,
    received: sync::Arc<sync::Mutex<Vec<u8>>>,
}

impl RecordingTarget {
    fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let received = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let recorded = sync::Arc::clone(&received);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorded = sync::Arc::clone(&recorded);
                thread::spawn(move || record_and_answer(stream, &recorded));
            }
        });
        Self { address, received }
    }
}

fn record_and_answer(mut stream: net::TcpStream, recorded: &sync::Mutex<Vec<u8>>) {
    let mut buffer = vec![0; 65_536];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            return;
        }
        recorded
            .lock()
            .expect("not poisoned")
            .extend_from_slice(&buffer[..count]);
        let _sent = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    }
}

/// Restarts the first entry process; logs go to a file at level trace, metrics to an address.
fn restart_entry(fleet: &mut common::Fleet, metrics: net::SocketAddr, log: &path::Path) {
    let settings = fleet.folder().join("host-0-entry.yaml");
    let text = fs::read_to_string(&settings).expect("the settings file is accessible");
    fs::write(&settings, format!("{text}statsd: {metrics}\n"))
        .expect("the settings file is accessible");
    let _ended = fleet.hosts[0].entry.kill();
    let _reaped = fleet.hosts[0].entry.wait();
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_skylark-entry"));
    command.arg(&settings).env("SKYLARK_LOG", "trace");
    command.stderr(fs::File::create(log).expect("the log file is accessible"));
    fleet.hosts[0].entry = command.spawn().expect("the entry process starts");
}

fn records(address: net::SocketAddr) -> String {
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
target: {{name: spy, service: spied, zone: east-a, address: '{address}', slots: 8, connections: 100}}
---
schema: 1
key: {{name: shop-2, account: shop, digest: {digest}}}
"
    )
}

/// Returns whether bytes contain a key, plain or percent-encoded.
fn contains_key(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let encoded = common::KEY.replace('-', "%2D");
    [common::KEY, OTHER_KEY, encoded.as_str()]
        .iter()
        .any(|key| text.contains(key))
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_leaks_to_targets_logs_metrics_records_or_errors() {
    let target = RecordingTarget::start();
    let zones = &common::ZONES[..2];
    let mut fleet =
        common::Fleet::with_records(zones, &format!("---\n{}", records(target.address))).await;
    let metrics = net::UdpSocket::bind("127.0.0.1:0").expect("an address");
    metrics
        .set_nonblocking(true)
        .expect("the socket becomes non-blocking");
    let log = fleet.folder().join("entry.log");
    restart_entry(&mut fleet, metrics.local_addr().expect("an address"), &log);
    fleet.wait_ready().await;
    let host = &fleet.hosts[0];
    let home = fleet.lookup(&fleet.hosts[1]).await["home"].clone();
    let order_key = format!("{}.spied", home.as_str().expect("a home"));
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
        (header::IDEMPOTENCY_KEY, order_key.as_str()),
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
        assert!(
            !contains_key(&reply.body),
            "{method} {path}: {:?}",
            reply.body
        );
        let header_text = format!("{:?}", reply.headers);
        assert!(
            !contains_key(header_text.as_bytes()),
            "{method} {path}: {header_text}"
        );
    }
    let count = answers
        .iter()
        .filter(|(.., reply)| reply.status == 200)
        .count();
    assert!(
        count >= 5,
        "{:?}",
        answers
            .iter()
            .map(|(.., reply)| reply.status)
            .collect::<Vec<_>>()
    );
    tokio::time::sleep(STALE_AFTER).await;
    let received = target.received.lock().expect("not poisoned").clone();
    let text = String::from_utf8_lossy(&received).into_owned();
    assert!(
        text.contains("keep=1") && text.contains("client-account: shop"),
        "{text}"
    );
    assert!(!contains_key(&received), "{text}");
    let log = fs::read(&log).expect("the log file is accessible");
    assert!(
        !log.is_empty() && !contains_key(&log),
        "{}",
        String::from_utf8_lossy(&log)
    );
    assert_no_key_in_metrics(&metrics);
    assert_no_key_at_platform(&fleet).await;
}

fn assert_no_key_in_metrics(metrics: &net::UdpSocket) {
    let mut buffer = vec![0; 65_536];
    let mut total = 0;
    while let Ok(count) = metrics.recv(&mut buffer) {
        total += count;
        assert!(!contains_key(&buffer[..count]));
    }
    assert!(total > 0, "no metrics were sent");
}

async fn assert_no_key_at_platform(fleet: &common::Fleet) {
    let get = async |path: &str| {
        let url = format!("{}{path}", fleet.platform);
        let reply = fleet.http.send("GET", &url, Vec::new()).await;
        reply.expect("the platform answers").body
    };
    assert!(!contains_key(&get("/table/rows/").await));
    let objects: Vec<String> = serde_json::from_slice(&get("/list/").await).expect("a list");
    assert!(!objects.is_empty(), "no decisions were stored");
    for object in objects {
        assert!(
            !contains_key(&get(&format!("/objects/{object}")).await),
            "{object}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_process_that_starts_in_a_partition_accepts_no_key() {
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    fleet.cut_platform(0);
    fleet.cut_peers();
    tokio::time::sleep(STALE_AFTER).await;
    let metrics = net::UdpSocket::bind("127.0.0.1:0").expect("an address");
    let log = fleet.folder().join("entry.log");
    restart_entry(&mut fleet, metrics.local_addr().expect("an address"), &log);
    let mut stale_answers = 0;
    let end = time::Instant::now() + STALE_AFTER * 2;
    while time::Instant::now() < end {
        let reply = fleet.get(&fleet.hosts[0], "/stock/oars").await;
        let status = reply.as_ref().map(|reply| reply.status);
        assert!(status.is_none_or(|status| status == 503), "{status:?}");
        let body = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        stale_answers += u32::from(body.is_some_and(|body| body.contains("stale-keys")));
    }
    assert!(stale_answers > 0, "no answer reported stale keys");
}
