//! Requests that arrive while a host is stopping.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::time;

use common::host;
use common::raw;
use common::store;
use common::target;

/// Callers that send one request after the other to each host.
const CALLERS: usize = 1;
/// Hosts that stop at the same time.
const HOSTS: usize = 10;
/// Deadline of requests that a stopping host takes to the end of its grace period.
const SHORT_DEADLINE: &str = "Deadline-Ms: 200\r\nContent-Length: 0\r\n";
const PAUSE: time::Duration = time::Duration::from_millis(3);
/// Shortest grace period of the tests, below the time in which callers hear of a stop.
const SHORT_GRACE: time::Duration = time::Duration::from_secs(3);

/// Time after the first answer at which a request comes that the grace period is too short for.
const LATE_TIME: time::Duration = time::Duration::from_millis(1_650);

async fn deployment() -> (store::Store, target::Target) {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let target = target::Target::start("i-1").await;
    target.register(&store, "ready");
    (store, target)
}

/// Sends a request that must not run twice on a new connection; returns the answer's status, `None`
/// if the connection ended without one, or an error if it was not accepted.
async fn order(
    callers: std::net::SocketAddr,
    id: &str,
    headers: &str,
) -> std::io::Result<Option<u16>> {
    let mut caller = raw::Caller::try_connect(callers).await?;
    let head = raw::head("POST", "/order/x", id, headers);
    if caller.send(head).await.is_err() {
        return Ok(None);
    }
    Ok(caller.read().await.map(|answer| answer.status))
}

/// Sends requests until the host has ended; returns the ids of those without an answer.
async fn send_until_ended(callers: std::net::SocketAddr, name: String) -> Vec<String> {
    let mut unanswered = Vec::new();
    for n in 0.. {
        let id = format!("{name}-{n}");
        match order(callers, &id, SHORT_DEADLINE).await {
            Ok(Some(_status)) => {}
            Ok(None) => unanswered.push(id),
            Err(_ended) => break,
        }
        tokio::time::sleep(PAUSE).await;
    }
    unanswered
}

/// Guards against requests that are passed on just before the process ends, and are cut off.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_passed_on_and_cut_off_at_the_end_of_a_planned_stop() {
    let (store, target) = deployment().await;
    target.set_behavior(target::Behavior::AnswerSoon);
    let mut hosts = Vec::new();
    for n in 0..HOSTS {
        hosts.push(host::Host::start_named(&store, &format!("front-a1-{n}")).await);
    }
    let mut tasks = Vec::new();
    for (n, host) in hosts.iter().enumerate() {
        for caller in 0..CALLERS {
            let name = format!("order-{n}-{caller}");
            tasks.push(tokio::spawn(send_until_ended(host.callers, name)));
        }
    }
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for host in &hosts {
        host.signal("-TERM");
    }
    let mut unanswered = Vec::new();
    for task in tasks {
        unanswered.extend(task.await.expect("task"));
    }
    let heads = target.heads();
    let is_passed_on = |id: &&String| {
        let line = format!("request-id: {id}\r\n");
        heads
            .iter()
            .any(|head| head.to_ascii_lowercase().contains(&line))
    };
    let lost: Vec<&String> = unanswered.iter().filter(is_passed_on).collect();
    assert!(lost.is_empty(), "{lost:?} of {} requests", heads.len());
}

/// Guards against requests that are taken late in a short grace period and cut off at its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_could_outlast_the_grace_period_is_refused() {
    let (store, target) = deployment().await;
    target.set_behavior(target::Behavior::AnswerSlowly);
    let host = host::Host::start_with_grace(&store, SHORT_GRACE).await;
    host.signal("-TERM");
    let headers = "Deadline-Ms: 4000\r\nContent-Length: 0\r\n";
    let early = order(host.callers, "early", headers).await;
    assert_eq!(early.expect("accepted"), Some(200));
    tokio::time::sleep(LATE_TIME).await;
    let late = order(host.callers, "late", headers).await;
    assert_eq!(late.expect("accepted"), Some(503), "{}", host.log());
    assert_eq!(target.heads().len(), 1);
}
