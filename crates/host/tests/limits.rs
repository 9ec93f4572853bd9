//! Targets that name in their answers how many requests a second they take.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::sync::atomic;
use std::time;

use common::host;
use common::store;
use common::target;

/// Time from the first answer that names a limit until all hosts must keep it.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);
/// Time in which a target's requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Requests in that time for a limit of 5 a second: one and a half times the limit and 5.
const MAX_IN_WINDOW: usize = 35;
/// Pause between two requests of a caller.
const PAUSE: time::Duration = time::Duration::from_millis(20);
const LIMIT: &str = "Server-Limit: 5.0\r\n";

/// Numbers of the objects that requests concern.
static OBJECTS: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

async fn deployment() -> (store::Store, [target::Target; 2], [host::Host; 2]) {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let targets = [
        target::Target::start("i-1").await,
        target::Target::start("i-2").await,
    ];
    for target in &targets {
        target.register(&store, "ready");
    }
    let hosts = [
        host::Host::start(&store).await,
        host::Host::start_named(&store, "front-a1-2").await,
    ];
    common::eventually("the hosts know each other", || async {
        let mut hosts = hosts.iter();
        hosts.all(|host| host.log().contains("host changed"))
    })
    .await;
    (store, targets, hosts)
}

/// Sends requests for different objects to each host for a time; returns the answers.
async fn send_for(hosts: &[host::Host], duration: time::Duration) -> Vec<common::Reply> {
    let began = time::Instant::now();
    let mut answers = Vec::new();
    while began.elapsed() < duration {
        // Targets that are warm for an object keep it.
        let n = OBJECTS.fetch_add(1, atomic::Ordering::Relaxed);
        for host in hosts {
            let mut request = common::request("GET", "/look/x", &format!("r-{n}"), Vec::new());
            let cookie = format!("Affinity-Key={n}").parse().expect("cookie");
            request.headers_mut().insert("cookie", cookie);
            answers.push(common::call(host.callers, request).await.expect("answer"));
        }
        tokio::time::sleep(PAUSE).await;
    }
    answers
}

/// Returns the most requests that reached a target in any window after an instant.
fn most_in_window(target: &target::Target, after: time::Instant) -> usize {
    let times: Vec<time::Instant> = target.runs().iter().map(|run| run.at).collect();
    let counts = times.iter().filter(|start| **start >= after).map(|start| {
        let is_in = |at: &&time::Instant| **at >= *start && **at < *start + WINDOW;
        times.iter().filter(is_in).count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against a target that gets far more requests than the limit that it named.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_no_more_requests_than_it_says_that_it_takes() {
    let (_store, [limited, other], hosts) = deployment().await;
    send_for(&hosts, time::Duration::from_millis(500)).await;
    limited.set_headers(LIMIT);
    let named = time::Instant::now();
    let answers = send_for(&hosts, CONTACT_TIME + WINDOW * 2).await;
    let most = most_in_window(&limited, named + CONTACT_TIME);
    assert!((10..=MAX_IN_WINDOW).contains(&most), "{most} requests");
    // The other target has room for all the others.
    assert!(answers.iter().all(|answer| answer.status == 200));
    assert!(
        answers
            .iter()
            .all(|answer| answer.header("server-limit").is_none())
    );
    for host in &hosts {
        let line = host.wait_for_log(&["limit", "changed"]).await;
        assert!(!line.is_empty());
    }
    // Without the header the limit has ended.
    limited.set_headers("");
    send_for(&hosts, time::Duration::from_secs(2)).await;
    let free = time::Instant::now();
    send_for(&hosts, time::Duration::from_secs(3)).await;
    let since = limited.runs().iter().filter(|run| run.at >= free).count();
    assert!(since > MAX_IN_WINDOW, "{since} requests in 3 s");
    drop(other);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_is_not_understood_changes_nothing_but_a_counter() {
    let (_store, targets, hosts) = deployment().await;
    for target in &targets {
        target.set_headers("Server-Limit: -1\r\n");
    }
    let answers = send_for(&hosts[..1], time::Duration::from_secs(1)).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let line = hosts[0]
        .wait_for_log(&["limit of a target not understood"])
        .await;
    assert!(line.contains("Server-Limit"), "{line}");
    let request = common::request("GET", "/metrics", "m", Vec::new());
    let metrics = common::call(hosts[0].metrics, request)
        .await
        .expect("metrics");
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    let expected = format!("skylark_host_malformed_limits_total {}\n", answers.len());
    assert!(metrics.contains(&expected), "{metrics}");
    let lines = hosts[0].log().matches("not understood").count();
    assert!(lines <= 1 + answers.len() / 50, "{lines} lines");
}

/// Guards against requests to a target that has said in an answer that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_that_it_leaves_gets_nothing_although_it_is_listed() {
    let (store, [leaving, other], hosts) = deployment().await;
    leaving.set_headers("Server-Leaving: 1\r\n");
    let answers = send_for(&hosts, time::Duration::from_secs(1)).await;
    assert!(
        answers
            .iter()
            .all(|answer| answer.header("server-leaving").is_none())
    );
    for host in &hosts {
        host.wait_for_log(&["target says that it leaves"]).await;
    }
    let before = leaving.heads().len();
    // Neither a row of the table nor the loss of the store brings it back.
    leaving.register(&store, "ready");
    hosts[0]
        .wait_for_log(&["target changed", "i-1", "row=6"])
        .await;
    store.set_mode(store::Mode::Unresponsive);
    let answers = send_for(&hosts, time::Duration::from_secs(2)).await;
    assert_eq!(leaving.heads().len(), before);
    assert!(answers.iter().all(|answer| answer.status == 200));
    drop(other);
}

/// Guards against requests to a target that has refused and named a time for which it wants none.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_names_a_pause_gets_nothing_until_its_end() {
    const PAUSE_SECONDS: u64 = 2;
    const MAX_REQUESTS: usize = 2;
    let (_store, [pausing, _other], hosts) = deployment().await;
    pausing.set_headers("Retry-After: 2\r\n");
    pausing.set_behavior(target::Behavior::RefuseToRun);
    let answers = send_for(&hosts[..1], time::Duration::from_secs(PAUSE_SECONDS) / 2).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let first = pausing.heads().len();
    assert!((1..=MAX_REQUESTS).contains(&first), "{first} requests");
    pausing.set_headers("");
    pausing.set_behavior(target::Behavior::Answer);
    let began = time::Instant::now();
    common::eventually("the target is used again", || async {
        send_for(&hosts[..1], PAUSE * 10).await;
        pausing.heads().len() > first
    })
    .await;
    let took = began.elapsed();
    assert!(took >= time::Duration::from_millis(500), "{took:?}");
    assert!(took < time::Duration::from_secs(PAUSE_SECONDS), "{took:?}");
}
