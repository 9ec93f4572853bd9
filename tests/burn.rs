//! The burn report and the replay on the decisions of real processes.

mod common;

const CALLS: u32 = 120;

/// Issues a key of the small account, which is in force everywhere when this returns.
fn issue(fleet: &common::Fleet) -> String {
    let output = fleet.skylark(&["key", "issue", "small-1", "--account", "small", "--json"]);
    let said: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    said["secret"].as_str().expect("a secret").to_owned()
}

fn json(fleet: &common::Fleet, arguments: &[&str]) -> serde_json::Value {
    let output = fleet.skylark(arguments);
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_over_the_rate_are_told_by_account_and_every_decision_replays() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    let bearer = format!("Bearer {}", issue(&fleet));
    let headers = [("authorization", bearer.as_str())];
    let mut refused = 0;
    for number in 0..CALLS {
        let host = &fleet.hosts[number as usize % fleet.hosts.len()];
        let reply = fleet.call(host, "GET", "/stock/oars", &headers).await;
        refused += u64::from(reply.expect("an answer").status == 429);
    }
    assert!(refused > 0, "the account sent more than its burst");
    let small = |report: &serde_json::Value| {
        let rows = report["rows"].as_array().cloned().unwrap_or_default();
        rows.into_iter().find(|row| row["account"] == "small")
    };
    let counted = |row: &serde_json::Value| {
        let count = |name: &str| row["count"][name].as_u64().unwrap_or(0);
        let answered = count("good") + count("late") + count("failed");
        (answered, count("refused") + count("excluded"))
    };
    fleet
        .wait("the report to count every call", async |fleet| {
            let row = small(&json(fleet, &["burn", "--json"]));
            row.is_some_and(|row| counted(&row) == (u64::from(CALLS) - refused, refused))
        })
        .await;
    let replay = json(&fleet, &["replay", "--all", "--json"]);
    assert_eq!(replay["different"], serde_json::json!([]));
    assert_eq!(replay["unreadable"], 0);
    let replayed = replay["replayed"].as_u64().expect("a count");
    assert!(replayed >= u64::from(CALLS), "{replay}");
}
