//! Steering with real processes: drains, false load reports, overload, and replay of decisions.

mod common;

use std::collections;
use std::time;

use futures::future;
use skylark_wire::header;
use skylark_wire::http;

/// Time within which a drain reaches the entry host.
const PROPAGATION_WAIT: time::Duration = time::Duration::from_secs(3);

/// Sends requests one at a time and counts them by the target that served them.
async fn count_by_target(fleet: &common::Fleet, count: u32) -> collections::BTreeMap<String, u32> {
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
    let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    body["target"].as_str().expect("a target").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_target_gets_no_new_requests_until_its_drain_is_removed() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let first = count_by_target(&fleet, 40).await;
    assert!(first.contains_key("target-0"), "{first:?}");
    fleet.apply("schema: 1\ndrain: {name: d, subject: {target: target-0}}\n");
    tokio::time::sleep(PROPAGATION_WAIT).await;
    let counts = count_by_target(&fleet, 100).await;
    assert!(!counts.contains_key("target-0"), "{counts:?}");
    let output = fleet.skylark(&["remove", "drain/d"]);
    assert!(output.status.success(), "{output:?}");
    tokio::time::sleep(PROPAGATION_WAIT).await;
    assert!(count_by_target(&fleet, 40).await.contains_key("target-0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_reports_draining_gets_no_new_requests() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let draining = serde_json::json!({"is_draining": true});
    fleet.target_faults(0, &draining).await;
    let first = count_by_target(&fleet, 40).await;
    assert!(
        first.get("target-0").is_none_or(|count| *count <= 1),
        "{first:?}"
    );
    let counts = count_by_target(&fleet, 100).await;
    assert!(!counts.contains_key("target-0"), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_sheds_load_but_reports_idle_fails_no_request() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let false_report = serde_json::json!({"mode": "shedding", "reported_load": 0});
    fleet.target_faults(0, &false_report).await;
    let counts = count_by_target(&fleet, 100).await;
    assert!(!counts.contains_key("target-0"), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_with_true_outcomes_and_every_decision_replays() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    for target in 0..common::TARGETS / 2 {
        let slow = serde_json::json!({"slow_millis": 100});
        fleet.target_faults(target, &slow).await;
    }
    count_by_target(&fleet, 20).await;
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
    let answered = replies
        .iter()
        .filter(|(_, reply)| reply.status == 200)
        .count();
    assert!(refused > 0, "no request was refused under overload");
    assert!(answered > 40, "{answered} of 400 answered");
    replay_all(&fleet, 420).await;
}

/// Waits until the platform stores `count` decisions, then checks that all of them replay.
async fn replay_all(fleet: &common::Fleet, count: u64) {
    fleet
        .wait(
            "the decisions to be stored",
            async |fleet: &common::Fleet| {
                let output = fleet.skylark(&["--json", "replay", "--all"]);
                let report = String::from_utf8_lossy(&output.stdout);
                let summary: serde_json::Value = serde_json::from_str(&report).unwrap_or_default();
                assert_ne!(output.status.code(), Some(101), "{report}");
                summary["replayed"]
                    .as_u64()
                    .is_some_and(|replayed| replayed >= count)
            },
        )
        .await;
    let output = fleet.skylark(&["--json", "replay", "--all"]);
    let report = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{report}");
}

/// All local targets fail; the targets of the other region serve instead, within their share.
#[tokio::test(flavor = "multi_thread")]
async fn requests_fail_over_to_the_other_region_when_all_local_targets_fail() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    for target in [0, 1] {
        let failed = serde_json::json!({"mode": "dead"});
        fleet.target_faults(target, &failed).await;
    }
    let mut answered = 0;
    for number in 0..60 {
        let path = format!("/stock/lost-{number}");
        let reply = fleet.get(&fleet.hosts[0], &path).await.expect("an answer");
        if reply.status == 200 {
            assert!(["target-2", "target-3"].contains(&target(&reply).as_str()));
            answered += u32::from(number >= 10);
        }
    }
    assert!(
        answered >= 44,
        "{answered} of 50 answered after the failed targets were excluded"
    );
}
