//! A host process that is paused for seconds while keys are withdrawn and targets leave.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::time;

use common::host;
use common::raw;
use common::store;
use common::target;

/// Time for which another host and the store go on alone.
const PAUSES: [time::Duration; 3] = [
    time::Duration::from_secs(3),
    time::Duration::from_secs(6),
    time::Duration::from_secs(12),
];
/// Time in which a host must serve again after a pause.
const MAX_CATCH_UP: time::Duration = time::Duration::from_secs(2);

/// Time after a pause in which a host must not rely on what it knew before.
const CATCH_UP_TIME: time::Duration = time::Duration::from_secs(1);
/// Time in which a host that has read the store's tables polls for changes.
const POLL_TIME: time::Duration = time::Duration::from_millis(300);

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_process_serves_no_withdrawn_key_and_no_target_that_has_left() {
    let runs = PAUSES.map(|pause| tokio::spawn(pause_while_things_change(pause)));
    for run in runs {
        run.await.expect("a run");
    }
}

async fn pause_while_things_change(pause: time::Duration) {
    let store = store::Store::start().await;
    let rules = |version: &str, key: &str| {
        let text = host::configuration(version, "/look/");
        text.replace("[\"key-1\"]", &format!("[{key}]"))
    };
    store.put("op", "config", &rules("0000000a", "\"key-1\",\"key-2\""));
    let leaving = target::Target::start("i-1").await;
    leaving.register(&store, "ready");
    let host = host::Host::start(&store).await;
    let other = host::Place {
        name: "front-a1-2",
        zone: "a1",
        region: "a",
        store: store.address,
    };
    let other = host::Host::start_at(other);
    common::eventually("the hosts know each other", || async {
        [&host, &other]
            .iter()
            .all(|host| host.log().contains("host changed"))
            && other.is_ready().await
    })
    .await;
    assert_eq!(host.request("GET", "/look/x", "before").await.status, 200);
    let staying = target::Target::start("i-2").await;
    // An upload waits for the rest of its body, which arrives during the pause.
    let mut upload = raw::Caller::connect(host.callers).await;
    let head = raw::head(
        "POST",
        "/order/x",
        "upload",
        "Deadline-Ms: 30000\r\nContent-Length: 4\r\n",
    );
    upload.send(head + "ab").await.expect("send");
    tokio::time::sleep(time::Duration::from_millis(300)).await;

    host.signal("-STOP");
    store.put("op", "config", &rules("0000000b", "\"key-2\""));
    staying.register(&store, "ready");
    store.remove("servers", "i-1");
    tokio::time::sleep(pause).await;
    upload.send("cd").await.expect("send");
    let mut waiting = Vec::new();
    for n in 0..10 {
        let mut caller = raw::Caller::connect(host.callers).await;
        let key = ["key-1", "key-2"][n % 2];
        let head = raw::head(
            "GET",
            "/look/x",
            &format!("woken-{n}"),
            "Deadline-Ms: 4000\r\n",
        );
        caller.send(head.replace("key-1", key)).await.expect("send");
        waiting.push((key, caller));
    }
    let before = leaving.heads().len();
    host.signal("-CONT");
    let woken = time::Instant::now();
    for (key, mut caller) in waiting {
        let answer = caller.read().await.expect("an answer");
        let allowed: &[u16] = if key == "key-1" {
            &[401, 503]
        } else {
            &[200, 503]
        };
        assert!(
            allowed.contains(&answer.status),
            "{pause:?} {key}: {}",
            answer.status
        );
    }
    let answer = upload.read().await.expect("an answer");
    assert!(
        [401, 503].contains(&answer.status),
        "upload: {}",
        answer.status
    );
    assert_eq!(
        leaving.heads().len(),
        before,
        "{pause:?}: sent to a target that had left"
    );
    common::eventually("the host serves again", || async {
        let mut request = common::request("GET", "/look/x", "after", Vec::new());
        let key = "Bearer key-2".parse().expect("value");
        request.headers_mut().insert("authorization", key);
        let reply = common::call(host.callers, request).await.expect("answer");
        reply.status == 200
    })
    .await;
    assert!(woken.elapsed() < MAX_CATCH_UP, "{:?}", woken.elapsed());
    assert_eq!(
        leaving.heads().len(),
        before,
        "{pause:?}: sent to a target that had left"
    );
}

/// The configuration arrives after a pause, and the targets only later.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_process_that_lacks_the_targets_sends_nothing() {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let leaving = target::Target::start("i-1").await;
    leaving.register(&store, "ready");
    let host = host::Host::start(&store).await;
    assert_eq!(host.request("GET", "/look/x", "before").await.status, 200);
    tokio::time::sleep(POLL_TIME).await;

    store.hold(Some("servers"));
    host.signal("-STOP");
    store.remove("servers", "i-1");
    tokio::time::sleep(PAUSES[0]).await;
    let before = leaving.heads().len();
    host.signal("-CONT");
    let woken = time::Instant::now();
    // Each change answers a question that the host asked after the pause.
    for n in 0..20 {
        let rules = host::configuration(&format!("000000{:02x}", 16 + n), "/look/");
        store.put("op", "config", &rules);
        let reply = host.request("GET", "/look/x", &format!("woken-{n}")).await;
        if woken.elapsed() >= CATCH_UP_TIME {
            break;
        }
        assert_eq!(reply.status, 503);
        assert_eq!(
            leaving.heads().len(),
            before,
            "sent to a target that had left"
        );
        tokio::time::sleep(time::Duration::from_millis(40)).await;
    }
    store.hold(None);
}

/// The answer to the poll for targets does not arrive in time, as the process did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_is_not_taken_for_an_outage_of_the_store() {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let leaving = target::Target::start("i-1").await;
    leaving.register(&store, "ready");
    let host = host::Host::start(&store).await;
    assert_eq!(host.request("GET", "/look/x", "before").await.status, 200);
    tokio::time::sleep(POLL_TIME).await;

    store.hold(Some("servers"));
    host.signal("-STOP");
    store.remove("servers", "i-1");
    tokio::time::sleep(PAUSES[1]).await;
    let before = leaving.heads().len();
    host.signal("-CONT");
    host.wait_for_log(&["store request failed", "table=servers"])
        .await;
    store.hold(None);
    host.wait_for_log(&["target no longer listed", "i-1"]).await;
    for n in 0..5 {
        let reply = host.request("GET", "/look/x", &format!("after-{n}")).await;
        assert_eq!(reply.status, 503);
    }
    assert_eq!(
        leaving.heads().len(),
        before,
        "sent to a target that had left"
    );
}

/// The first target breaks off while the host is paused, and the only other one leaves.
#[tokio::test]
async fn a_paused_process_repeats_no_request_at_a_target_that_has_left() {
    let store = store::Store::start().await;
    let rules = host::configuration("0000000a", "/look/");
    let rules = rules.replace("\"timeoutS\":4", "\"timeoutS\":9");
    store.put("op", "config", &rules);
    let targets = [
        target::Target::start("i-1").await,
        target::Target::start("i-2").await,
    ];
    for target in &targets {
        target.register(&store, "ready");
    }
    let host = host::Host::start(&store).await;
    let first = host.request("GET", "/look/x", "before").await;
    assert_eq!(first.status, 200, "{}", host.log());
    let own = targets.iter().position(|target| !target.heads().is_empty());
    let own = own.expect("a target");
    let (own, other) = (&targets[own], &targets[1 - own]);
    own.set_behavior(target::Behavior::DisconnectLate);
    let mut caller = raw::Caller::connect(host.callers).await;
    let head = raw::head("GET", "/look/x", "repeated", "Deadline-Ms: 9000\r\n");
    caller.send(head).await.expect("send");
    common::eventually("the request runs", || async { own.heads().len() == 2 }).await;
    store.hold(Some("servers"));
    host.signal("-STOP");
    store.remove("servers", &other.id);
    tokio::time::sleep(PAUSES[0]).await;
    host.signal("-CONT");
    let answer = caller.read().await.expect("an answer");
    store.hold(None);
    assert_eq!(answer.status, 502, "it may have run at {}", own.id);
    assert!(
        other.heads().is_empty(),
        "{:?}\n{}",
        other.heads(),
        host.log()
    );
}

/// Neither knows more than the other, and the store is slow to tell.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_were_paused_together_take_nothing_old_from_each_other() {
    pause_together(time::Duration::ZERO).await;
}

/// The first one to wake serves on without evidence by the time the second one asks it.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_serves_on_without_evidence_is_none_for_another() {
    pause_together(MAX_CATCH_UP / 4).await;
}

/// Pauses two hosts while a key is withdrawn, and wakes the second one after a delay.
async fn pause_together(delay: time::Duration) {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    target::Target::start("i-1").await.register(&store, "ready");
    let host = host::Host::start(&store).await;
    let other = host::Host::start_at(host::Place::new(&store, "front-a1-2"));
    common::eventually("the hosts know each other", || async {
        [&host, &other]
            .iter()
            .all(|host| host.log().contains("host changed"))
            && other.is_ready().await
    })
    .await;
    assert_eq!(host.request("GET", "/look/x", "before").await.status, 200);
    tokio::time::sleep(POLL_TIME).await;

    store.hold(Some("op"));
    host.signal("-STOP");
    other.signal("-STOP");
    let rules = host::configuration("0000000b", "/look/");
    store.put("op", "config", &rules.replace("key-1", "key-2"));
    tokio::time::sleep(PAUSES[0]).await;
    other.signal("-CONT");
    tokio::time::sleep(delay).await;
    host.signal("-CONT");
    let woken = time::Instant::now();
    loop {
        let reply = host.request("GET", "/look/x", "woken").await;
        if woken.elapsed() >= CATCH_UP_TIME {
            break;
        }
        assert_eq!(reply.status, 503, "withdrawn key\n{}", host.log());
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    store.hold(None);
    common::eventually("the key is withdrawn", || async {
        host.request("GET", "/look/x", "after").await.status == 401
    })
    .await;
}
