//! End-to-end requests with real processes: look-up, request, answer, and loss of a host.

mod common;

use skylark_wire::header;

const REQUESTS: u32 = 200;

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_is_answered_completely_and_its_key_is_not_forwarded() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    let reply = fleet
        .get(&fleet.hosts[0], "/stock/oars?size=3")
        .await
        .expect("an answer");
    assert_eq!(reply.status, 200);
    for name in [header::LOAD, header::DRAINING, header::OUTCOME] {
        assert!(
            !reply.headers.contains_key(name),
            "{name} reached the caller"
        );
    }
    let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(body["account"], "shop");
    assert_eq!(body["path"], "/stock/oars");
    assert_eq!(body["query"], "size=3");
    assert!(
        !body["headers"].to_string().contains("authorization"),
        "{body}"
    );
    let refused = fleet
        .call(&fleet.hosts[0], "GET", "/stock/oars", &[])
        .await
        .expect("an answer");
    assert_eq!(refused.status, 401);
    assert_eq!(refused.headers[header::OUTCOME], "not-run");
    let forged = [(header::ACCOUNT, "shop")];
    let keyless = fleet
        .call(&fleet.hosts[0], "GET", "/public/tides", &forged)
        .await
        .expect("an answer");
    assert_eq!(keyless.status, 200);
    let body: serde_json::Value = serde_json::from_slice(&keyless.body).expect("JSON");
    assert_eq!(
        body["account"], "",
        "a caller without a key chose an account"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retried_order_starts_once_and_gets_the_same_answer() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let host = &fleet.hosts[0];
    let home = fleet.lookup(host).await["home"]
        .as_str()
        .expect("a home")
        .to_owned();
    let key = format!("{home}.order-1");
    let first = fleet.order(host, &key, 1).await.expect("an answer");
    let again = fleet.order(host, &key, 2).await.expect("an answer");
    assert_eq!(first.status, 200);
    assert_eq!(first.body, again.body);
    assert_eq!(fleet.starts(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_fail_over_when_an_entry_host_is_killed() {
    let mut fleet = common::Fleet::start(&common::ZONES[..3]).await;
    for number in 0..REQUESTS {
        if number == REQUESTS / 4 {
            fleet.hosts[1].kill();
        }
        let path = format!("/stock/item-{number}");
        let first = &fleet.hosts[number as usize % fleet.hosts.len()];
        let other = &fleet.hosts[(number as usize + 1) % fleet.hosts.len()];
        let reply = match fleet.get(first, &path).await {
            Some(reply) => reply,
            None => match fleet.get(other, &path).await {
                Some(reply) => reply,
                None => fleet.get(&fleet.hosts[0], &path).await.expect("an answer"),
            },
        };
        assert_eq!(reply.status, 200);
        let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
        assert_eq!(
            body["path"],
            path.as_str(),
            "the answer belongs to another request"
        );
    }
    fleet
        .wait(
            "look-ups to omit the killed host",
            async |fleet: &common::Fleet| {
                !fleet
                    .looked_up_names(&fleet.hosts[0])
                    .await
                    .contains(&"host-1".to_owned())
            },
        )
        .await;
}
