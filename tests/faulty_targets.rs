//! Targets that repeat an earlier refusal, or stop in the middle of an answer's head.

mod common;

use std::fmt::Write as _;
use std::net;
use std::sync;

use skylark_wire::header;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Requests that a test sends.
const REQUESTS: usize = 12;

/// A target's answer to the request with a number on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Refuses every third request, and writes that refusal, without an id, again before the answer
    /// to the next one.
    RepeatRefusal,
    /// Closes the connection after these bytes of the head.
    CutHead(usize),
}

#[derive(Clone, Debug)]
struct Target {
    address: net::SocketAddr,
    fault: sync::Arc<sync::Mutex<Fault>>,
    /// Paths of the requests that ran.
    runs: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl Target {
    async fn start(fault: Fault) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let target = Self {
            address: listener.local_addr().expect("address"),
            fault: sync::Arc::new(sync::Mutex::new(fault)),
            runs: sync::Arc::default(),
        };
        let served = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        target
    }

    async fn serve(self, mut stream: tokio::net::TcpStream) {
        let refusal = format!(
            "HTTP/1.1 503 Full\r\n{}: 1\r\nContent-Length: 0\r\n\r\n",
            header::NOT_STARTED
        );
        let mut buffer = vec![0; 16_384];
        for number in 0.. {
            let count = stream.read(&mut buffer).await.unwrap_or(0);
            if count == 0 {
                return;
            }
            let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
            let fault = *self.fault.lock().expect("fault");
            if fault == Fault::RepeatRefusal && number % 3 == 0 {
                stream.write_all(refusal.as_bytes()).await.expect("write");
                continue;
            }
            let path = head.split_whitespace().nth(1).unwrap_or_default();
            self.runs.lock().expect("runs").push(path.to_owned());
            let id = head
                .lines()
                .find_map(|line| line.strip_prefix("request-id: "));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nContent-Length: 2\r\n\r\nok",
                id.unwrap_or_default()
            );
            let (bytes, closes) = match fault {
                Fault::RepeatRefusal if number % 3 == 1 => (refusal.clone() + &answer, false),
                Fault::RepeatRefusal => (answer, false),
                Fault::CutHead(length) => (answer[..length].to_owned(), true),
            };
            if stream.write_all(bytes.as_bytes()).await.is_err() || closes {
                return;
            }
        }
    }

    fn runs_of(&self, path: &str) -> usize {
        let runs = self.runs.lock().expect("runs");
        runs.iter().filter(|run| *run == path).count()
    }
}

/// Returns the records of a service whose requests must not run twice, with these targets.
fn records(targets: &[Target]) -> String {
    let mut text = "---\nschema: 1\nservice:\n  name: rare\n  routes:\n    - {methods: [POST], \
                    path: /rare, access: keyed, idempotent: false}\n  deadline: 2s\n  queue: 64\n  \
                    objective: {good: 99.9%, within: 500ms}\n"
        .to_owned();
    for (n, target) in targets.iter().enumerate() {
        let (zone, address) = (common::ZONES[0], target.address);
        write!(
            text,
            "---\nschema: 1\ntarget: {{name: rare-{n}, service: rare, zone: {zone}, address: \
             '{address}', slots: 8, connections: 100}}\n"
        )
        .expect("writing to a string succeeds");
    }
    text
}

async fn send(fleet: &common::Fleet, home: &str, path: &str) -> Option<skylark_wire::http::Reply> {
    let bearer = format!("Bearer {}", common::KEY);
    let key = format!("{home}.{}", path.replace('/', "-"));
    let headers = [
        ("authorization", bearer.as_str()),
        (header::IDEMPOTENCY_KEY, key.as_str()),
        (header::ATTEMPT, "1"),
    ];
    fleet.call(&fleet.hosts[0], "POST", path, &headers).await
}

async fn fleet_with(targets: &[Target]) -> (common::Fleet, String) {
    let fleet = common::Fleet::with_records(&common::ZONES[..1], &records(targets)).await;
    let home = fleet.lookup(&fleet.hosts[0]).await;
    let home = home["home"].as_str().expect("a home").to_owned();
    (fleet, home)
}

/// Guards against an earlier refusal that is taken for the answer to a request which runs.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_takes_no_refusal_for_the_answer_to_a_later_request() {
    let targets = [
        Target::start(Fault::RepeatRefusal).await,
        Target::start(Fault::RepeatRefusal).await,
    ];
    let (fleet, home) = fleet_with(&targets).await;
    for n in 0..REQUESTS {
        let path = format!("/rare/{n}");
        let reply = send(&fleet, &home, &path).await.expect("an answer");
        let runs: usize = targets.iter().map(|target| target.runs_of(&path)).sum();
        let outcome = reply.headers.get(header::OUTCOME);
        assert!(runs <= 1, "{path}: {runs} runs");
        let says_not_run = outcome.is_some_and(|outcome| outcome == "not-run");
        assert!(!says_not_run || runs == 0, "{path}: it ran: {reply:?}");
    }
}

/// Guards against a success with an empty body that was made of a part of a head.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_makes_no_success_of_a_part_of_a_head() {
    let targets = [Target::start(Fault::CutHead(0)).await];
    let (fleet, home) = fleet_with(&targets).await;
    for length in (0..90).step_by(7) {
        *targets[0].fault.lock().expect("fault") = Fault::CutHead(length);
        let path = format!("/rare/{length}");
        let reply = send(&fleet, &home, &path).await.expect("an answer");
        assert!(reply.status >= 500, "cut after {length} bytes: {reply:?}");
    }
}
