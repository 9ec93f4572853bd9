//! A large configuration that many hosts ask one host for at once.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::net;
use std::time;

use common::host;
use common::raw;
use common::store;
use common::target;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Routes of a configuration of some 5 MB, more than sockets buffer.
const MANY_ROUTES: usize = 20_000;
/// Routes of a configuration as large as those of the deployments.
const ROUTES: usize = 1_600;
/// Hosts that ask at once and read slowly.
const ASKING_HOSTS: usize = 12;
/// Receive buffer of a host that reads slowly.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1_024;
/// Time in which a small change must be answered beside large ones, a fifth of the shortest bound
/// of the deployments for changes in force.
const MAX_ANSWER_TIME: time::Duration = time::Duration::from_millis(500);
/// Version that no change of a table is newer than.
const NEVER: u64 = u64::MAX;

fn large_configuration(version: &str, routes: usize) -> String {
    let text = host::configuration(version, "/look/");
    let mut rules: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let paths = rules["virtualHosts"][0]["paths"]
        .as_array_mut()
        .expect("paths");
    let route = paths[0].clone();
    paths.extend((0..routes).map(|n| {
        let mut route = route.clone();
        route["name"] = format!("r-{n}").into();
        route["prefix"] = format!("/r{n}/").into();
        route
    }));
    rules.to_string()
}

fn question(after: (u64, u64), headers: &str) -> String {
    let (config, targets) = after;
    format!("GET /knowledge?{config}-{targets} HTTP/1.1\r\nHost: x\r\n{headers}\r\n")
}

/// Asks for changes and reads the status only.
async fn ask(address: net::SocketAddr, question: &str) -> (String, tokio::net::TcpStream) {
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("buffer");
    let mut stream = socket.connect(address).await.expect("connect");
    stream
        .write_all(question.as_bytes())
        .await
        .expect("question");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("status");
    (String::from_utf8_lossy(&status[9..]).into_owned(), stream)
}

#[tokio::test(flavor = "multi_thread")]
async fn large_changes_are_sent_to_few_hosts_at_once_and_small_ones_to_all() {
    let store = store::Store::start().await;
    store.put(
        "op",
        "config",
        &large_configuration("0000000a", MANY_ROUTES),
    );
    let target = target::Target::start("i-1").await;
    target.register(&store, "ready");
    let host = host::Host::start(&store).await;
    let mut answers = Vec::new();
    for _n in 0..ASKING_HOSTS {
        answers.push(ask(host.control, &question((0, NEVER), "")).await);
    }
    let sent = answers.iter().filter(|(status, _stream)| status == "200");
    let refused = answers.iter().filter(|(status, _stream)| status == "503");
    assert_eq!((sent.count(), refused.count()), (1, ASKING_HOSTS - 1));
    let began = time::Instant::now();
    let (status, _stream) = ask(host.control, &question((NEVER, 0), "")).await;
    let took = began.elapsed();
    assert_eq!(status, "200", "a table of one target");
    assert!(took < MAX_ANSWER_TIME, "{took:?}");
    drop(answers);
    common::eventually("the next host is served", || async {
        ask(host.control, &question((0, NEVER), "")).await.0 == "200"
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_compressed_for_hosts_that_accept_it() {
    let store = store::Store::start().await;
    let text = large_configuration("0000000a", ROUTES);
    store.put("op", "config", &text);
    let target = target::Target::start("i-1").await;
    target.register(&store, "ready");
    let host = host::Host::start(&store).await;
    let mut caller = raw::Caller::connect(host.control).await;
    let headers = "Accept-Encoding: deflate\r\n";
    caller
        .send(question((0, NEVER), headers))
        .await
        .expect("question");
    let answer = caller.read().await.expect("an answer");
    assert_eq!(answer.status, 200);
    let encoding = target::value(&answer.head, "content-encoding");
    assert_eq!(encoding.as_deref(), Some("deflate"));
    assert!(
        answer.body.len() * 8 < text.len(),
        "{} bytes",
        answer.body.len()
    );
    // A second host gets the whole large configuration from the first one.
    let place = host::Place {
        name: "front-a1-2",
        zone: "a1",
        region: "a",
        store: store.address,
    };
    let second = host::Host::start_at(place);
    second
        .wait_for_log(&["configuration read", "version=10", "in_force=true"])
        .await;
    store.put("op", "config", &large_configuration("0000000b", ROUTES));
    second
        .wait_for_log(&["configuration read", "version=11", "in_force=true"])
        .await;
    host.wait_for_log(&["configuration read", "version=11", "in_force=true"])
        .await;
    let updated = |host: &host::Host| host.log().contains("table updated from another host");
    common::eventually("one host got the change from the other", || async {
        updated(&host) || updated(&second)
    })
    .await;
}
