//! At-most-once orders while home processes are killed, suspended or stopped and targets crash.

mod common;

use std::time;

use skylark_wire::header;

const ORDER_TARGETS: std::ops::Range<u8> = 4..8;
/// Time within which a home has copied a completed answer to another host.
const REPLICATION_WAIT: time::Duration = time::Duration::from_millis(1_500);
const WAVES: usize = 10;
const WAVE_PAUSE: time::Duration = time::Duration::from_millis(40);
const RESUME_WAIT: time::Duration = time::Duration::from_secs(1);

/// Returns an idempotency key whose home is at the given host.
async fn key(fleet: &common::Fleet, host: usize, unique: &str) -> String {
    let answer = fleet.lookup(&fleet.hosts[host]).await;
    let home = answer["home"].as_str().expect("a home").to_owned();
    format!("{home}.{unique}")
}

/// Delays the answers of all targets of `orders`.
async fn slow_orders(fleet: &common::Fleet, millis: u64) {
    for target in ORDER_TARGETS {
        let faults = serde_json::json!({"slow_millis": millis});
        fleet.target_faults(target, &faults).await;
    }
}

fn outcome(reply: &skylark_wire::http::Reply) -> &str {
    let outcome = reply.headers.get(header::OUTCOME);
    outcome.map_or("", |value| value.to_str().expect("the outcome is text"))
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_retries_through_every_host_start_one_order() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    slow_orders(&fleet, 300).await;
    let key = key(&fleet, 0, "order-1").await;
    let (first, second, third) = tokio::join!(
        fleet.order(&fleet.hosts[0], &key, 1),
        fleet.order(&fleet.hosts[1], &key, 2),
        fleet.order(&fleet.hosts[2], &key, 3),
    );
    let bodies = [first, second, third].map(|reply| {
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 200);
        reply.body
    });
    assert!(bodies[0] == bodies[1] && bodies[1] == bodies[2]);
    assert_eq!(fleet.starts(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_is_unknown_after_its_home_is_killed_during_the_exchange() {
    let mut fleet = common::Fleet::start(&common::ZONES[..3]).await;
    slow_orders(&fleet, 600).await;
    let key = key(&fleet, 0, "order-1").await;
    let first = {
        let sent = fleet.order(&fleet.hosts[1], &key, 1);
        let sent = tokio::time::timeout(time::Duration::from_millis(250), sent);
        sent.await.ok()
    };
    assert!(
        first.is_none(),
        "the order was answered before its home was killed"
    );
    fleet.hosts[0].kill();
    for (attempt, host) in [(2, 1), (3, 2), (4, 1)] {
        let reply = fleet.order(&fleet.hosts[host], &key, attempt).await;
        assert_eq!(outcome(&reply.expect("an answer")), "unknown");
    }
    assert_eq!(fleet.starts(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_host_returns_the_copied_answer_of_a_killed_home() {
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    let done = key(&fleet, 0, "done").await;
    let fresh = key(&fleet, 0, "fresh").await;
    let first = fleet.order(&fleet.hosts[1], &done, 1).await;
    let first = first.expect("an answer");
    assert_eq!(first.status, 200, "{first:?}");
    tokio::time::sleep(REPLICATION_WAIT).await;
    fleet.hosts[0].kill();
    let refused = fleet.order(&fleet.hosts[1], &fresh, 1).await;
    assert_eq!(outcome(&refused.expect("an answer")), "not-run");
    let again = fleet.order(&fleet.hosts[1], &done, 2).await;
    let again = again.expect("an answer");
    assert_eq!((again.status, &again.body), (200, &first.body));
    let later = fleet.order(&fleet.hosts[1], &fresh, 2).await;
    assert_eq!(outcome(&later.expect("an answer")), "unknown");
    assert_eq!(fleet.starts(&done).await, 1);
    assert_eq!(fleet.starts(&fresh).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_home_that_resumes_late_starts_no_order_twice() {
    let fleet = common::Fleet::start(&common::ZONES[..3]).await;
    let key = key(&fleet, 0, "order-1").await;
    common::signal("-STOP", &fleet.hosts[0].entry);
    let one = fleet.order(&fleet.hosts[1], &key, 1).await;
    let two = fleet.order(&fleet.hosts[2], &key, 2).await;
    common::signal("-CONT", &fleet.hosts[0].entry);
    for reply in [one, two] {
        assert_eq!(outcome(&reply.expect("an answer")), "unknown");
    }
    tokio::time::sleep(RESUME_WAIT).await;
    let last = fleet.order(&fleet.hosts[1], &key, 3).await;
    assert_eq!(last.expect("an answer").status, 200);
    assert_eq!(fleet.starts(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_leaves_every_outcome_known() {
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    let done = key(&fleet, 0, "done").await;
    let unseen = key(&fleet, 0, "unseen").await;
    let first = fleet.order(&fleet.hosts[0], &done, 1).await;
    let first = first.expect("an answer");
    common::signal("-TERM", &fleet.hosts[0].entry);
    let ended = fleet.hosts[0].entry.wait().expect("the process exits");
    assert!(ended.success());
    let again = fleet.order(&fleet.hosts[1], &done, 2).await;
    assert_eq!(again.expect("an answer").body, first.body);
    let refused = fleet.order(&fleet.hosts[1], &unseen, 2).await;
    assert_eq!(outcome(&refused.expect("an answer")), "not-run");
    assert_eq!(fleet.starts(&unseen).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_key_names_no_home_starts_once_and_not_in_a_store_outage() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    let lost_answer = serde_json::json!({"lose_answers": 1});
    fleet.platform_faults(&lost_answer).await;
    let (first, second) = tokio::join!(
        fleet.order(&fleet.hosts[0], "made-up-1", 1),
        fleet.order(&fleet.hosts[1], "made-up-1", 2),
    );
    let (first, second) = (first.expect("an answer"), second.expect("an answer"));
    assert!(
        first.status == 200 || second.status == 200,
        "{first:?} {second:?}"
    );
    let again = fleet.order(&fleet.hosts[0], "made-up-1", 3).await;
    assert_eq!(again.expect("an answer").status, 200);
    assert_eq!(fleet.starts("made-up-1").await, 1);
    fleet
        .platform_faults(&serde_json::json!({"down": true}))
        .await;
    let refused = fleet.order(&fleet.hosts[0], "made-up-2", 1).await;
    assert_eq!(outcome(&refused.expect("an answer")), "not-run");
    assert_eq!(fleet.starts("made-up-2").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_leaves_the_order_unknown_and_is_not_retried() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    for target in ORDER_TARGETS {
        let faults = serde_json::json!({"mode": "cutting"});
        fleet.target_faults(target, &faults).await;
    }
    let key = key(&fleet, 0, "order-1").await;
    for attempt in 1..=3 {
        let reply = fleet.order(&fleet.hosts[0], &key, attempt).await;
        assert_eq!(outcome(&reply.expect("an answer")), "unknown");
    }
    assert_eq!(fleet.starts(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_for_another_request_is_refused() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    let key = key(&fleet, 0, "order-1").await;
    let host = &fleet.hosts[0];
    assert_eq!(
        fleet.order(host, &key, 1).await.expect("an answer").status,
        200
    );
    let bearer = format!("Bearer {}", common::KEY);
    let headers = [
        ("authorization", bearer.as_str()),
        (header::IDEMPOTENCY_KEY, key.as_str()),
    ];
    let other = fleet.call(host, "POST", "/orders/other", &headers).await;
    assert_eq!(other.expect("an answer").status, 422);
    assert_eq!(fleet.starts(&key).await, 1);
}

/// Returns the number of crashes of all targets.
async fn crashes(fleet: &common::Fleet) -> u64 {
    let mut crashes = 0;
    for target in 0..common::TARGETS {
        crashes += fleet.report(target).await["crashes"].as_u64().unwrap_or(0);
    }
    crashes
}

/// Makes every target crash while it serves `/stock/poison`.
async fn crash_on_poison(fleet: &common::Fleet) {
    for target in 0..common::TARGETS {
        let faults = serde_json::json!({"crash_path": "/stock/poison", "crash_millis": 20});
        fleet.target_faults(target, &faults).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_refuses_a_request_that_has_crashed_two_targets() {
    let fleet = common::Fleet::start(&common::ZONES).await;
    crash_on_poison(&fleet).await;
    for round in 0..24 {
        let host = &fleet.hosts[round % fleet.hosts.len()];
        let reply = fleet.get(host, "/stock/poison").await;
        assert!(reply.expect("an answer").status >= 400);
        tokio::time::sleep(time::Duration::from_millis(30)).await;
    }
    assert_eq!(crashes(&fleet).await, 2);
    let harmless = fleet.get(&fleet.hosts[0], "/stock/oars").await;
    assert_eq!(harmless.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_poison_requests_crash_at_most_one_target_per_host_and_one_more() {
    let fleet = common::Fleet::start(&common::ZONES).await;
    crash_on_poison(&fleet).await;
    for _wave in 0..WAVES {
        let sends = (0..2 * fleet.hosts.len()).map(|number| {
            let host = &fleet.hosts[number % fleet.hosts.len()];
            fleet.get(host, "/stock/poison")
        });
        for reply in futures::future::join_all(sends).await {
            assert!(reply.expect("an answer").status >= 400);
        }
        tokio::time::sleep(WAVE_PAUSE).await;
    }
    let limit = u64::try_from(fleet.hosts.len()).expect("few hosts") + 1;
    let crashes = crashes(&fleet).await;
    println!("crashes {crashes}, bound {limit}");
    assert!((1..=limit).contains(&crashes), "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_after_the_caller_gave_up_counts_too() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    for target in 0..common::TARGETS {
        let faults = serde_json::json!({
            "crash_path": "/stock/poison", "crash_millis": 20, "slow_millis": 60,
        });
        fleet.target_faults(target, &faults).await;
    }
    let bearer = format!("Bearer {}", common::KEY);
    let headers = [("authorization", bearer.as_str()), (header::TIMEOUT, "30")];
    let mut answers = Vec::new();
    for round in 0..12 {
        let host = &fleet.hosts[round % fleet.hosts.len()];
        let reply = fleet.call(host, "GET", "/stock/poison", &headers).await;
        let reply = reply.expect("an answer");
        assert!(reply.status >= 400);
        answers.push(String::from_utf8_lossy(&reply.body).into_owned());
        tokio::time::sleep(time::Duration::from_millis(150)).await;
    }
    let crashes = crashes(&fleet).await;
    assert!(
        (1..=2).contains(&crashes),
        "{crashes} crashes; the answers were {answers:#?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn another_host_returns_the_copied_answer_of_a_suspended_home() {
    let fleet = common::Fleet::start(&common::ZONES[..2]).await;
    let key = key(&fleet, 0, "order-1").await;
    let first = fleet.order(&fleet.hosts[0], &key, 1).await;
    let first = first.expect("an answer");
    tokio::time::sleep(REPLICATION_WAIT).await;
    common::signal("-STOP", &fleet.hosts[0].entry);
    let again = fleet.order(&fleet.hosts[1], &key, 2).await;
    common::signal("-CONT", &fleet.hosts[0].entry);
    let again = again.expect("an answer");
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(fleet.starts(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_knows_a_home_that_look_ups_return() {
    let mut fleet = common::Fleet::start(&common::ZONES[..2]).await;
    for index in 2..6_u8 {
        let zone = common::ZONES[usize::from(index) % 4];
        let host = fleet.start_host(index, zone);
        fleet.hosts.push(host);
        let new = fleet.hosts.last().expect("a host");
        let is_looked_up = async |fleet: &common::Fleet| {
            let reply = fleet.lookup(new).await;
            let home = reply["home"].as_str().unwrap_or_default().to_owned();
            home.starts_with(&new.name)
        };
        fleet
            .wait("look-ups to answer with the new home", is_looked_up)
            .await;
        let key = key(&fleet, usize::from(index), "order-1").await;
        let reply = fleet.order(&fleet.hosts[0], &key, 1).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}
