//! Test double of a target on a raw socket, so that it can also violate the protocol.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::store;

/// Size of a long body that a host still buffers whole.
pub(crate) const LONG_BYTES: usize = 250 * 1_024;

/// Size of a body that does not fit the buffers of host and sockets.
pub(crate) const HUGE_BYTES: usize = 24 * 1_024 * 1_024;
/// Time that a slow target takes for a request.
pub(crate) const SLOW_TIME: time::Duration = time::Duration::from_millis(600);
/// Time that a target takes for a request which is shorter than a caller's pause.
pub(crate) const SHORT_TIME: time::Duration = time::Duration::from_millis(8);
/// Delay of a target that reads late.
const READ_DELAY: time::Duration = time::Duration::from_secs(2);

/// Behavior of a target for the next requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behavior {
    Answer,
    /// Answers that it did not run the request.
    RefuseToRun,
    /// Answers that it did not run the request unless another target said so before.
    RefuseOnce,
    /// Reads the request and closes the connection.
    Disconnect,
    /// Reads the request and closes the connection after a while.
    DisconnectLate,
    /// Runs the request and never answers.
    Hang,
    /// Closes the connection in the middle of its response.
    Truncate,
    /// Sends its response twice.
    AnswerTwice,
    /// Sends the answer to the previous request on the connection once more before its own.
    RepeatPrevious,
    /// Like `RepeatPrevious`, and the copy says that nothing ran, without an id.
    RepeatRefusal,
    /// Answers 200 without a response stamp.
    OmitStamp,
    /// Sends a long body.
    AnswerLong,
    /// Sends a body that a host passes on while it arrives.
    AnswerHuge,
    /// Reads nothing from a new connection for a while.
    ReadLate,
    /// Answers after a while.
    AnswerSlowly,
    /// Answers after a short while.
    AnswerSoon,
    /// Answers after the head, and reads the body later.
    AnswerEarly,
}

/// A request that a target began to run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) head: String,
    pub(crate) at: time::Instant,
}

#[derive(Debug, Default)]
struct Record {
    heads: Vec<String>,
    runs: Vec<Run>,
    bodies: Vec<Vec<u8>>,
    disconnects: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) id: String,
    pub(crate) address: net::SocketAddr,
    behavior: sync::Arc<sync::Mutex<Behavior>>,
    /// Header lines of the next answers, each with its line end.
    extra: sync::Arc<sync::Mutex<String>>,
    record: sync::Arc<sync::Mutex<Record>>,
    /// Statuses that the target has registered.
    sequence: sync::Arc<atomic::AtomicU64>,
    /// Ids of the requests that any target refused once.
    refused: RefusedIds,
}

/// Ids of refused requests, shared by the targets of a test.
type RefusedIds = sync::Arc<sync::Mutex<collections::HashSet<String>>>;

impl Target {
    pub(crate) async fn start(id: &str) -> Self {
        Self::start_beside(id, &[]).await
    }

    /// Starts a target that knows which requests the others refused.
    pub(crate) async fn start_beside(id: &str, others: &[Self]) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let target = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address"),
            behavior: sync::Arc::new(sync::Mutex::new(Behavior::Answer)),
            extra: sync::Arc::default(),
            record: sync::Arc::default(),
            sequence: sync::Arc::default(),
            refused: others
                .first()
                .map(|other| RefusedIds::clone(&other.refused))
                .unwrap_or_default(),
        };
        let served = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let target = served.clone();
                tokio::spawn(async move { target.serve(stream).await });
            }
        });
        target
    }

    /// Registers the target in the store.
    pub(crate) fn register(&self, store: &store::Store, state: &str) {
        self.register_at(store, state, self.address, "a1");
    }

    /// Registers the target in the store with another address and zone.
    pub(crate) fn register_at(
        &self,
        store: &store::Store,
        state: &str,
        address: net::SocketAddr,
        zone: &str,
    ) {
        let sequence = self.sequence.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let entry = serde_json::json!({
            "address": address,
            "info": {"service": "ledger", "version": "v1", "zone": zone, "slots": 4},
            "status": {"state": state, "sequence": sequence, "warmupLeftS": 0},
            "born": 1,
        });
        store.put("servers", &self.id, &entry.to_string());
    }

    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().expect("behavior") = behavior;
    }

    /// Sets header lines of the next answers, each with its line end.
    pub(crate) fn set_headers(&self, lines: &str) {
        lines.clone_into(&mut self.extra.lock().expect("headers"));
    }

    pub(crate) fn heads(&self) -> Vec<String> {
        self.record.lock().expect("record").heads.clone()
    }

    /// Returns the requests that the target began to run, in the order of arrival.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.record.lock().expect("record").runs.clone()
    }

    pub(crate) fn bodies(&self) -> Vec<Vec<u8>> {
        self.record.lock().expect("record").bodies.clone()
    }

    /// Returns the number of connections that were closed while their request hung.
    pub(crate) fn disconnects(&self) -> usize {
        self.record.lock().expect("record").disconnects
    }

    /// Returns whether no target refused a request before, and records that this one does.
    fn refuses(&self, id: &str) -> bool {
        self.refused.lock().expect("ids").insert(id.to_owned())
    }

    fn record_request(&self, head: &str, body: Vec<u8>, behavior: Behavior) {
        let mut record = self.record.lock().expect("record");
        record.heads.push(head.to_owned());
        if behavior != Behavior::RefuseToRun {
            record.runs.push(Run {
                head: head.to_owned(),
                at: time::Instant::now(),
            });
        }
        record.bodies.push(body);
    }

    async fn serve(&self, mut stream: tokio::net::TcpStream) {
        let mut pending = Vec::new();
        let mut previous = String::new();
        if *self.behavior.lock().expect("behavior") == Behavior::ReadLate {
            tokio::time::sleep(READ_DELAY).await;
        }
        while let Some(head) = read_head(&mut stream, &mut pending).await {
            let id = value(&head, "request-id").unwrap_or_default();
            let behavior = match *self.behavior.lock().expect("behavior") {
                Behavior::RefuseOnce if self.refuses(&id) => Behavior::RefuseToRun,
                Behavior::RefuseOnce => Behavior::Answer,
                behavior => behavior,
            };
            let text = format!("{} answered {id}", self.id);
            let extra = self.extra.lock().expect("headers").clone();
            let whole = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\n\
                 Backend-Load: 0,0,4\r\n{extra}Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if behavior == Behavior::AnswerEarly {
                if stream.write_all(whole.as_bytes()).await.is_err() {
                    return;
                }
                tokio::time::sleep(READ_DELAY / 4).await;
            }
            let Some(body) = read_body(&mut stream, &mut pending, &head).await else {
                return;
            };
            self.record_request(&head, body, behavior);
            match behavior {
                Behavior::AnswerSlowly | Behavior::DisconnectLate => {
                    tokio::time::sleep(SLOW_TIME).await;
                }
                Behavior::AnswerSoon => tokio::time::sleep(SHORT_TIME).await,
                _ => {}
            }
            let answer = match behavior {
                Behavior::Answer
                | Behavior::AnswerSlowly
                | Behavior::AnswerSoon
                | Behavior::ReadLate => whole,
                Behavior::RefuseOnce => unreachable!("decided for each request"),
                Behavior::RefuseToRun => format!(
                    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                     {extra}Content-Length: 0\r\n\r\n"
                ),
                Behavior::Disconnect | Behavior::DisconnectLate => return,
                Behavior::AnswerEarly => continue,
                Behavior::Hang => {
                    let mut byte = [0];
                    if matches!(stream.read(&mut byte).await, Ok(0) | Err(_)) {
                        self.record.lock().expect("record").disconnects += 1;
                    }
                    return;
                }
                Behavior::Truncate => {
                    let part = &whole[..whole.len() - 4];
                    stream.write_all(part.as_bytes()).await.expect("write");
                    return;
                }
                Behavior::AnswerTwice => whole.repeat(2),
                Behavior::RepeatPrevious => {
                    std::mem::replace(&mut previous, whole.clone()) + &whole
                }
                Behavior::RepeatRefusal => {
                    let copy = std::mem::replace(
                        &mut previous,
                        "HTTP/1.1 503 Late\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                            .to_owned(),
                    );
                    copy + &whole
                }
                Behavior::AnswerHuge => format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\n\
                     Content-Length: {HUGE_BYTES}\r\n\r\n{}",
                    "x".repeat(HUGE_BYTES)
                ),
                Behavior::AnswerLong => format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\n\
                     Content-Length: {LONG_BYTES}\r\n\r\n{}",
                    "x".repeat(LONG_BYTES)
                ),
                Behavior::OmitStamp => whole.replace("Response-Stamp", "Other"),
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Returns the value of a header in a request head.
pub(crate) fn value(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(header, _value)| header.eq_ignore_ascii_case(name));
    found.map(|(_header, value)| value.to_owned())
}

async fn read_head(stream: &mut tokio::net::TcpStream, pending: &mut Vec<u8>) -> Option<String> {
    let end = loop {
        if let Some(at) = pending.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, pending).await?;
    };
    let head = String::from_utf8_lossy(&pending[..end]).into_owned();
    pending.drain(..end);
    Some(head)
}

async fn read_body(
    stream: &mut tokio::net::TcpStream,
    pending: &mut Vec<u8>,
    head: &str,
) -> Option<Vec<u8>> {
    if value(head, "transfer-encoding").is_some() {
        return read_chunks(stream, pending).await;
    }
    let length: usize =
        value(head, "content-length").map_or(0, |text| text.parse().expect("length"));
    while pending.len() < length {
        read_more(stream, pending).await?;
    }
    Some(pending.drain(..length).collect())
}

async fn read_chunks(stream: &mut tokio::net::TcpStream, pending: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = pending.windows(2).position(|bytes| bytes == b"\r\n") {
                break at;
            }
            read_more(stream, pending).await?;
        };
        let size =
            usize::from_str_radix(&String::from_utf8_lossy(&pending[..end]), 16).expect("size");
        while pending.len() < end + 2 + size + 2 {
            read_more(stream, pending).await?;
        }
        body.extend_from_slice(&pending[end + 2..end + 2 + size]);
        pending.drain(..end + 2 + size + 2);
        if size == 0 {
            return Some(body);
        }
    }
}

async fn read_more(stream: &mut tokio::net::TcpStream, pending: &mut Vec<u8>) -> Option<()> {
    let mut buffer = vec![0; 16_384];
    match stream.read(&mut buffer).await {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            pending.extend_from_slice(&buffer[..count]);
            Some(())
        }
    }
}
