//! Test double of the platform's store, which can be made unresponsive or unavailable, and can
//! come back from an older copy.

use std::collections;
use std::net;
use std::sync;
use std::time;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt as _;

/// Failure mode of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Serving,
    /// Requests are read and never answered, including polls that already wait.
    Unresponsive,
    /// Every request is answered with 503.
    Unavailable,
    /// Polls are answered with 410, as the history of changes is gone.
    Compacted,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    /// Delay of a write.
    write_delay: time::Duration,
    /// Number of unresponsive periods; a poll that waited through one is never answered.
    outages: u64,
    /// Reads and polls so far.
    reads: usize,
    /// Table whose reads and polls wait until it is released.
    held: Option<String>,
    /// Number of returns from a copy, and 1.
    era: u64,
    contents: Contents,
}

/// The rows of the store, and their newest version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contents {
    version: u64,
    rows: collections::BTreeMap<(String, String), (u64, Option<String>)>,
    /// Fields that answers name for a row in place of its own.
    disguises: collections::BTreeMap<(String, String), serde_json::Value>,
}

#[derive(Clone, Debug)]
pub(crate) struct Store {
    pub(crate) address: net::SocketAddr,
    state: sync::Arc<sync::Mutex<State>>,
}

type Response = hyper::Response<http_body_util::Full<Bytes>>;

impl State {
    /// Returns an answer with the present era.
    fn answer(&self, status: u16, value: &serde_json::Value) -> Response {
        hyper::Response::builder()
            .status(status)
            .header("store-era", self.era)
            .body(http_body_util::Full::new(Bytes::from(value.to_string())))
            .expect("answer")
    }

    fn rows(&self, table: &str, after: u64, includes_removed: bool) -> Response {
        let rows: Vec<serde_json::Value> = self
            .contents
            .rows
            .iter()
            .filter(|((of, _key), (version, _value))| of == table && *version > after)
            .filter(|(_key, (_version, value))| includes_removed || value.is_some())
            .map(|((of, key), (version, value))| {
                let mut row = serde_json::json!({"table": of, "part": "", "key": key,
                    "value": value, "ver": version, "deleted": value.is_none()});
                let disguise = self.contents.disguises.get(&(of.clone(), key.clone()));
                for (field, value) in disguise.into_iter().filter_map(|d| d.as_object()).flatten() {
                    row[field] = value.clone();
                }
                row
            })
            .collect();
        let version = self.contents.version;
        let answer =
            serde_json::json!({"rows": rows, "hasMore": false, "ver": version, "nowS": 1.0});
        self.answer(200, &answer)
    }
}

impl Contents {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = (self.version, value);
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn has_changes(&self, table: &str, after: u64) -> bool {
        let mut rows = self.rows.iter();
        rows.any(|((of, _key), (version, _value))| of == table && *version > after)
    }
}

impl Store {
    pub(crate) async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let store = Self {
            address: listener.local_addr().expect("address"),
            state: sync::Arc::new(sync::Mutex::new(State {
                mode: Mode::Serving,
                write_delay: time::Duration::ZERO,
                outages: 0,
                reads: 0,
                held: None,
                era: 1,
                contents: Contents::default(),
            })),
        };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let store = served.clone();
                let service = hyper::service::service_fn(move |request| {
                    let store = store.clone();
                    async move { store.answer(request).await }
                });
                let io = hyper_util::rt::TokioIo::new(stream);
                let http = hyper::server::conn::http1::Builder::new();
                tokio::spawn(http.serve_connection(io, service));
            }
        });
        store
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        let mut state = self.lock();
        state.mode = mode;
        state.outages += u64::from(mode == Mode::Unresponsive);
    }

    /// Holds the answers to reads and polls of a table back; `None` releases them.
    pub(crate) fn hold(&self, table: Option<&str>) {
        self.lock().held = table.map(str::to_owned);
    }

    async fn wait_until_released(&self, table: &str) {
        while self.lock().held.as_deref() == Some(table) {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    /// Returns the number of reads and polls so far.
    pub(crate) fn reads(&self) -> usize {
        self.lock().reads
    }

    pub(crate) fn set_write_delay(&self, delay: time::Duration) {
        self.lock().write_delay = delay;
    }

    /// Returns a copy of the rows and their version.
    pub(crate) fn copy(&self) -> Contents {
        self.lock().contents.clone()
    }

    /// Replaces the rows and their version by a copy; what was written since is lost.
    ///
    /// Polls that wait lose their connection, or are never answered if the store is unresponsive.
    pub(crate) fn restore(&self, copy: &Contents) {
        let mut state = self.lock();
        state.era += 1;
        state.contents = copy.clone();
    }

    pub(crate) fn put(&self, table: &str, key: &str, value: &str) {
        self.set(table, key, Some(BASE64_STANDARD.encode(value)));
    }

    pub(crate) fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    pub(crate) fn keys(&self, table: &str) -> Vec<String> {
        let state = self.lock();
        let rows = state.contents.rows.iter();
        let rows = rows.filter(|((of, _key), _row)| of == table);
        rows.map(|((_table, key), _row)| key.clone()).collect()
    }

    /// Puts a row whose value is any bytes.
    pub(crate) fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.set(table, key, Some(BASE64_STANDARD.encode(value)));
    }

    /// Sets fields that the answers name for a row in place of its own.
    pub(crate) fn disguise(&self, table: &str, key: &str, fields: serde_json::Value) {
        let mut state = self.lock();
        let value = state.contents.rows.get(&(table.to_owned(), key.to_owned()));
        let value = value.and_then(|(_version, value)| value.clone());
        state.contents.set(table, key, value);
        state
            .contents
            .disguises
            .insert((table.to_owned(), key.to_owned()), fields);
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        self.lock().contents.set(table, key, value);
    }

    /// Answers a request, or fails if its connection is to be closed.
    async fn answer(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> std::io::Result<Response> {
        let (mode, period) = {
            let state = self.lock();
            (state.mode, (state.outages, state.era))
        };
        match mode {
            Mode::Compacted if request.uri().path() == "/api/rows-feed" => {
                return Ok(self.refuse(410));
            }
            Mode::Serving | Mode::Compacted => {}
            Mode::Unresponsive => return std::future::pending().await,
            Mode::Unavailable => return Ok(self.refuse(503)),
        }
        let query: collections::HashMap<String, String> = request
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        match request.uri().path() {
            "/api/rows-get" => {
                self.lock().reads += 1;
                self.wait_until_released(&query["table"]).await;
                Ok(self.lock().rows(&query["table"], 0, false))
            }
            "/api/rows-feed" => {
                self.lock().reads += 1;
                self.poll(&query, period).await
            }
            "/api/rows-tx" => {
                let delay = self.lock().write_delay;
                tokio::time::sleep(delay).await;
                let body = request
                    .into_body()
                    .collect()
                    .await
                    .expect("body")
                    .to_bytes();
                let call: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
                let mut state = self.lock();
                for write in call["writes"].as_array().expect("writes") {
                    let text = |field: &str| write[field].as_str().expect("text").to_owned();
                    let value = Some(text("value"));
                    state.contents.set(&text("table"), &text("key"), value);
                }
                let answer = serde_json::json!({"ver": state.contents.version, "nowS": 1.0});
                Ok(state.answer(200, &answer))
            }
            _ => Ok(self.refuse(404)),
        }
    }

    fn refuse(&self, status: u16) -> Response {
        self.lock().answer(status, &serde_json::json!({}))
    }

    /// Answers a poll that arrived after a number of outages, in an era.
    async fn poll(
        &self,
        query: &collections::HashMap<String, String>,
        (outages, era): (u64, u64),
    ) -> std::io::Result<Response> {
        let after: u64 = query["after"].parse().expect("version");
        let wait = time::Duration::from_millis(query["waitMs"].parse().expect("wait"));
        let began = time::Instant::now();
        while self.lock().outages == outages {
            {
                let state = self.lock();
                if state.era != era {
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
                if after > state.contents.version {
                    return Ok(state.answer(410, &serde_json::json!({})));
                }
                let is_changed = state.contents.has_changes(&query["table"], after);
                let is_held = state.held.as_deref() == Some(query["table"].as_str());
                if !is_held && (is_changed || began.elapsed() >= wait) {
                    return Ok(state.rows(&query["table"], after, true));
                }
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        std::future::pending().await
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no test panics with the store locked")
    }
}
