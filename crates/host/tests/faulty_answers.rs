//! Targets that repeat an earlier refusal, or stop in the middle of an answer's head.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::net;
use std::sync;
use std::time;

use common::host;
use common::raw;
use common::store;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Time after which a request that was refused may still arrive at a target.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(300);

/// What a target does with the requests of a connection, numbered from 0.
type Script = sync::Arc<dyn Fn(usize, &str) -> Step + Send + Sync>;

/// What a target does with one request.
struct Step {
    /// Whether it runs the request.
    is_run: bool,
    bytes: String,
    /// Whether it closes the connection afterwards.
    closes: bool,
}

/// A target that follows a script.
#[derive(Clone)]
struct Target {
    address: net::SocketAddr,
    runs: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl Target {
    async fn start(script: Script) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let target = Self {
            address: listener.local_addr().expect("address"),
            runs: sync::Arc::default(),
        };
        let served = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let (target, script) = (served.clone(), sync::Arc::clone(&script));
                tokio::spawn(async move { target.serve(stream, &script).await });
            }
        });
        target
    }

    async fn serve(&self, mut stream: tokio::net::TcpStream, script: &Script) {
        let mut received = Vec::new();
        for number in 0.. {
            let head = loop {
                if let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
                    let head: Vec<u8> = received.drain(..end + 4).collect();
                    break String::from_utf8_lossy(&head).into_owned();
                }
                let mut buffer = [0; 4_096];
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => received.extend_from_slice(&buffer[..count]),
                }
            };
            let step = script(number, &head);
            if step.is_run {
                self.runs.lock().expect("runs").push(path(&head));
            }
            if stream.write_all(step.bytes.as_bytes()).await.is_err() || step.closes {
                return;
            }
        }
    }

    fn runs_of(&self, path: &str) -> usize {
        let runs = self.runs.lock().expect("runs");
        runs.iter().filter(|run| *run == path).count()
    }
}

fn path(head: &str) -> String {
    let path = head.split_whitespace().nth(1);
    path.unwrap_or_default().to_owned()
}

fn id(head: &str) -> String {
    common::target::value(head, "request-id").unwrap_or_default()
}

fn success(head: &str) -> String {
    let id = id(head);
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\nContent-Length: 2\r\n\r\nok"
    )
}

async fn deployment(scripts: &[Script]) -> (store::Store, Vec<Target>, host::Host) {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let mut targets = Vec::new();
    for (n, script) in scripts.iter().enumerate() {
        let target = Target::start(sync::Arc::clone(script)).await;
        let entry = serde_json::json!({
            "address": target.address,
            "info": {"service": "ledger", "version": "v1", "zone": "a1", "slots": 4},
            "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
            "born": 1,
        });
        store.put("servers", &format!("i-{n}"), &entry.to_string());
        targets.push(target);
    }
    let host = host::Host::start(&store).await;
    (store, targets, host)
}

/// Refuses every third request of a connection, and writes that refusal again before the answer to
/// the next one.
fn repeating_refuser(status: &'static str, names_id: bool) -> Script {
    let last = sync::Mutex::new(String::new());
    sync::Arc::new(move |number, head| {
        let mut last = last.lock().expect("refusal");
        if number % 3 == 0 {
            let id = id(head);
            let id = if names_id && !id.is_empty() {
                format!("Request-Id: {id}\r\n")
            } else {
                String::new()
            };
            *last =
                format!("HTTP/1.1 {status}\r\n{id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return Step {
                is_run: false,
                bytes: last.clone(),
                closes: false,
            };
        }
        Step {
            is_run: true,
            bytes: std::mem::take(&mut *last) + &success(head),
            closes: false,
        }
    })
}

/// Guards against an earlier refusal that is taken for the answer to a request which runs.
#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_refusal_written_again_says_nothing_about_a_later_request() {
    for status in ["503 Full", "429 Many", "421 Misdirected Request"] {
        for names_id in [true, false] {
            for has_id in [true, false] {
                let scripts = [0, 1].map(|_n| repeating_refuser(status, names_id));
                let (_store, targets, host) = deployment(&scripts).await;
                for n in 0..12 {
                    let path = format!("/order/{n}");
                    let mut caller = raw::Caller::connect(host.callers).await;
                    let mut head =
                        raw::head("POST", &path, &n.to_string(), "Content-Length: 0\r\n");
                    if !has_id {
                        head = head.replace(&format!("Request-Id: {n}\r\n"), "");
                    }
                    caller.send(head).await.expect("send");
                    let answer = caller.read().await.expect("an answer");
                    tokio::time::sleep(SETTLE_TIME / 10).await;
                    let runs: usize = targets.iter().map(|target| target.runs_of(&path)).sum();
                    let case = format!("{status}, id named: {names_id}, sent: {has_id}, {path}");
                    assert!(runs <= 1, "{case}: {runs} runs, {}", answer.status);
                    let says_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
                    assert!(
                        !says_not_run || runs == 0,
                        "{case}: it ran, and the answer is {}\n{}",
                        answer.status,
                        host.log()
                    );
                }
            }
        }
    }
}

/// Guards against a success with an empty body that was made of a part of a head.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_breaks_off_anywhere_becomes_a_failure() {
    const HEADERS: [&str; 3] = [
        "Content-Length: 2\r\n",
        "Transfer-Encoding: chunked\r\n",
        "",
    ];
    let cut = sync::Arc::new(sync::Mutex::new((0, "")));
    let shared = sync::Arc::clone(&cut);
    let script: Script = sync::Arc::new(move |_number, head| {
        let (length, framing) = *shared.lock().expect("cut");
        let id = id(head);
        let whole = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\n{framing}\r\n"
        );
        Step {
            is_run: true,
            bytes: whole[..length.min(whole.len() - 1)].to_owned(),
            closes: true,
        }
    });
    // A target that fails is left out for a while, so the others take its place.
    let scripts: Vec<Script> = (0..40).map(|_n| sync::Arc::clone(&script)).collect();
    let (_store, targets, host) = deployment(&scripts).await;
    let mut failures = 0;
    for framing in HEADERS {
        let whole = 66 + framing.len();
        for length in 0..whole {
            *cut.lock().expect("cut") = (length, framing);
            let id = format!("{length:04}");
            let (method, path) = [("GET", "/look/x"), ("POST", "/order/x")][length % 2];
            let reply = host.request(method, path, &id).await;
            assert!(
                matches!(reply.status, 502..=504),
                "{method} cut after {length} bytes ({framing:?}): {}",
                reply.status
            );
            failures += usize::from(reply.status == 502);
        }
    }
    assert!(failures > 20, "{failures} answers were broken off");
    drop(targets);
}
