//! Steering with real processes: drains, misleading reports, overload, and replay of it all.

mod common;

use std::collections;
use std::time;

use futures::future;
use skylark_wire::header;
use skylark_wire::http;

const SETTLE: time::Duration = time::Duration::from_secs(3);

/// Sends requests one after another and counts who served them.
async fn served(fleet: &common::Fleet, count: u32) -> collections::BTreeMap<String, u32> {
    let mut counts = collections::BTreeMap::new();
    for number in 0..count {
        let path = format!("/stock/item-{number}");
        let reply = fleet.get(&fleet.hosts[0], &path).await.expect("an answer");
        assert_eq!(reply.status, 200, "{number}");
        *counts.entry(target(&reply)).or_default() += 1;
    }
    counts
}

fn target(reply: &http::Reply) -> String {
    let said: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    said["target"].as_str().expect("a target").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_target_gets_no_new_work_and_comes_back() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let first = served(&fleet, 40).await;
    assert!(first.contains_key("target-0"), "{first:?}");
    fleet.apply("schema: 1\ndrain: {name: d, subject: {target: target-0}}\n");
    tokio::time::sleep(SETTLE).await;
    let counts = served(&fleet, 100).await;
    assert!(!counts.contains_key("target-0"), "{counts:?}");
    let output = fleet.skylark(&["remove", "drain/d"]);
    assert!(output.status.success(), "{output:?}");
    tokio::time::sleep(SETTLE).await;
    assert!(served(&fleet, 40).await.contains_key("target-0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_it_is_leaving_gets_no_new_work() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let leaving = serde_json::json!({"is_draining": true});
    fleet.target_faults(0, &leaving).await;
    let first = served(&fleet, 40).await;
    assert!(
        first.get("target-0").is_none_or(|count| *count <= 1),
        "{first:?}"
    );
    let counts = served(&fleet, 100).await;
    assert!(!counts.contains_key("target-0"), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_sheds_and_reports_to_be_idle_costs_no_answer() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let liar = serde_json::json!({"mode": "shedding", "reported_load": 0});
    fleet.target_faults(0, &liar).await;
    let counts = served(&fleet, 100).await;
    assert!(!counts.contains_key("target-0"), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_early_and_truthfully_and_every_decision_replays() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    for target in 0..common::TARGETS / 2 {
        let slow = serde_json::json!({"slow_millis": 100});
        fleet.target_faults(target, &slow).await;
    }
    served(&fleet, 20).await;
    let calls = (0..400).map(|number| {
        let path = format!("/stock/flood-{number}");
        let fleet = &fleet;
        async move {
            let bearer = format!("Bearer {}", common::KEY);
            let headers = [("authorization", bearer.as_str()), (header::TIMEOUT, "600")];
            let reply = fleet.call(&fleet.hosts[0], "GET", &path, &headers).await;
            (path, reply.expect("an answer"))
        }
    });
    let replies = future::join_all(calls).await;
    let mut refused = 0;
    for (path, reply) in &replies {
        let starts = fleet.starts(&format!("GET {path}")).await;
        match reply.status {
            200 => assert_eq!(starts, 1, "{path}"),
            _ if reply.headers[header::OUTCOME] == "not-run" => {
                refused += 1;
                assert_eq!(starts, 0, "{path} was refused as not run");
            }
            _ => assert!(starts <= 1, "{path}"),
        }
    }
    let good = replies
        .iter()
        .filter(|(_, reply)| reply.status == 200)
        .count();
    assert!(refused > 0, "an overload refuses");
    assert!(good > 40, "{good} of 400 answered");
    replay_all(&fleet, 420).await;
}

/// Replays every decision that the platform holds, once there are enough.
async fn replay_all(fleet: &common::Fleet, count: u64) {
    fleet
        .wait("the decisions", async |fleet: &common::Fleet| {
            let output = fleet.skylark(&["--json", "replay", "--all"]);
            let report = String::from_utf8_lossy(&output.stdout);
            let said: serde_json::Value = serde_json::from_str(&report).unwrap_or_default();
            assert_ne!(output.status.code(), Some(101), "{report}");
            said["replayed"]
                .as_u64()
                .is_some_and(|replayed| replayed >= count)
        })
        .await;
    let output = fleet.skylark(&["--json", "replay", "--all"]);
    let report = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{report}");
}

/// All targets of the host's own region die; the other region's take over within its share.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_region_is_served_by_the_other() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    for target in [0, 1] {
        let dead = serde_json::json!({"mode": "dead"});
        fleet.target_faults(target, &dead).await;
    }
    let mut good = 0;
    for number in 0..60 {
        let path = format!("/stock/lost-{number}");
        let reply = fleet.get(&fleet.hosts[0], &path).await.expect("an answer");
        if reply.status == 200 {
            assert!(["target-2", "target-3"].contains(&target(&reply).as_str()));
            good += u32::from(number >= 10);
        }
    }
    assert!(good >= 44, "{good} of 50 after the targets were left out");
}
