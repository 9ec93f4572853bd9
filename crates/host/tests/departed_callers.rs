//! Callers that leave while their requests wait, are placed or run: nothing that was counted for
//! them may stay behind.

#[expect(dead_code, reason = "shared with the tests of the process")]
mod common;

use std::time;

use common::host;
use common::raw;
use common::store;
use common::target;
use rand::RngExt as _;
use rand::SeedableRng as _;

/// Requests at once, more than the targets run and queue.
const CALLERS: usize = 40;
/// Rounds of callers, each of which leaves at another moment.
const ROUNDS: u64 = 12;
/// Longest time after which a round's callers leave; requests wait for half a second at most.
const MAX_STAY_MILLIS: u64 = 450;
/// Time in which everything that was counted must be given back; requests end after 4 s.
const RELEASE_TIME: time::Duration = time::Duration::from_secs(1);

/// Starts a host whose requests may wait for half a second, and two targets.
async fn deployment(rate: u32, burst: u32) -> (store::Store, [target::Target; 2], host::Host) {
    let store = store::Store::start().await;
    let rules = host::configuration("0000000a", "/look/");
    let rules = rules.replace("\"targetLatencyS\":1", "\"targetLatencyS\":4");
    let rules = rules.replace("\"ratePerS\":500", &format!("\"ratePerS\":{rate}"));
    let rules = rules.replace("\"burst\":500", &format!("\"burst\":{burst}"));
    store.put("op", "config", &rules);
    let mut targets = Vec::new();
    for id in ["i-1", "i-2"] {
        let target = target::Target::start(id).await;
        target.register(&store, "ready");
        targets.push(target);
    }
    let host = host::Host::start(&store).await;
    (store, targets.try_into().expect("two"), host)
}

/// Sends requests that no target answers, and leaves after a while with all connections at once.
async fn visit(host: &host::Host, round: u64, stay: time::Duration) {
    let mut callers = Vec::new();
    for n in 0..CALLERS {
        let mut caller = raw::Caller::connect(host.callers).await;
        let id = format!("gone-{round}-{n}");
        let head = raw::head("GET", "/look/x", &id, "Deadline-Ms: 4000\r\n");
        caller.send(head).await.expect("send");
        callers.push(caller);
    }
    tokio::time::sleep(stay).await;
    // The host notices all closed connections in one turn, whichever it serves first.
    host.signal("-STOP");
    drop(callers);
    host.signal("-CONT");
}

async fn metric(host: &host::Host, name: &str) -> u64 {
    let request = common::request("GET", "/metrics", "m", Vec::new());
    let reply = common::call(host.metrics, request).await.expect("answer");
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.expect("the metric").parse().expect("a number")
}

/// Guards against targets that a host takes for silent until it restarts, as it waits for answers to
/// requests that it never sent.
#[tokio::test]
async fn callers_that_leave_take_their_places_with_them() {
    let (_store, targets, host) = deployment(500, 500).await;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(34);
    for round in 0..ROUNDS {
        for target in &targets {
            target.set_behavior(target::Behavior::Hang);
        }
        let stay = random.random_range(1..MAX_STAY_MILLIS);
        visit(&host, round, time::Duration::from_millis(stay)).await;
        let left_at = time::Instant::now();
        while metric(&host, "skylark_host_requests_at_targets").await > 0 {
            let log = host.log();
            assert!(
                left_at.elapsed() < RELEASE_TIME,
                "round {round}, after {stay} ms, still at targets:\n{log}"
            );
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        for target in &targets {
            target.set_behavior(target::Behavior::Answer);
        }
        let reply = host
            .request("GET", "/look/x", &format!("after-{round}"))
            .await;
        assert_eq!(reply.status, 200, "round {round}:\n{}", host.log());
    }
    assert_eq!(
        metric(&host, "skylark_host_overdue_requests_total").await,
        0
    );
}

/// Guards against accounts that are refused below their limits, as tokens of requests that did not
/// run are lost.
#[tokio::test]
async fn callers_that_leave_before_they_are_served_leave_their_tokens() {
    const BURST: u32 = 120;
    /// Tokens at the start; an earlier process may have spent the others.
    const TOKENS: usize = 30;
    let (_store, targets, host) = deployment(1, BURST).await;
    for target in &targets {
        target.set_behavior(target::Behavior::Hang);
    }
    visit(&host, 0, time::Duration::from_millis(200)).await;
    let sent: usize = targets.iter().map(|target| target.heads().len()).sum();
    assert!(
        sent < TOKENS,
        "{sent} of {TOKENS} were sent, so none waited"
    );
    for target in &targets {
        target.set_behavior(target::Behavior::Answer);
    }
    let mut served = 0;
    while host
        .request("GET", "/look/x", &format!("after-{served}"))
        .await
        .status
        == 200
    {
        served += 1;
    }
    assert!(
        sent + served >= TOKENS,
        "{sent} were sent and {served} served of {TOKENS}"
    );
}
