//! Configuration, keys and membership with real processes under faults.

mod common;

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::process;
use std::time;

use skylark_wire::header;
use skylark_wire::http;

/// The deployment's bound on the age of evidence.
const BOUND: time::Duration = time::Duration::from_secs(3);
const STEP: time::Duration = time::Duration::from_millis(50);
const OPEN_PATH: &str = "/public/tides";

fn withdrawn() -> String {
    let digest = skylark_core::secret::Secret::new(common::KEY).digest();
    let digest = String::from(digest);
    format!("schema: 1\nkey: {{name: shop-1, account: shop, digest: {digest}, state: withdrawn}}\n")
}

/// Returns the status of a keyed request and the kind of its refusal.
async fn keyed(fleet: &common::Fleet, host: usize) -> (u16, String) {
    let reply = fleet.get(&fleet.hosts[host], "/stock/oars").await;
    let reply = reply.expect("an answer");
    (reply.status, kind(&reply))
}

fn kind(reply: &http::Reply) -> String {
    let said: Option<serde_json::Value> = serde_json::from_slice(&reply.body).ok();
    said.and_then(|said| Some(said["type"].as_str()?.to_owned()))
        .unwrap_or_default()
}

async fn open(fleet: &common::Fleet, host: usize) -> u16 {
    let reply = fleet.call(&fleet.hosts[host], "GET", OPEN_PATH, &[]).await;
    reply.expect("an answer").status
}

async fn expect_all(fleet: &common::Fleet, span: time::Duration, hosts: &[usize], status: u16) {
    let end = time::Instant::now() + span;
    while time::Instant::now() < end {
        for host in hosts {
            let (said, kind) = keyed(fleet, *host).await;
            assert_eq!(said, status, "host {host}: {kind}");
        }
        tokio::time::sleep(STEP).await;
    }
}

async fn row(fleet: &common::Fleet, key: &str) -> serde_json::Value {
    let url = format!("{}/table/row/{key}", fleet.platform);
    let reply = fleet.http.send("GET", &url, Vec::new()).await;
    let body = reply.expect("the platform answers").body;
    serde_json::from_slice(&body).unwrap_or(serde_json::Value::Null)
}

/// Waits until every zone has a member and no earlier roster can vouch.
async fn settle(fleet: &common::Fleet) {
    fleet
        .wait("a settled roster", async |fleet: &common::Fleet| {
            let roster = row(fleet, "roster").await;
            let members = roster["value"]["members"].as_array().map(Vec::len);
            let past = roster["value"]["past"].as_array().map(Vec::len);
            members == Some(fleet.hosts.len()) && past == Some(0)
        })
        .await;
}

fn signal(child: &process::Child, name: &str) {
    common::signal(&format!("-{name}"), child);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_routes_stay_open_through_a_store_outage_while_the_hosts_hear_each_other() {
    let fleet = common::Fleet::start(&common::ZONES).await;
    settle(&fleet).await;
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    expect_all(&fleet, BOUND * 3, &[0, 1, 2, 3], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_dead_host_of_four_closes_no_other_in_a_store_outage() {
    let mut fleet = common::Fleet::start(&common::ZONES).await;
    settle(&fleet).await;
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    fleet.hosts[3].kill();
    expect_all(&fleet, BOUND * 3, &[0, 1, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_frozen_host_of_four_closes_no_other_in_a_store_outage() {
    let fleet = common::Fleet::start(&common::ZONES).await;
    settle(&fleet).await;
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    signal(&fleet.hosts[3].steer, "STOP");
    expect_all(&fleet, BOUND * 3, &[0, 1, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_closes_nothing() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    settle(&fleet).await;
    fleet
        .platform_faults(&serde_json::json!({"slow_millis": 1_800}))
        .await;
    expect_all(&fleet, BOUND * 3, &[0, 1, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_from_store_and_peers_refuses_keyed_routes_and_serves_open_ones() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    settle(&fleet).await;
    fleet.cut_platform(0);
    fleet.cut_peers();
    let cut = time::Instant::now();
    fleet.apply_at_once(&withdrawn());
    tokio::time::sleep(BOUND.saturating_sub(cut.elapsed())).await;
    assert_eq!(keyed(&fleet, 0).await, (503, "stale-keys".to_owned()));
    assert_eq!(keyed(&fleet, 1).await, (401, "unauthorized".to_owned()));
    let reply = fleet
        .get(&fleet.hosts[0], "/stock/oars")
        .await
        .expect("an answer");
    assert_eq!(reply.headers[header::OUTCOME], "not-run");
    expect_all(&fleet, BOUND, &[0], 503).await;
    assert_eq!(open(&fleet, 0).await, 200);
    fleet.heal();
    fleet
        .wait("news after the cut", async |fleet: &common::Fleet| {
            let (status, _kind) = keyed(fleet, 0).await;
            assert_ne!(status, 200, "the withdrawn key was honoured");
            status == 401
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_for_a_connected_caller_within_the_bound() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    settle(&fleet).await;
    expect_all(&fleet, STEP, &[0, 1, 2], 200).await;
    fleet.apply_at_once(&withdrawn());
    let accepted = time::Instant::now();
    for host in 0..3 {
        while keyed(&fleet, host).await.0 == 200 {
            assert!(accepted.elapsed() < BOUND, "host {host}");
        }
    }
    expect_all(&fleet, BOUND, &[0, 1, 2], 401).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_hosts_that_are_cut_from_the_store_over_their_peers() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    settle(&fleet).await;
    fleet.cut_platform(0);
    fleet.apply_at_once(&withdrawn());
    let accepted = time::Instant::now();
    while keyed(&fleet, 0).await != (401, "unauthorized".to_owned()) {
        assert!(accepted.elapsed() < BOUND, "{:?}", keyed(&fleet, 0).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_version_goes_back_when_every_host_is_restarted() {
    let mut fleet = common::Fleet::start(&common::ZONES[..3]).await;
    settle(&fleet).await;
    fleet.apply_at_once(&withdrawn());
    expect_soon(&fleet, 401).await;
    for host in &mut fleet.hosts {
        host.kill();
    }
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    for (index, zone) in common::ZONES[..3].iter().enumerate() {
        let host = fleet.start_host(u8::try_from(index).expect("few"), zone);
        fleet.hosts[index] = host;
    }
    let end = time::Instant::now() + BOUND;
    while time::Instant::now() < end {
        for host in &fleet.hosts {
            let reply = fleet.get(host, "/stock/oars").await;
            let said = reply.map(|reply| (reply.status, kind(&reply)));
            let expected = Some((503, "not-ready".to_owned()));
            assert!(said.is_none() || said == expected, "{said:?}");
        }
        tokio::time::sleep(STEP).await;
    }
    fleet.platform_faults(&serde_json::json!({})).await;
    expect_soon(&fleet, 401).await;
    settle(&fleet).await;
    expect_all(&fleet, BOUND, &[0, 1, 2], 401).await;
}

/// Waits until every host answers a keyed request with a status, and never with 200 before.
async fn expect_soon(fleet: &common::Fleet, status: u16) {
    fleet
        .wait("every host's answer", async |fleet: &common::Fleet| {
            for host in 0..fleet.hosts.len() {
                if keyed(fleet, host).await.0 != status {
                    return false;
                }
            }
            true
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_entry_process_serves_on_while_its_control_process_is_replaced() {
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    settle(&fleet).await;
    let _ended = fleet.hosts[0].steer.kill();
    let _reaped = fleet.hosts[0].steer.wait();
    expect_all(&fleet, BOUND / 3, &[0, 1], 200).await;
    fleet.restart_steer(0);
    expect_all(&fleet, BOUND * 2, &[0, 1], 200).await;
    settle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_control_process_lets_keys_go_stale_and_no_old_proof_revives_them() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    settle(&fleet).await;
    signal(&fleet.hosts[0].steer, "STOP");
    signal(&fleet.hosts[0].entry, "STOP");
    fleet.apply_at_once(&withdrawn());
    tokio::time::sleep(BOUND).await;
    signal(&fleet.hosts[0].entry, "CONT");
    expect_all(&fleet, BOUND, &[0], 503).await;
    signal(&fleet.hosts[0].steer, "CONT");
    expect_soon(&fleet, 401).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_holder_of_a_lease_is_followed_by_another_with_a_higher_epoch() {
    let mut fleet = common::Fleet::start(&common::ZONES[..3]).await;
    settle(&fleet).await;
    let key = "lease/region-east";
    fleet
        .wait("a holder", async |fleet: &common::Fleet| {
            row(fleet, key).await["value"]["holder"].is_string()
        })
        .await;
    let before = row(&fleet, key).await["value"].clone();
    let holder = before["holder"].as_str().expect("a holder").to_owned();
    let index = usize::from(holder.starts_with("host-1"));
    fleet.hosts[index].kill();
    fleet
        .wait("another holder", async |fleet: &common::Fleet| {
            let now = row(fleet, key).await["value"].clone();
            now["holder"] != before["holder"] && now["epoch"].as_u64() > before["epoch"].as_u64()
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_host_is_named_no_more_and_one_missing_from_the_list_still_is() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    settle(&fleet).await;
    let list = serde_json::json!([
        {"name": "host-0", "zone": "east-a", "state": "live"},
        {"name": "host-1", "zone": "east-b", "state": "leaving"},
    ]);
    let url = format!("{}/hosts", fleet.platform);
    let body = list.to_string().into_bytes();
    let reply = fleet.http.send("PUT", &url, body).await;
    assert_eq!(reply.expect("the platform hears").status, 200);
    fleet
        .wait(
            "the leaving host to be left out",
            async |fleet: &common::Fleet| {
                let mut named = fleet.named(&fleet.hosts[0]).await;
                named.sort();
                named == ["host-0", "host-2"]
            },
        )
        .await;
    expect_all(&fleet, BOUND, &[0, 1, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_whole_host_cuts_no_request_and_leaves_the_roster() {
    let mut fleet = common::Fleet::start(&common::ZONES[..3]).await;
    settle(&fleet).await;
    for child in [
        &fleet.hosts[1].entry,
        &fleet.hosts[1].lookup,
        &fleet.hosts[1].steer,
    ] {
        signal(child, "TERM");
    }
    // The longest cached answer names the host for the answers' time to live, 1 s.
    expect_all(&fleet, time::Duration::from_millis(900), &[0, 1, 2], 200).await;
    fleet
        .wait(
            "the roster without the host",
            async |fleet: &common::Fleet| {
                let roster = row(fleet, "roster").await;
                let members = roster["value"]["members"].as_array().map(Vec::len);
                let past = roster["value"]["past"].as_array().map(Vec::len);
                members == Some(2) && past == Some(0)
            },
        )
        .await;
    let host = &mut fleet.hosts[1];
    for child in [&mut host.entry, &mut host.lookup, &mut host.steer] {
        assert!(child.wait().expect("an exit").success());
    }
    expect_all(&fleet, BOUND, &[0, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_goes_on_with_its_second_host_when_its_member_dies() {
    let zones = ["east-a", "east-a", "west-a", "west-a"];
    let mut fleet = common::Fleet::start(&zones).await;
    let member = async |fleet: &common::Fleet| {
        let roster = row(fleet, "roster").await;
        let members = roster["value"]["members"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let mut east = members.iter().filter(|m| m["zone"] == "east-a");
        east.next()
            .and_then(|m| Some(m["host"].as_str()?.to_owned()))
    };
    let before = member(&fleet).await.expect("a member of the zone");
    let dead = usize::from(before == "host-1");
    let other = 1 - dead;
    fleet.hosts[dead].kill();
    expect_all(&fleet, BOUND * 2, &[other, 2, 3], 200).await;
    fleet
        .wait(
            "the second host in the roster",
            async |fleet: &common::Fleet| {
                member(fleet).await.as_deref() == Some(fleet.hosts[other].name.as_str())
            },
        )
        .await;
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    expect_all(&fleet, BOUND * 2, &[other, 2, 3], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_comes_after_its_key_was_withdrawn_runs_nothing() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    settle(&fleet).await;
    let host = &fleet.hosts[0];
    let address = host.entry_url("").replace("http://", "");
    let mut stream = net::TcpStream::connect(address).expect("a connection");
    let head = format!(
        "GET /stock/slow HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         {}: 60000\r\ncontent-length: 4\r\nconnection: close\r\n\r\n",
        common::KEY,
        header::TIMEOUT
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    fleet.apply_at_once(&withdrawn());
    expect_soon(&fleet, 401).await;
    stream.write_all(b"body").expect("the body is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_waits_at_a_frozen_home_does_not_outlive_its_key() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    settle(&fleet).await;
    let home = fleet.lookup(&fleet.hosts[1]).await["home"].clone();
    let key = format!("{}.late", home.as_str().expect("a home"));
    let warm = format!("{}.warm", home.as_str().expect("a home"));
    let reply = fleet.order(&fleet.hosts[0], &warm, 1).await;
    assert_eq!(reply.expect("an answer").status, 200);
    signal(&fleet.hosts[1].entry, "STOP");
    let (bearer, attempt) = (format!("Bearer {}", common::KEY), "1".to_owned());
    let headers = [
        ("authorization", bearer.as_str()),
        (header::IDEMPOTENCY_KEY, key.as_str()),
        (header::ATTEMPT, attempt.as_str()),
        (header::TIMEOUT, "60000"),
    ];
    let late = async {
        let sent = fleet.call(&fleet.hosts[0], "POST", "/orders", &headers);
        tokio::time::timeout(BOUND * 15, sent).await
    };
    let wake = async {
        tokio::time::sleep(STEP * 4).await;
        fleet.apply_at_once(&withdrawn());
        tokio::time::sleep(BOUND).await;
        signal(&fleet.hosts[1].entry, "CONT");
    };
    let (_answer, ()) = tokio::join!(late, wake);
    expect_soon(&fleet, 401).await;
    assert_eq!(
        fleet.starts(&key).await,
        0,
        "the order ran under a withdrawn key"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn no_second_control_process_starts_beside_a_frozen_one() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    signal(&fleet.hosts[0].steer, "STOP");
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_skylark-steer"));
    command.arg(&fleet.hosts[0].steer_settings);
    let output = command.output().expect("it ends");
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("8003"), "{said}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_replaced_under_new_names_settles_by_the_operator_s_word() {
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    settle(&fleet).await;
    for host in &mut fleet.hosts {
        host.kill();
    }
    fleet.hosts.clear();
    for (index, zone) in [(2, common::ZONES[0]), (3, common::ZONES[1])] {
        fleet.add_host(index, zone);
    }
    let members = async |fleet: &common::Fleet| {
        let roster = row(fleet, "roster").await["value"].clone();
        let hosts = roster["members"].as_array().cloned().unwrap_or_default();
        let mut hosts: Vec<String> = hosts.iter().map(|m| m["host"].to_string()).collect();
        hosts.sort();
        (hosts, roster["past"] == serde_json::json!([]))
    };
    let new = vec!["\"host-2\"".to_owned(), "\"host-3\"".to_owned()];
    fleet
        .wait(
            "the new hosts in the roster",
            async |fleet: &common::Fleet| members(fleet).await.0 == new,
        )
        .await;
    tokio::time::sleep(BOUND).await;
    assert!(
        !members(&fleet).await.1,
        "the old hosts may be cut off and honour keys"
    );
    let output = fleet.skylark(&["drain", "ended", "host-0"]);
    assert!(
        output.status.code() == Some(0) || output.status.code() == Some(8),
        "{output:?}"
    );
    fleet
        .wait("a settled roster", async |fleet: &common::Fleet| {
            members(fleet).await.1
        })
        .await;
    expect_soon(&fleet, 200).await;
}
