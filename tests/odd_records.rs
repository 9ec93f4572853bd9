//! Rows of other writers among the records, with real processes.

mod common;

use std::time;

/// Time within which a change of the records reaches the hosts.
const PROPAGATION_WAIT: time::Duration = time::Duration::from_secs(3);

/// Writes an odd record of a target, with the change and the head that make hosts read it.
async fn write_odd_record(fleet: &common::Fleet, name: &str, value: &serde_json::Value) {
    let url = format!("{}/table/row/head", fleet.platform);
    let reply = fleet
        .http
        .send("GET", &url, Vec::new())
        .await
        .expect("head");
    let row: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    let mut head = row["value"].clone();
    let version = head["version"].as_u64().expect("a version") + 1;
    head["version"] = version.into();
    let commit = serde_json::json!({
        "conditions": [{"key": "head", "version": row["version"]}],
        "writes": [
            {"key": format!("record/target/{name}"), "value": value},
            {"key": format!("change/{version}"), "value": {"version": version, "put": [value]}},
            {"key": "head", "value": head},
        ],
    });
    let url = format!("{}/table/commit", fleet.platform);
    let body = commit.to_string().into_bytes();
    let reply = fleet.http.send("POST", &url, body).await.expect("commit");
    assert_eq!(reply.status, 200);
}

/// Guards against daemons that end, or follow the records no more, because of one odd entry.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_record_costs_no_other_record() {
    let mut fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let mut nested = serde_json::json!(1);
    for _level in 0..100 {
        nested = serde_json::json!([nested]);
    }
    let odd = [
        serde_json::json!({"schema": 1, "target": {"name": "x", "address": "127.0.0.1:70000"}}),
        serde_json::json!({"schema": 1, "target": {"name": "y", "slots": 1e300}}),
        serde_json::json!({"schema": 1, "target": nested}),
        serde_json::json!([1, 2]),
    ];
    for (n, value) in odd.iter().enumerate() {
        write_odd_record(&fleet, &format!("odd-{n}"), value).await;
    }
    tokio::time::sleep(PROPAGATION_WAIT).await;
    fleet.apply("schema: 1\ndrain: {name: d, subject: {target: target-0}}\n");
    let steer = &mut fleet.hosts[0].steer;
    steer.kill().expect("kill");
    steer.wait().expect("state");
    fleet.restart_steer(0);
    tokio::time::sleep(PROPAGATION_WAIT).await;
    let removed = fleet.skylark(&["remove", "target/odd-0", "target/odd-1"]);
    let warnings = String::from_utf8_lossy(&removed.stderr).into_owned();
    assert!(removed.status.success(), "{warnings}");
    assert!(
        warnings.contains("target/odd-2") && warnings.contains("target/odd-3"),
        "{warnings}"
    );
    for n in 0..60 {
        let path = format!("/stock/item-{n}");
        let reply = fleet.get(&fleet.hosts[0], &path).await.expect("an answer");
        assert_eq!(reply.status, 200);
        let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
        assert_ne!(body["target"], "target-0", "the drain is not in force");
    }
}
