//! The log leads from the id of a failed request to its cause, and stays bounded under load.
//!
//! The steps are those of docs/OPERATIONS.md.

#[expect(dead_code, reason = "shared with the tests of the process")]
mod common;

use std::time;

use common::host;
use common::store;
use common::target;

const DEADLINE_MILLIS: &str = "700";
/// Bytes of the log in a quarter of a second, as docs/OPERATIONS.md states it.
const MAX_LOG_BYTES: u64 = 96 * 1_024;
/// Requests of a flood.
const FLOOD_REQUESTS: usize = 4_000;
/// Callers that send a flood concurrently.
const CALLERS: usize = 8;

async fn deployment() -> (store::Store, target::Target) {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let target = target::Target::start("i-1").await;
    target.register(&store, "ready");
    (store, target)
}

/// Returns the value of a field in a log line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let start = line.find(&format!(" {name}=")).expect(name) + name.len() + 2;
    let rest = &line[start..];
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().expect("text"),
        None => rest.split_whitespace().next().expect("text"),
    }
}

async fn status_of(host: &host::Host, method: &str, path: &str, id: &str) -> u16 {
    let mut request = common::request(method, path, id, Vec::new());
    let deadline = DEADLINE_MILLIS.parse().expect("value");
    request.headers_mut().insert("deadline-ms", deadline);
    let reply = common::call(host.callers, request).await;
    reply.expect("answer").status
}

#[tokio::test]
async fn the_log_leads_from_a_refused_request_to_the_draining_target() {
    let (store, target) = deployment().await;
    let host = host::Host::start(&store).await;
    assert_eq!(status_of(&host, "GET", "/look/x", "good").await, 200);
    target.register(&store, "draining");
    host.wait_for_log(&["target changed", "i-1", "state=draining"])
        .await;
    assert_eq!(status_of(&host, "GET", "/look/x", "refused").await, 503);
    let line = host
        .wait_for_log(&["event=\"request\"", "request=refused"])
        .await;
    assert_eq!(field(&line, "reason"), "no capacity in time");
    assert_eq!(field(&line, "sends"), "0");
    assert_eq!(field(&line, "account"), "acme");
    let log = host.log();
    let before = log.split("request=refused").next().expect("before");
    let change = before.lines().rfind(|line| line.contains("target changed"));
    assert_eq!(field(change.expect("a change"), "state"), "draining");
    let good = host
        .wait_for_log(&["event=\"request\"", "request=good"])
        .await;
    assert_eq!(field(&good, "rules"), field(&line, "rules"));
}

/// Returns the number of a field in milliseconds.
fn millis(text: &str) -> f64 {
    let number = text.strip_suffix("ms").expect("a unit");
    number.parse().expect("a number")
}

#[tokio::test]
async fn the_log_leads_from_a_timed_out_request_to_the_target_that_hung() {
    let (store, target) = deployment().await;
    let host = host::Host::start(&store).await;
    target.set_behavior(target::Behavior::Hang);
    assert_eq!(status_of(&host, "POST", "/order/x", "late").await, 504);
    let line = host
        .wait_for_log(&["event=\"request\"", "request=late"])
        .await;
    assert_eq!(field(&line, "reason"), "no response in time");
    assert_eq!(field(&line, "sends"), "1");
    assert_eq!(field(&line, "target_id"), "i-1");
    assert!(millis(field(&line, "expected")) > 0.0);
    assert_eq!(field(&line, "warmth"), "likely");
    assert_eq!(field(&line, "holder"), "");
    let deadline: f64 = DEADLINE_MILLIS.parse().expect("number");
    assert!(millis(field(&line, "took")) >= deadline * 0.9, "{line}");
}

#[tokio::test]
async fn the_log_leads_from_a_request_of_unknown_outcome_to_the_target_that_disconnected() {
    let (store, target) = deployment().await;
    let host = host::Host::start(&store).await;
    target.set_behavior(target::Behavior::Truncate);
    assert_eq!(status_of(&host, "POST", "/order/x", "unknown").await, 502);
    let line = host
        .wait_for_log(&["event=\"request\"", "request=unknown"])
        .await;
    assert_eq!(field(&line, "reason"), "response cut off");
    assert_eq!(
        (field(&line, "sends"), field(&line, "target_id")),
        ("1", "i-1")
    );
    let of_target = host
        .wait_for_log(&["target changed", "target_id=i-1"])
        .await;
    assert_eq!(field(&of_target, "state"), "ready");
}

/// Sends requests that match no route; returns their status codes.
async fn flood(host: &host::Host) -> Vec<u16> {
    let callers = (0..CALLERS).map(|caller| async move {
        let mut statuses = Vec::new();
        for n in 0..FLOOD_REQUESTS / CALLERS {
            statuses.push(status_of(host, "GET", "/nowhere", &format!("f{caller}-{n}")).await);
        }
        statuses
    });
    futures::future::join_all(callers).await.concat()
}

#[tokio::test]
async fn a_flood_of_refusals_stays_within_the_log_budget() {
    let (store, _target) = deployment().await;
    let host = host::Host::start(&store).await;
    let before = host.log().len();
    let began = time::Instant::now();
    let statuses = flood(&host).await;
    assert!(statuses.iter().all(|status| *status == 404));
    // Changes of the configuration are logged during a flood as well.
    store.put("op", "config", &host::configuration("0000000b", "/new/"));
    host.wait_for_log(&["configuration read", "version=11"])
        .await;
    let written = u64::try_from(host.log().len() - before).expect("small");
    let writes = u64::try_from(began.elapsed().as_millis() / 250 + 2).expect("small");
    assert!(
        written <= writes * MAX_LOG_BYTES,
        "{written} bytes in {writes} writes"
    );
}

/// Guards against losing failed requests when a flood uses up the log budget of other requests.
#[tokio::test]
async fn failed_requests_are_logged_during_a_flood_of_other_requests() {
    const FAILED: usize = 20;
    let (store, target) = deployment().await;
    let host = host::Host::start(&store).await;
    target.set_behavior(target::Behavior::Truncate);
    let failures = async {
        for n in 0..FAILED {
            let status = status_of(&host, "POST", "/order/x", &format!("failed-{n}")).await;
            assert!(status >= 500, "{status}");
            tokio::time::sleep(time::Duration::from_millis(25)).await;
        }
    };
    futures::join!(flood(&host), failures);
    host.wait_for_log(&["lines dropped"]).await;
    for n in 0..FAILED {
        let id = format!("request=failed-{n} ");
        host.wait_for_log(&["event=\"request\"", &id]).await;
    }
}

#[tokio::test]
async fn a_log_pipe_that_is_not_read_delays_no_request() {
    let (store, _target) = deployment().await;
    let (reader, writer) = std::io::pipe().expect("pipe");
    let host = host::Host::start_with_log(&store, writer).await;
    let statuses = flood(&host).await;
    assert_eq!(statuses.len(), FLOOD_REQUESTS);
    assert!(statuses.iter().all(|status| *status == 404));
    assert_eq!(status_of(&host, "GET", "/look/x", "last").await, 200);
    drop(reader);
}
