//! The stand-in platform itself, as a process.

use std::net;
use std::process;
use std::time;

use skylark_wire::http;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A stand-in platform, ended when it is dropped.
struct StandIn {
    process: process::Child,
    url: String,
    http: http::Client,
    client: platform::Client,
}

impl StandIn {
    async fn start() -> Self {
        let [_, _, high, low] = process::id().to_be_bytes();
        let ip = net::Ipv4Addr::new(127, 1, high, low);
        let address = net::SocketAddr::from((ip, 7_000));
        let process = process::Command::new(env!("CARGO_BIN_EXE_skylark-standin"))
            .args(["platform", "--listen", &address.to_string()])
            .spawn()
            .expect("the stand-in starts");
        let url = format!("http://{address}");
        let standin = Self {
            process,
            http: http::Client::new(CALL_TIMEOUT),
            client: platform::Client::new(&url),
            url,
        };
        let began = time::Instant::now();
        while standin.client.hosts().await.is_err() {
            assert!(began.elapsed() < WAIT_TIMEOUT, "no answer");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        standin
    }

    async fn call(&self, method: &str, path: &str) -> http::Reply {
        let url = format!("{}/{path}", self.url);
        let reply = self.http.send(method, &url, Vec::new()).await;
        reply.expect("a response")
    }

    /// Writes a row that has a version.
    async fn write(&self, key: &str, version: u64, value: &str) -> platform::Result<()> {
        let commit = platform::Commit {
            conditions: vec![platform::Condition {
                key: key.to_owned(),
                version,
            }],
            writes: vec![platform::Write {
                key: key.to_owned(),
                value: Some(value.into()),
            }],
        };
        self.client.commit(&commit).await
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ended = self.process.kill();
        let _reaped = self.process.wait();
    }
}

#[tokio::test]
async fn a_platform_back_from_a_copy_loses_writes_and_gives_versions_out_again() {
    let standin = StandIn::start().await;
    assert_eq!(standin.call("PUT", "restore").await.status, 404, "no copy");
    standin.write("kept", 0, "first").await.expect("written");
    assert_eq!(standin.call("PUT", "copy").await.status, 200);
    standin.write("kept", 1, "lost").await.expect("written");
    standin.write("lost", 0, "").await.expect("written");
    let object = standin.client.put("object", Vec::new()).await;
    object.expect("stored");
    assert_eq!(standin.call("PUT", "restore").await.status, 200);
    let rows = standin.client.rows("").await.expect("rows");
    let [row] = &*rows else {
        panic!("{rows:?}");
    };
    assert_eq!((row.version, row.value.as_str()), (1, Some("first")));
    assert_eq!(standin.client.get("object").await, Ok(None));
    let conflict = standin.write("kept", 2, "").await;
    let key = "kept".to_owned();
    assert_eq!(conflict, Err(platform::Error::Conflict { key }));
    standin.write("kept", 1, "second").await.expect("written");
    let row = standin.client.row("kept").await.expect("a row");
    let row = row.map(|row| (row.version, row.value));
    assert_eq!(row, Some((2, "second".into())));
    // The copy stays for a second return.
    assert_eq!(standin.call("PUT", "restore").await.status, 200);
    let row = standin.client.row("kept").await.expect("a row");
    assert_eq!(row.map(|row| row.version), Some(1));

    let mut eras = Vec::new();
    for (method, path) in [
        ("GET", "table/rows/"),
        ("GET", "table/row/none"),
        ("GET", "counts"),
        ("PUT", "restore"),
        ("GET", "hosts"),
        ("POST", "table/commit"),
    ] {
        let reply = standin.call(method, path).await;
        let era = reply.headers["store-era"].to_str().expect("text");
        eras.push((reply.status, era.to_owned()));
    }
    let seen: Vec<(u16, &str)> = eras.iter().map(|(s, era)| (*s, &**era)).collect();
    assert_eq!(
        seen,
        [
            (200, "3"),
            (404, "3"),
            (200, "3"),
            (200, "4"),
            (200, "4"),
            (400, "4")
        ]
    );
}
