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

const BATCH_ACCOUNT: &str = "schema: 2
account: {name: small, rate: 10/s, burst: 20, class: batch}
";

/// Reads a list of the platform.
async fn read(fleet: &common::Fleet, path: &str) -> Vec<serde_json::Value> {
    let url = format!("{}/{path}", fleet.platform);
    let reply = fleet.http.send("GET", &url, Vec::new()).await;
    serde_json::from_slice(&reply.expect("an answer").body).expect("JSON")
}

/// Returns the deadline of each stored decision on the account's requests.
async fn deadlines(fleet: &common::Fleet, account: &str) -> Vec<serde_json::Value> {
    let mut found = Vec::new();
    let keys = read(fleet, "list/decisions/").await;
    for key in keys.iter().filter_map(serde_json::Value::as_str) {
        let decisions = read(fleet, &format!("objects/{key}")).await;
        let mine = decisions.into_iter().filter(|d| d["account"] == account);
        found.extend(mine.map(|decision| decision["deadline_us"].clone()));
    }
    found
}

#[tokio::test(flavor = "multi_thread")]
async fn only_requests_of_a_batch_account_that_state_no_deadline_wait_for_room() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    fleet.apply(BATCH_ACCOUNT);
    let bearer = format!("Bearer {}", issue(&fleet));
    let plain = ("authorization", bearer.as_str());
    let hurried = (skylark_wire::header::TIMEOUT, "900");
    for headers in [&[plain][..], &[plain, hurried]] {
        let reply = fleet
            .call(&fleet.hosts[0], "GET", "/stock/oars", headers)
            .await;
        assert_eq!(reply.expect("an answer").status, 200);
    }
    fleet
        .wait("both decisions to be stored", async |fleet| {
            deadlines(fleet, "small").await.len() == 2
        })
        .await;
    let found = deadlines(&fleet, "small").await;
    assert_eq!(found.iter().filter(|d| d.is_null()).count(), 1, "{found:?}");
    let shop = deadlines(&fleet, "shop").await;
    assert!(
        !shop.is_empty() && shop.iter().all(|d| !d.is_null()),
        "{shop:?}"
    );
}
