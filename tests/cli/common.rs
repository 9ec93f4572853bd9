//! A platform in this process, and runs of the operator's command line against it.

use std::collections;
use std::net;
use std::process;
use std::sync;

use skylark_wire::platform;
use warp::Filter as _;
use warp::http;

/// What the platform does to the next commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The commit takes effect and its answer is lost.
    LoseAnswer,
    /// The commit is lost.
    LoseCommit,
    /// Another operator's change comes in just before the commit.
    Race,
}

/// The rows of the table and the objects.
#[derive(Debug, Default)]
pub struct State {
    /// Rows by key.
    pub rows: collections::BTreeMap<String, platform::Row>,
    /// Objects by key.
    pub objects: collections::BTreeMap<String, Vec<u8>>,
    /// Commits that arrived.
    pub commits: usize,
    /// What happens to commits.
    pub fault: Fault,
}

impl State {
    /// Puts a row, as another writer would.
    pub fn put(&mut self, key: &str, value: serde_json::Value) {
        let version = self.rows.get(key).map_or(0, |row| row.version) + 1;
        let row = platform::Row {
            key: key.to_owned(),
            version,
            value,
        };
        self.rows.insert(key.to_owned(), row);
    }

    fn commit(&mut self, commit: &platform::Commit) -> (http::StatusCode, String) {
        self.commits += 1;
        match self.fault {
            Fault::LoseCommit => return (http::StatusCode::INTERNAL_SERVER_ERROR, String::new()),
            Fault::Race => self.race(),
            Fault::None | Fault::LoseAnswer => {}
        }
        for condition in &commit.conditions {
            let version = self.rows.get(&condition.key).map_or(0, |row| row.version);
            if version != condition.version {
                return (http::StatusCode::CONFLICT, condition.key.clone());
            }
        }
        for write in &commit.writes {
            match &write.value {
                Some(value) => self.put(&write.key, value.clone()),
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        if self.fault == Fault::LoseAnswer {
            return (http::StatusCode::INTERNAL_SERVER_ERROR, String::new());
        }
        (http::StatusCode::OK, String::new())
    }

    /// Accepts a change of another operator.
    fn race(&mut self) {
        let head = self.rows.get("head").map(|row| row.value.clone());
        let version = head.map_or(0, |head| head["version"].as_u64().unwrap_or(0)) + 1;
        let head = serde_json::json!({"version": version, "write": "other"});
        let change = serde_json::json!(
            {"version": version, "write": "other", "put": [], "removed": []}
        );
        self.put(&format!("change/{version}"), change);
        self.put("head", head);
        self.fault = Fault::None;
    }
}

/// A platform that runs until it is dropped.
#[derive(Debug)]
pub struct Platform {
    /// What the platform holds.
    pub state: sync::Arc<sync::Mutex<State>>,
    address: net::SocketAddr,
    _runtime: tokio::runtime::Runtime,
}

impl Platform {
    /// Starts a platform on a free port.
    pub fn start() -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
        let state = sync::Arc::<sync::Mutex<State>>::default();
        let routes = routes(sync::Arc::clone(&state));
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind(("127.0.0.1", 0)))
            .expect("a port is free");
        let address = listener.local_addr().expect("the port is known");
        runtime.spawn(warp::serve(routes).incoming(listener).run());
        Self {
            state,
            address,
            _runtime: runtime,
        }
    }

    /// Returns what the platform holds.
    pub fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panicked")
    }

    /// Runs the command line against this platform.
    pub fn run(&self, arguments: &[&str]) -> Run {
        let url = format!("http://{}", self.address);
        let arguments = arguments.iter().copied().chain(["--platform", &url]);
        run(&arguments.collect::<Vec<_>>())
    }
}

fn routes(
    state: sync::Arc<sync::Mutex<State>>,
) -> impl warp::Filter<Extract = (impl warp::Reply,), Error = warp::Rejection> + Clone {
    warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::body::bytes())
        .map(
            move |method: http::Method, path: warp::path::FullPath, body: bytes::Bytes| {
                let mut state = state.lock().expect("no holder panicked");
                let (status, body) = answer(&mut state, &method, path.as_str(), &body);
                warp::reply::with_status(body, status)
            },
        )
}

fn answer(
    state: &mut State,
    method: &http::Method,
    path: &str,
    body: &[u8],
) -> (http::StatusCode, Vec<u8>) {
    let json = |value: serde_json::Value| (http::StatusCode::OK, value.to_string().into_bytes());
    if path == "/table/commit" {
        let commit = serde_json::from_slice(body).expect("the commit is well formed");
        let (status, text) = state.commit(&commit);
        return (status, text.into_bytes());
    }
    if let Some(key) = path.strip_prefix("/table/row/") {
        return match state.rows.get(key) {
            Some(row) => json(serde_json::json!(row)),
            None => (http::StatusCode::NOT_FOUND, Vec::new()),
        };
    }
    if let Some(prefix) = path.strip_prefix("/table/rows/") {
        let rows: Vec<&platform::Row> = state
            .rows
            .values()
            .filter(|row| row.key.starts_with(prefix))
            .collect();
        return json(serde_json::json!(rows));
    }
    if let Some(prefix) = path.strip_prefix("/list/") {
        let keys: Vec<&String> = state
            .objects
            .keys()
            .filter(|key| key.starts_with(prefix))
            .collect();
        return json(serde_json::json!(keys));
    }
    if let Some(key) = path.strip_prefix("/objects/") {
        if method == http::Method::PUT {
            state.objects.insert(key.to_owned(), body.to_vec());
            return (http::StatusCode::OK, Vec::new());
        }
        return match state.objects.get(key) {
            Some(body) => (http::StatusCode::OK, body.clone()),
            None => (http::StatusCode::NOT_FOUND, Vec::new()),
        };
    }
    json(serde_json::json!([]))
}

/// What one run of the command line did.
#[derive(Debug)]
pub struct Run {
    /// Exit code.
    pub code: Option<i32>,
    /// What it printed.
    pub out: String,
    /// What it printed to standard error.
    pub err: String,
}

impl Run {
    /// Returns the output as JSON, after checking that the run succeeded.
    pub fn json(&self) -> serde_json::Value {
        assert_eq!(self.code, Some(0), "{self:?}");
        serde_json::from_str(&self.out).expect("the output is JSON")
    }
}

/// Runs the command line.
pub fn run(arguments: &[&str]) -> Run {
    let output = process::Command::new(env!("CARGO_BIN_EXE_skylark"))
        .args(arguments)
        .env_remove("SKYLARK_PLATFORM")
        .output()
        .expect("the command line runs");
    Run {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("the output is text"),
        err: String::from_utf8(output.stderr).expect("the errors are text"),
    }
}

/// Returns the files of a deployment's records.
pub fn example(deployment: &str) -> Vec<String> {
    let root = env!("CARGO_MANIFEST_DIR");
    ["accounts", "policy", "regions", "services", "targets"]
        .iter()
        .map(|name| format!("{root}/examples/{deployment}/{name}.yaml"))
        .collect()
}

/// Returns a command line of one command on a deployment's files.
pub fn on_example<'a>(command: &'a str, files: &'a [String]) -> Vec<&'a str> {
    let files = files.iter().map(String::as_str);
    [command].into_iter().chain(files).collect()
}
