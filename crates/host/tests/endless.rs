//! Bytes that are no answer and do not end, from targets and from callers.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use common::host;
use common::raw;
use common::store;
use common::target;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Time that the callers of these requests wait.
const DEADLINE: time::Duration = time::Duration::from_millis(1_500);
/// Time after a deadline by which the answer must have arrived and the target's connection be closed.
const SLACK: time::Duration = time::Duration::from_millis(500);
/// Latency objective of the configuration, which other requests must meet meanwhile.
const OBJECTIVE: time::Duration = time::Duration::from_secs(1);
/// Memory limit of the smallest host of the deployments.
const MAX_MEMORY_KIB: u64 = 160 * 1_024;
/// Bytes that a fast sender writes at once.
const BLOCK_BYTES: usize = 64 * 1_024;
/// Pause of a slow sender between two pieces.
const DRIP_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// The start of a response with a valid head, of which `{id}` is the request.
const GOOD_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\n";

/// Bytes that a target sends: a start, and a piece that it repeats until the host closes.
#[derive(Clone, Copy, Debug)]
struct Noise {
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
}

const NOISES: [Noise; 9] = [
    Noise {
        name: "no response",
        start: "",
        repeated: "\u{1}\u{2}",
    },
    Noise {
        name: "empty lines",
        start: "",
        repeated: "\r\n",
    },
    Noise {
        name: "status line",
        start: "HTTP/1.1 200 ",
        repeated: "O",
    },
    Noise {
        name: "header value",
        start: "{head}X: ",
        repeated: "a",
    },
    Noise {
        name: "headers",
        start: "{head}",
        repeated: "X: a\r\n",
    },
    Noise {
        name: "informational responses",
        start: "",
        repeated: "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n",
    },
    Noise {
        name: "chunk size",
        start: "{head}Transfer-Encoding: chunked\r\n\r\n",
        repeated: "0",
    },
    Noise {
        name: "chunk extension",
        start: "{head}Transfer-Encoding: chunked\r\n\r\n5;",
        repeated: "a",
    },
    Noise {
        name: "trailers",
        start: "{head}Transfer-Encoding: chunked\r\n\r\n0\r\n",
        repeated: "X: a\r\n",
    },
];

/// A target that answers with noise.
#[derive(Clone, Debug)]
struct Noisy {
    address: net::SocketAddr,
    requests: sync::Arc<atomic::AtomicUsize>,
    open: sync::Arc<atomic::AtomicUsize>,
}

impl Noisy {
    async fn start(bytes: Noise, is_slow: bool) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let noisy = Self {
            address: listener.local_addr().expect("address"),
            requests: sync::Arc::default(),
            open: sync::Arc::default(),
        };
        let served = noisy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream, bytes, is_slow));
            }
        });
        noisy
    }

    async fn serve(self, mut stream: tokio::net::TcpStream, noise: Noise, is_slow: bool) {
        let mut buffer = vec![0; BLOCK_BYTES];
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return;
        }
        self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        self.open.fetch_add(1, atomic::Ordering::Relaxed);
        let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
        let id = target::value(&head, "request-id").unwrap_or_default();
        let start = noise
            .start
            .replace("{head}", GOOD_HEAD)
            .replace("{id}", &id);
        let block = if is_slow {
            noise.repeated.to_owned()
        } else {
            noise.repeated.repeat(BLOCK_BYTES / noise.repeated.len())
        };
        let mut written = stream.write_all(start.as_bytes()).await;
        while written.is_ok() {
            written = stream.write_all(block.as_bytes()).await;
            if is_slow {
                tokio::time::sleep(DRIP_INTERVAL).await;
            }
        }
        self.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Registers a target of the service `desk`, which the route `/order/` uses.
fn register(store: &store::Store, id: &str, address: net::SocketAddr) {
    let entry = serde_json::json!({
        "address": address,
        "info": {"service": "desk", "version": "v1", "zone": "a1", "slots": 4},
        "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
        "born": 1,
    });
    store.put("servers", id, &entry.to_string());
}

/// Starts a host with one good target for `/look/`, and none for `/order/` and `/repeat/`.
async fn deployment() -> (store::Store, host::Host, target::Target) {
    let store = store::Store::start().await;
    let text = host::configuration("0000000a", "/look/");
    let mut rules: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let mut desk = rules["services"][0].clone();
    desk["name"] = "desk".into();
    rules["services"]
        .as_array_mut()
        .expect("services")
        .push(desk);
    let paths = rules["virtualHosts"][0]["paths"]
        .as_array_mut()
        .expect("paths");
    paths[1]["service"] = "desk".into();
    let mut repeat = paths[1].clone();
    repeat["name"] = "repeat".into();
    repeat["prefix"] = "/repeat/".into();
    repeat["type"] = "safe".into();
    paths.push(repeat);
    store.put("op", "config", &rules.to_string());
    let good = target::Target::start("i-good").await;
    good.register(&store, "ready");
    let host = host::Host::start(&store).await;
    (store, host, good)
}

/// Sends a request, and other requests beside it, which must meet their objective.
async fn call_beside_others(host: &host::Host, method: &str, path: &str, id: &str) -> raw::Answer {
    let mut caller = raw::Caller::connect(host.callers).await;
    let millis = DEADLINE.as_millis();
    let head = raw::head(method, path, id, &format!("Deadline-Ms: {millis}\r\n"));
    let began = time::Instant::now();
    caller.send(head).await.expect("send");
    let others = async {
        for n in 0..5 {
            let began = time::Instant::now();
            let reply = host.request("GET", "/look/x", &format!("{id}-{n}")).await;
            assert_eq!(reply.status, 200);
            let took = began.elapsed();
            assert!(took < OBJECTIVE, "{id}: another request took {took:?}");
            tokio::time::sleep(DEADLINE / 8).await;
        }
    };
    let (answer, ()) = tokio::join!(caller.read(), others);
    let took = began.elapsed();
    assert!(took < DEADLINE + SLACK, "{id}: answered after {took:?}");
    answer.expect("an answer")
}

async fn endless_answers_become_failures(is_slow: bool) {
    let (store, host, _good) = deployment().await;
    for (n, noise) in NOISES.into_iter().enumerate() {
        let noisy = Noisy::start(noise, is_slow).await;
        let target = format!("i-{n}");
        register(&store, &target, noisy.address);
        host.wait_for_log(&["target changed", &target]).await;
        for (method, path) in [("POST", "/order/x"), ("GET", "/repeat/x")] {
            let id = format!("{method}-{n}");
            let before = noisy.requests.load(atomic::Ordering::Relaxed);
            let answer = call_beside_others(&host, method, path, &id).await;
            let name = noise.name;
            assert!(
                matches!(answer.status, 502 | 504),
                "{name}: {method} {}",
                answer.status
            );
            assert_eq!(target::value(&answer.head, "retry-after"), None, "{name}");
            let sends = noisy.requests.load(atomic::Ordering::Relaxed) - before;
            assert_eq!(sends, 1, "{name}: {method}");
            common::eventually("the host closes the connection", || async {
                noisy.open.load(atomic::Ordering::Relaxed) == 0
            })
            .await;
        }
        store.remove("servers", &target);
        host.wait_for_log(&["target no longer listed", &target])
            .await;
    }
    let peak = host.peak_kib();
    println!("{peak} KiB at the peak");
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB of {MAX_MEMORY_KIB}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_endless_bytes_become_failures() {
    endless_answers_become_failures(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_endless_drips_become_failures() {
    endless_answers_become_failures(true).await;
}

/// A long answer is passed on before it is whole, so the caller sees that it was cut.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_body_is_cut_at_the_deadline() {
    let bodies = [
        ("to the close", "{head}\r\n"),
        (
            "in one chunk",
            "{head}Transfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n",
        ),
        (
            "of a length",
            "{head}Content-Length: 99999999999999\r\n\r\n",
        ),
    ];
    let (store, host, _good) = deployment().await;
    for (n, (name, start)) in bodies.into_iter().enumerate() {
        let bytes = Noise {
            name,
            start,
            repeated: "b",
        };
        let noisy = Noisy::start(bytes, false).await;
        let target = format!("i-{n}");
        register(&store, &target, noisy.address);
        host.wait_for_log(&["target changed", &target]).await;
        let mut caller = raw::Caller::connect(host.callers).await;
        let millis = DEADLINE.as_millis();
        let head = raw::head(
            "GET",
            "/repeat/x",
            &target,
            &format!("Deadline-Ms: {millis}\r\n"),
        );
        let began = time::Instant::now();
        caller.send(head).await.expect("send");
        let received = caller.read_to_end().await;
        let took = began.elapsed();
        assert!(took < DEADLINE + SLACK, "{name}: cut after {took:?}");
        assert!(!received.ends_with(b"0\r\n\r\n"), "{name}: looks complete");
        common::eventually("the host closes the connection", || async {
            noisy.open.load(atomic::Ordering::Relaxed) == 0
        })
        .await;
        host.wait_for_log(&["response cut off", &target]).await;
        store.remove("servers", &target);
        host.wait_for_log(&["target no longer listed", &target])
            .await;
    }
    let peak = host.peak_kib();
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB of {MAX_MEMORY_KIB}");
}

/// What a caller sends without end: the start of a request, and a piece that it repeats.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_send_endless_bytes_are_cut_off() {
    let head = raw::head(
        "POST",
        "/look/x",
        "id-1",
        "Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n",
    );
    let requests = [
        ("method", String::new(), "A"),
        ("path", "GET /look/".to_owned(), "a"),
        (
            "header value",
            "GET /look/x HTTP/1.1\r\nX: ".to_owned(),
            "a",
        ),
        ("headers", "GET /look/x HTTP/1.1\r\n".to_owned(), "X: a\r\n"),
        ("chunk size", head.clone(), "0"),
        ("chunk extension", format!("{head}5;"), "a"),
        ("trailers", format!("{head}0\r\n"), "X: a\r\n"),
        ("body", format!("{head}fffffffffffffff\r\n"), "a"),
    ];
    let (_store, host, good) = deployment().await;
    for (name, start, repeated) in requests {
        let began = time::Instant::now();
        let mut caller = raw::Caller::connect(host.callers).await;
        caller.send(&start).await.expect("send");
        let block = repeated.repeat(BLOCK_BYTES / repeated.len());
        while caller.send(&block).await.is_ok() {
            assert!(began.elapsed() < DEADLINE + SLACK, "{name}: still read");
        }
        let reply = host.request("GET", "/look/x", "other").await;
        assert_eq!(reply.status, 200, "{name}");
    }
    let is_complete = |head: &&String| target::value(head, "request-id").as_deref() == Some("id-1");
    assert_eq!(good.heads().iter().filter(is_complete).count(), 0);
    let peak = host.peak_kib();
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB of {MAX_MEMORY_KIB}");
}
