//! Hosts that announce a change and do not answer when they are asked for it.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bincode::Options as _;
use common::host;
use common::store;
use common::target;
use skylark_core::name;
use skylark_core::traffic;

/// Time within which a change must be in force, the shortest of the deployments.
const APPLY_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Neighbours that do not answer.
const SILENT_HOSTS: usize = 4;
/// Time between two reports of a host.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Port of the messages between hosts, as in the settings of the tests.
const REPORT_PORT: u16 = 8_204;
/// Version of the store that the silent hosts announce.
const ANNOUNCED: u64 = 1_000;
const VERSION: &str = "0000000b";

/// The messages between hosts that a silent one sends.
#[derive(serde::Serialize)]
enum Message {
    Report(traffic::Report),
}

/// A neighbour that reports to a host, accepts its connections, and never answers.
async fn start_silent(number: usize, to: net::SocketAddr, config: sync::Arc<atomic::AtomicU64>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let control = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((stream, _peer)) = listener.accept().await {
            held.push(stream);
        }
    });
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("bind");
    tokio::spawn(async move {
        loop {
            let position = traffic::Position::from(config.load(atomic::Ordering::Relaxed));
            let member = traffic::Member {
                host: name::Host::new(&format!("front-a1-9{number}")).expect("host"),
                incarnation: 1,
                zone: name::Zone::new("a1").expect("zone"),
                caller_address: control,
                control_address: control,
                phase: traffic::Phase::Ready,
                versions: traffic::Versions {
                    config: position,
                    targets: traffic::Position::ZERO,
                },
                store_access: traffic::StoreAccess::Unavailable,
            };
            let report = traffic::Report {
                member,
                demand: traffic::Demand::default(),
                crashes: Vec::new(),
                is_view_needed: false,
            };
            let message = Message::Report(report);
            let bytes = bincode::DefaultOptions::new().serialize(&message);
            let address = net::SocketAddr::new(to.ip(), REPORT_PORT);
            let sent = socket.send_to(&bytes.expect("message"), address).await;
            sent.expect("report");
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    });
}

/// Guards against a change that comes late, as one neighbour after the other is waited for.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_beside_neighbours_that_do_not_answer() {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let target = target::Target::start("i-1").await;
    target.register(&store, "ready");
    let first = host::Host::start(&store).await;
    let second = host::Host::start_named(&store, "front-a1-2").await;
    let has_left_reading = |host: &host::Host| host.log().contains("follows=false");
    common::eventually("one host reads for both", || async {
        has_left_reading(&first) || has_left_reading(&second)
    })
    .await;
    let follower = if has_left_reading(&first) {
        &first
    } else {
        &second
    };
    let newest = sync::Arc::new(atomic::AtomicU64::new(0));
    for number in 0..SILENT_HOSTS {
        start_silent(number, follower.control, sync::Arc::clone(&newest)).await;
    }
    follower
        .wait_for_log(&["host changed", "front-a1-93", "joined"])
        .await;
    newest.store(ANNOUNCED, atomic::Ordering::Relaxed);
    tokio::time::sleep(REPORT_INTERVAL * 2).await;
    let written = time::Instant::now();
    store.put("op", "config", &host::configuration(VERSION, "/look/"));
    follower
        .wait_for_log(&["configuration read", "version=11", "in_force=true"])
        .await;
    let took = written.elapsed();
    assert!(took < APPLY_TIME, "{took:?}\n{}", follower.log());
}
