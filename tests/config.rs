//! Configuration, keys and membership with real processes under faults.

mod common;

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::process;
use std::time;

use skylark_wire::header;
use skylark_wire::http;

/// `stale_after` of the policy: longest time that keyed routes work without newer proof.
const STALE_AFTER: time::Duration = time::Duration::from_secs(3);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const OPEN_PATH: &str = "/public/tides";

fn withdrawn_key() -> String {
    let digest = skylark_core::secret::Secret::new(common::KEY).digest();
    let digest = String::from(digest);
    format!("schema: 1\nkey: {{name: shop-1, account: shop, digest: {digest}, state: withdrawn}}\n")
}

/// Sends a request with a key; returns its status and the problem type of a refusal.
async fn call_keyed(fleet: &common::Fleet, host: usize) -> (u16, String) {
    let reply = fleet.get(&fleet.hosts[host], "/stock/oars").await;
    let reply = reply.expect("an answer");
    (reply.status, problem_type(&reply))
}

fn problem_type(reply: &http::Reply) -> String {
    let problem: Option<serde_json::Value> = serde_json::from_slice(&reply.body).ok();
    problem
        .and_then(|problem| Some(problem["type"].as_str()?.to_owned()))
        .unwrap_or_default()
}

async fn call_open(fleet: &common::Fleet, host: usize) -> u16 {
    let reply = fleet.call(&fleet.hosts[host], "GET", OPEN_PATH, &[]).await;
    reply.expect("an answer").status
}

/// Checks over a time span that keyed requests to the given hosts get a status.
async fn expect_status_for(
    fleet: &common::Fleet,
    span: time::Duration,
    hosts: &[usize],
    status: u16,
) {
    let end = time::Instant::now() + span;
    while time::Instant::now() < end {
        for host in hosts {
            let (actual, refusal) = call_keyed(fleet, *host).await;
            assert_eq!(actual, status, "host {host}: {refusal}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn stored_row(fleet: &common::Fleet, key: &str) -> serde_json::Value {
    let url = format!("{}/table/row/{key}", fleet.platform);
    let reply = fleet.http.send("GET", &url, Vec::new()).await;
    let body = reply.expect("the platform answers").body;
    serde_json::from_slice(&body).unwrap_or(serde_json::Value::Null)
}

/// Waits until the roster has a member for every host, and no earlier roster is still valid.
async fn wait_for_roster(fleet: &common::Fleet) {
    fleet
        .wait("a settled roster", async |fleet: &common::Fleet| {
            let roster = stored_row(fleet, "roster").await;
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
async fn keyed_routes_stay_available_in_a_store_outage_while_hosts_reach_each_other() {
    let fleet = common::Fleet::start(&common::ZONES).await;
    wait_for_roster(&fleet).await;
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    expect_status_for(&fleet, STALE_AFTER * 3, &[0, 1, 2, 3], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_killed_host_of_four_blocks_no_keyed_route_of_the_others_in_a_store_outage() {
    let mut fleet = common::Fleet::start(&common::ZONES).await;
    wait_for_roster(&fleet).await;
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    fleet.hosts[3].kill();
    expect_status_for(&fleet, STALE_AFTER * 3, &[0, 1, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_suspended_control_process_of_four_blocks_no_keyed_route_of_the_others_in_a_store_outage()
 {
    let fleet = common::Fleet::start(&common::ZONES).await;
    wait_for_roster(&fleet).await;
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    signal(&fleet.hosts[3].steer, "STOP");
    expect_status_for(&fleet, STALE_AFTER * 3, &[0, 1, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_keeps_keyed_routes_available() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    wait_for_roster(&fleet).await;
    fleet
        .platform_faults(&serde_json::json!({"slow_millis": 1_800}))
        .await;
    expect_status_for(&fleet, STALE_AFTER * 3, &[0, 1, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_partitioned_from_store_and_peers_refuses_keyed_routes_and_serves_open_ones() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    wait_for_roster(&fleet).await;
    fleet.cut_platform(0);
    fleet.cut_peers();
    let partitioned = time::Instant::now();
    fleet.apply_without_wait(&withdrawn_key());
    tokio::time::sleep(STALE_AFTER.saturating_sub(partitioned.elapsed())).await;
    assert_eq!(call_keyed(&fleet, 0).await, (503, "stale-keys".to_owned()));
    assert_eq!(
        call_keyed(&fleet, 1).await,
        (401, "unauthorized".to_owned())
    );
    let reply = fleet
        .get(&fleet.hosts[0], "/stock/oars")
        .await
        .expect("an answer");
    assert_eq!(reply.headers[header::OUTCOME], "not-run");
    expect_status_for(&fleet, STALE_AFTER, &[0], 503).await;
    assert_eq!(call_open(&fleet, 0).await, 200);
    fleet.heal();
    fleet
        .wait(
            "the withdrawal to arrive after the partition",
            async |fleet: &common::Fleet| {
                let (status, _refusal) = call_keyed(fleet, 0).await;
                assert_ne!(status, 200, "the withdrawn key was accepted");
                status == 401
            },
        )
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_refused_at_connected_hosts_within_stale_after() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    wait_for_roster(&fleet).await;
    expect_status_for(&fleet, POLL_INTERVAL, &[0, 1, 2], 200).await;
    fleet.apply_without_wait(&withdrawn_key());
    let accepted = time::Instant::now();
    for host in 0..3 {
        while call_keyed(&fleet, host).await.0 == 200 {
            assert!(accepted.elapsed() < STALE_AFTER, "host {host}");
        }
    }
    expect_status_for(&fleet, STALE_AFTER, &[0, 1, 2], 401).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_a_host_partitioned_from_the_store_through_its_peers() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    wait_for_roster(&fleet).await;
    fleet.cut_platform(0);
    fleet.apply_without_wait(&withdrawn_key());
    let accepted = time::Instant::now();
    while call_keyed(&fleet, 0).await != (401, "unauthorized".to_owned()) {
        assert!(
            accepted.elapsed() < STALE_AFTER,
            "{:?}",
            call_keyed(&fleet, 0).await
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_older_version_is_used_after_every_host_is_restarted() {
    let mut fleet = common::Fleet::start(&common::ZONES[..3]).await;
    wait_for_roster(&fleet).await;
    fleet.apply_without_wait(&withdrawn_key());
    expect_status_soon(&fleet, 401).await;
    for host in &mut fleet.hosts {
        host.kill();
    }
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    for (index, zone) in common::ZONES[..3].iter().enumerate() {
        let host = fleet.start_host(u8::try_from(index).expect("the index fits"), zone);
        fleet.hosts[index] = host;
    }
    let end = time::Instant::now() + STALE_AFTER;
    while time::Instant::now() < end {
        for host in &fleet.hosts {
            let reply = fleet.get(host, "/stock/oars").await;
            let answer = reply.map(|reply| (reply.status, problem_type(&reply)));
            let expected = Some((503, "not-ready".to_owned()));
            assert!(answer.is_none() || answer == expected, "{answer:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fleet.platform_faults(&serde_json::json!({})).await;
    expect_status_soon(&fleet, 401).await;
    wait_for_roster(&fleet).await;
    expect_status_for(&fleet, STALE_AFTER, &[0, 1, 2], 401).await;
}

/// Waits until every host answers a keyed request with a status.
async fn expect_status_soon(fleet: &common::Fleet, status: u16) {
    fleet
        .wait("the status at every host", async |fleet: &common::Fleet| {
            for host in 0..fleet.hosts.len() {
                if call_keyed(fleet, host).await.0 != status {
                    return false;
                }
            }
            true
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_entry_process_keeps_serving_while_its_control_process_is_restarted() {
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    wait_for_roster(&fleet).await;
    let _ended = fleet.hosts[0].steer.kill();
    let _reaped = fleet.hosts[0].steer.wait();
    expect_status_for(&fleet, STALE_AFTER / 3, &[0, 1], 200).await;
    fleet.restart_steer(0);
    expect_status_for(&fleet, STALE_AFTER * 2, &[0, 1], 200).await;
    wait_for_roster(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_old_proof_renews_stale_keys_while_the_control_process_is_suspended() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    wait_for_roster(&fleet).await;
    signal(&fleet.hosts[0].steer, "STOP");
    signal(&fleet.hosts[0].entry, "STOP");
    fleet.apply_without_wait(&withdrawn_key());
    tokio::time::sleep(STALE_AFTER).await;
    signal(&fleet.hosts[0].entry, "CONT");
    expect_status_for(&fleet, STALE_AFTER, &[0], 503).await;
    signal(&fleet.hosts[0].steer, "CONT");
    expect_status_soon(&fleet, 401).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_lease_holder_is_replaced_by_another_with_a_higher_epoch() {
    let mut fleet = common::Fleet::start(&common::ZONES[..3]).await;
    wait_for_roster(&fleet).await;
    let key = "lease/region-east";
    fleet
        .wait("a lease holder", async |fleet: &common::Fleet| {
            stored_row(fleet, key).await["value"]["holder"].is_string()
        })
        .await;
    let before = stored_row(&fleet, key).await["value"].clone();
    let holder = before["holder"]
        .as_str()
        .expect("a lease holder")
        .to_owned();
    let index = usize::from(holder.starts_with("host-1"));
    fleet.hosts[index].kill();
    fleet
        .wait("another lease holder", async |fleet: &common::Fleet| {
            let now = stored_row(fleet, key).await["value"].clone();
            now["holder"] != before["holder"] && now["epoch"].as_u64() > before["epoch"].as_u64()
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn look_ups_omit_a_leaving_host_and_keep_one_missing_from_the_host_list() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    wait_for_roster(&fleet).await;
    let list = serde_json::json!([
        {"name": "host-0", "zone": "east-a", "state": "live"},
        {"name": "host-1", "zone": "east-b", "state": "leaving"},
    ]);
    let url = format!("{}/hosts", fleet.platform);
    let body = list.to_string().into_bytes();
    let reply = fleet.http.send("PUT", &url, body).await;
    assert_eq!(reply.expect("the platform accepts the list").status, 200);
    fleet
        .wait(
            "the leaving host to be left out",
            async |fleet: &common::Fleet| {
                let mut named = fleet.looked_up_names(&fleet.hosts[0]).await;
                named.sort();
                named == ["host-0", "host-2"]
            },
        )
        .await;
    expect_status_for(&fleet, STALE_AFTER, &[0, 1, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_host_interrupts_no_request_and_removes_it_from_the_roster() {
    let mut fleet = common::Fleet::start(&common::ZONES[..3]).await;
    wait_for_roster(&fleet).await;
    for child in [
        &fleet.hosts[1].entry,
        &fleet.hosts[1].lookup,
        &fleet.hosts[1].steer,
    ] {
        signal(child, "TERM");
    }
    // Callers may use a cached look-up answer that lists the host for its time to live, 1 s.
    expect_status_for(&fleet, time::Duration::from_millis(900), &[0, 1, 2], 200).await;
    fleet
        .wait(
            "the host to leave the roster",
            async |fleet: &common::Fleet| {
                let roster = stored_row(fleet, "roster").await;
                let members = roster["value"]["members"].as_array().map(Vec::len);
                let past = roster["value"]["past"].as_array().map(Vec::len);
                members == Some(2) && past == Some(0)
            },
        )
        .await;
    let host = &mut fleet.hosts[1];
    for child in [&mut host.entry, &mut host.lookup, &mut host.steer] {
        assert!(child.wait().expect("the process exits").success());
    }
    expect_status_for(&fleet, STALE_AFTER, &[0, 2], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_second_host_of_a_zone_replaces_its_killed_roster_member() {
    let zones = ["east-a", "east-a", "west-a", "west-a"];
    let mut fleet = common::Fleet::start(&zones).await;
    let member = async |fleet: &common::Fleet| {
        let roster = stored_row(fleet, "roster").await;
        let members = roster["value"]["members"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let mut east = members.iter().filter(|member| member["zone"] == "east-a");
        east.next()
            .and_then(|member| Some(member["host"].as_str()?.to_owned()))
    };
    let before = member(&fleet).await.expect("a member of the zone");
    let killed = usize::from(before == "host-1");
    let other = 1 - killed;
    fleet.hosts[killed].kill();
    expect_status_for(&fleet, STALE_AFTER * 2, &[other, 2, 3], 200).await;
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
    expect_status_for(&fleet, STALE_AFTER * 2, &[other, 2, 3], 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_arrives_after_its_key_was_withdrawn_is_refused() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    wait_for_roster(&fleet).await;
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
    fleet.apply_without_wait(&withdrawn_key());
    expect_status_soon(&fleet, 401).await;
    stream.write_all(b"body").expect("the body is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_waiting_at_a_suspended_home_does_not_run_after_its_key_is_withdrawn() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    wait_for_roster(&fleet).await;
    let home = fleet.lookup(&fleet.hosts[1]).await["home"].clone();
    let key = format!("{}.late", home.as_str().expect("a home"));
    let warm_up = format!("{}.warm", home.as_str().expect("a home"));
    let reply = fleet.order(&fleet.hosts[0], &warm_up, 1).await;
    assert_eq!(reply.expect("an answer").status, 200);
    signal(&fleet.hosts[1].entry, "STOP");
    let (bearer, attempt) = (format!("Bearer {}", common::KEY), "1".to_owned());
    let headers = [
        ("authorization", bearer.as_str()),
        (header::IDEMPOTENCY_KEY, key.as_str()),
        (header::ATTEMPT, attempt.as_str()),
        (header::TIMEOUT, "60000"),
    ];
    let delayed_order = async {
        let sent = fleet.call(&fleet.hosts[0], "POST", "/orders", &headers);
        tokio::time::timeout(STALE_AFTER * 15, sent).await
    };
    let resume = async {
        tokio::time::sleep(POLL_INTERVAL * 4).await;
        fleet.apply_without_wait(&withdrawn_key());
        tokio::time::sleep(STALE_AFTER).await;
        signal(&fleet.hosts[1].entry, "CONT");
    };
    let (_answer, ()) = tokio::join!(delayed_order, resume);
    expect_status_soon(&fleet, 401).await;
    assert_eq!(
        fleet.starts(&key).await,
        0,
        "the order ran under a withdrawn key"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn no_second_control_process_starts_while_the_first_is_suspended() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    signal(&fleet.hosts[0].steer, "STOP");
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_skylark-steer"));
    command.arg(&fleet.hosts[0].steer_settings);
    let output = command.output().expect("the process exits");
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("8003"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_replaced_under_new_names_settles_after_the_operator_confirms_the_old_hosts_ended()
{
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    wait_for_roster(&fleet).await;
    for host in &mut fleet.hosts {
        host.kill();
    }
    fleet.hosts.clear();
    for (index, zone) in [(2, common::ZONES[0]), (3, common::ZONES[1])] {
        fleet.add_host(index, zone);
    }
    let members = async |fleet: &common::Fleet| {
        let roster = stored_row(fleet, "roster").await["value"].clone();
        let hosts = roster["members"].as_array().cloned().unwrap_or_default();
        let mut hosts: Vec<String> = hosts
            .iter()
            .map(|member| member["host"].to_string())
            .collect();
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
    tokio::time::sleep(STALE_AFTER).await;
    assert!(
        !members(&fleet).await.1,
        "the old hosts may be partitioned and still accept keys"
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
    expect_status_soon(&fleet, 200).await;
}
