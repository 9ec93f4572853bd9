//! Behavior of one or several host processes with test doubles of the platform.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::io::Write as _;
use std::time;

use common::host;
use common::store;
use common::target;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Grace period of a planned stop, as the platform states it.
const GRACE_PERIOD: time::Duration = time::Duration::from_secs(6);

/// Starts a store with a configuration, and registered targets.
async fn deployment(ids: &[&str]) -> (store::Store, Vec<target::Target>) {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let mut targets = Vec::new();
    for id in ids {
        let target = target::Target::start(id).await;
        target.register(&store, "ready");
        targets.push(target);
    }
    (store, targets)
}

fn all_heads(targets: &[target::Target]) -> Vec<String> {
    targets.iter().flat_map(target::Target::heads).collect()
}

#[tokio::test]
async fn a_request_passes_from_end_to_end() {
    let (store, targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    let request = common::request(
        "GET",
        "/api/resolve?name=shop.example&region=a&zone=a1",
        "x",
        Vec::new(),
    );
    let reply = common::call(host.lookups, request).await.expect("answer");
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(answer["addresses"][0], host.callers.to_string());
    assert!(answer["ttlS"].as_f64().expect("seconds") <= 5.0);

    let reply = host.request("GET", "/look/x?y=1", "id-1").await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("request-id"), Some("id-1"));
    assert_eq!(reply.header("response-stamp"), Some("s.id-1"));
    assert_eq!(reply.header("backend-load"), None);
    assert_eq!(&*reply.body, b"i-1 answered id-1");
    let head = &targets[0].heads()[0];
    assert!(head.starts_with("GET /look/x?y=1 HTTP/1.1"), "{head}");
    assert_eq!(
        target::value(head, "expect-instance").as_deref(),
        Some("i-1")
    );
    assert_eq!(target::value(head, "tenant-id").as_deref(), Some("acme"));
    assert_eq!(target::value(head, "authorization"), None);
    let left: u64 = target::value(head, "deadline-ms")
        .expect("deadline")
        .parse()
        .expect("number");
    assert!((1..=4_000).contains(&left), "{left}");
    assert_eq!(store.keys("hosts"), ["front-a1-1"]);
}

#[tokio::test]
async fn requests_that_the_configuration_does_not_allow_are_refused() {
    let (store, targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    assert_eq!(host.request("GET", "/other/x", "id-1").await.status, 404);
    let mut request = common::request("GET", "/look/x", "id-2", Vec::new());
    request
        .headers_mut()
        .insert("authorization", "Bearer wrong".parse().expect("value"));
    let reply = common::call(host.callers, request).await.expect("answer");
    assert_eq!(reply.status, 401);
    let mut request = common::request("GET", "/look/x", "id-3", Vec::new());
    request
        .headers_mut()
        .insert("tenant-id", "somebody".parse().expect("value"));
    common::call(host.callers, request).await.expect("answer");
    let heads = targets[0].heads();
    assert_eq!(heads.len(), 1);
    assert_eq!(
        target::value(&heads[0], "tenant-id").as_deref(),
        Some("acme")
    );
    host.wait_for_log(&["request=id-2", "status=401", "key missing or not valid"])
        .await;
}

#[tokio::test]
async fn a_host_without_a_configuration_refuses_requests_and_is_not_ready() {
    let store = store::Store::start().await;
    let host = host::Host::start_unready(&store);
    common::eventually("the process listens", || async {
        tokio::net::TcpStream::connect(host.callers).await.is_ok()
    })
    .await;
    let reply = host.request("GET", "/look/x", "id-1").await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert!(!host.is_ready().await);
}

#[tokio::test]
async fn a_request_that_is_not_idempotent_is_not_retried_when_it_may_have_run() {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let host = host::Host::start(&store).await;
    for (n, behavior) in [
        target::Behavior::Disconnect,
        target::Behavior::Truncate,
        target::Behavior::OmitStamp,
    ]
    .into_iter()
    .enumerate()
    {
        for target in &targets {
            target.set_behavior(behavior);
        }
        let id = format!("id-{n}");
        let reply = host.request("POST", "/order/x", &id).await;
        assert_eq!(reply.status, 502, "{behavior:?}");
        assert_eq!(reply.header("retry-after"), None);
        let sends = all_heads(&targets);
        let sends = sends
            .iter()
            .filter(|head| target::value(head, "request-id").as_ref() == Some(&id));
        assert_eq!(sends.count(), 1, "{behavior:?}");
    }
}

#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_target() {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let host = host::Host::start(&store).await;
    host.request("GET", "/look/x", "first").await;
    let own = targets
        .iter()
        .position(|target| !target.heads().is_empty())
        .expect("one");
    targets[own].set_behavior(target::Behavior::Disconnect);
    let reply = host.request("GET", "/look/x", "second").await;
    assert_eq!(reply.status, 200);
    assert_eq!(
        &*reply.body,
        format!("{} answered second", targets[1 - own].id).as_bytes()
    );
}

#[tokio::test]
async fn a_request_that_did_not_run_is_retried_or_refused_as_not_run() {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let host = host::Host::start(&store).await;
    host.request("POST", "/order/x", "first").await;
    let own = targets
        .iter()
        .position(|target| !target.heads().is_empty())
        .expect("one");
    targets[own].set_behavior(target::Behavior::RefuseToRun);
    assert_eq!(host.request("POST", "/order/x", "second").await.status, 200);
    targets[1 - own].set_behavior(target::Behavior::RefuseToRun);
    let reply = host.request("POST", "/order/x", "third").await;
    assert_eq!(reply.status, 503);
    assert!(
        reply
            .header("retry-after")
            .expect("pause")
            .parse::<f64>()
            .expect("seconds")
            > 0.0
    );
}

#[tokio::test]
async fn extra_bytes_after_a_response_reach_no_other_request() {
    let (store, targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    targets[0].set_behavior(target::Behavior::AnswerTwice);
    for n in 0..20 {
        let id = format!("id-{n}");
        let reply = host.request("GET", "/look/x", &id).await;
        if reply.status == 200 {
            assert_eq!(&*reply.body, format!("i-1 answered {id}").as_bytes());
        }
    }
}

/// A target sends a copy of an answer late, when the connection is in use for the next request.
#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_no_other_caller() {
    for behavior in [
        target::Behavior::RepeatPrevious,
        target::Behavior::RepeatRefusal,
    ] {
        let (store, targets) = deployment(&["i-1"]).await;
        let host = host::Host::start(&store).await;
        targets[0].set_behavior(behavior);
        for n in 0..12 {
            let (method, path) = [("GET", "/look/x"), ("POST", "/order/x")][n % 2];
            let id = format!("id-{n}");
            let reply = host.request(method, path, &id).await;
            match reply.status {
                200 => assert_eq!(&*reply.body, format!("i-1 answered {id}").as_bytes()),
                status => assert_eq!(status, 502, "{behavior:?} {method}"),
            }
            let runs = targets[0].heads();
            let runs = runs
                .iter()
                .filter(|head| head.contains(&format!("equest-id: {id}\r")));
            assert!(method == "GET" || runs.count() <= 1, "{behavior:?} {id}");
        }
    }
}

/// A caller still reads its answer when the time in which new callers may come is over.
///
/// Whether it reads all of it in the rest of the grace period depends on the machine, so a cut is
/// allowed at the very end of that period only.
#[tokio::test]
async fn a_planned_stop_cuts_no_answer_that_is_still_read() {
    const LATEST_EXIT: time::Duration = time::Duration::from_millis(5_700);
    let (host, received, ended) = read_while_stopping(GRACE_PERIOD).await;
    if received >= target::HUGE_BYTES {
        return;
    }
    let drained = host.wait_for_log(&["drain ended"]).await;
    let passed = target::value(&drained.replace(' ', "\n").replace('=', ": "), "passed");
    let passed = passed.expect("a time").replace("ms", "").parse::<f64>();
    let passed = time::Duration::from_secs_f64(passed.expect("milliseconds") / 1_000.0);
    let is_held = drained.contains("busy=1 ") && passed >= LATEST_EXIT && ended >= LATEST_EXIT;
    assert!(
        is_held,
        "{received} bytes of {} until {ended:?}\n{}",
        target::HUGE_BYTES,
        host.log()
    );
}

#[tokio::test]
async fn a_planned_stop_waits_until_a_slow_caller_has_read_its_answer() {
    let grace = 4 * GRACE_PERIOD;
    let (host, received, ended) = read_while_stopping(grace).await;
    assert!(
        received >= target::HUGE_BYTES,
        "{received} bytes of {} until {ended:?}\n{}",
        target::HUGE_BYTES,
        host.log()
    );
}

/// Stops a host while a caller reads a huge answer, slowly until nearly the end of the usual grace
/// period; returns the bytes that it got, and when the answer ended.
async fn read_while_stopping(grace: time::Duration) -> (host::Host, usize, time::Duration) {
    const READ_TIME: time::Duration = time::Duration::from_millis(5_200);
    const PAUSE: time::Duration = time::Duration::from_millis(20);
    let (store, targets) = deployment(&["i-1"]).await;
    let timeout = format!("\"timeoutS\":{}", grace.as_secs() + 3);
    let rules = host::configuration("0000000b", "/look/").replace("\"timeoutS\":4", &timeout);
    store.put("op", "config", &rules);
    let host = host::Host::start_with_grace(&store, grace).await;
    targets[0].set_behavior(target::Behavior::AnswerHuge);
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(4_096).expect("buffer");
    let mut stream = socket.connect(host.callers).await.expect("connect");
    let deadline = format!("Deadline-Ms: {}\r\n", grace.as_millis() + 3_000);
    let head = common::raw::head("GET", "/look/x", "id-1", &deadline);
    stream.write_all(head.as_bytes()).await.expect("head");
    common::eventually("the request runs", || async {
        targets[0].heads().len() == 1
    })
    .await;
    host.signal("-TERM");
    let began = time::Instant::now();
    let (mut received, mut buffer) = (0, vec![0; 256 * 1_024]);
    let steps = u32::try_from(READ_TIME.as_millis() / PAUSE.as_millis()).expect("steps");
    let share = target::HUGE_BYTES / steps as usize;
    while received < target::HUGE_BYTES {
        let wanted = if began.elapsed() < READ_TIME {
            share.min(buffer.len())
        } else {
            buffer.len()
        };
        match stream.read(&mut buffer[..wanted]).await {
            Ok(0) | Err(_) => break,
            Ok(count) => received += count,
        }
        if began.elapsed() < READ_TIME {
            tokio::time::sleep(PAUSE).await;
        }
    }
    (host, received, began.elapsed())
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_the_exchange() {
    let (store, targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    targets[0].set_behavior(target::Behavior::Hang);
    let request = common::request("GET", "/look/x", "id-1", Vec::new());
    let caller = tokio::spawn(common::call(host.callers, request));
    let target = &targets[0];
    common::eventually("the request runs", || async { target.heads().len() == 1 }).await;
    caller.abort();
    common::eventually("the target's connection is closed", || async {
        target.disconnects() == 1
    })
    .await;
}

#[tokio::test]
async fn a_request_that_exceeds_its_deadline_gets_504() {
    let (store, targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    targets[0].set_behavior(target::Behavior::Hang);
    let mut request = common::request("POST", "/order/x", "id-1", Vec::new());
    request
        .headers_mut()
        .insert("deadline-ms", "400".parse().expect("value"));
    let reply = common::call(host.callers, request).await.expect("answer");
    assert_eq!(reply.status, 504);
    host.wait_for_log(&["request=id-1", "status=504", "target_id=i-1"])
        .await;
}

#[tokio::test]
async fn large_bodies_are_forwarded_unchanged() {
    let (store, targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    for size in [10_000, 3_000_000] {
        let body: Vec<u8> = (0..size)
            .map(|n: u32| n.to_le_bytes()[n as usize % 4])
            .collect();
        let request = common::request("POST", "/order/x", "id-1", body.clone());
        let reply = common::call(host.callers, request).await.expect("answer");
        assert_eq!(reply.status, 200);
        assert_eq!(targets[0].bodies().last(), Some(&body));
    }
    let request = common::request("POST", "/order/x", "id-2", vec![0; 8_388_609]);
    match common::call(host.callers, request).await {
        Ok(reply) => assert_eq!(reply.status, 413),
        // The host may close the connection while the rest of the body is being sent.
        Err(error) => assert!(!error.is_parse(), "{error}"),
    }
}

#[tokio::test]
async fn valid_rows_take_effect_and_invalid_rows_change_nothing() {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let host = host::Host::start(&store).await;
    store.put("op", "config", "{\"version\": \"0000000b\"");
    host.wait_for_log(&["configuration rejected"]).await;
    assert_eq!(host.request("GET", "/look/x", "id-1").await.status, 200);
    store.put("op", "config", &host::configuration("0000000c", "/new/"));
    common::eventually("the new route is served", || async {
        host.request("GET", "/new/x", "id-2").await.status == 200
    })
    .await;
    assert_eq!(host.request("GET", "/look/x", "id-3").await.status, 404);
    store.put("op", "config", &host::configuration("0000000b", "/look/"));
    host.wait_for_log(&["configuration read", "version=11", "in_force=false"])
        .await;
    assert_eq!(host.request("GET", "/new/x", "id-4").await.status, 200);
    store.put("servers", "i-9", "{\"address\": 7}");
    host.wait_for_log(&["target entry rejected", "i-9", "address"])
        .await;
    targets[0].register(&store, "draining");
    host.wait_for_log(&["target changed", "i-1", "state=draining"])
        .await;
    let before = targets[0].heads().len();
    for n in 0..10 {
        host.request("GET", "/new/x", &format!("id-d{n}")).await;
    }
    assert_eq!(targets[0].heads().len(), before);
    store.remove("servers", "i-2");
    host.wait_for_log(&["target no longer listed", "i-2"]).await;
    assert_eq!(host.request("GET", "/new/x", "id-5").await.status, 503);
}

#[tokio::test]
async fn a_route_of_an_unknown_type_costs_no_other_route() {
    let (store, targets) = deployment(&["i-1"]).await;
    let text = host::configuration("0000000a", "/look/").replace("unsafe", "holographic");
    store.put("op", "config", &text);
    let host = host::Host::start(&store).await;
    host.wait_for_log(&[
        "part of the configuration not understood",
        "route order",
        "type",
    ])
    .await;
    assert_eq!(host.request("GET", "/look/x", "id-1").await.status, 200);
    assert_eq!(host.request("POST", "/order/x", "id-2").await.status, 200);
    targets[0].set_behavior(target::Behavior::Disconnect);
    assert_eq!(host.request("POST", "/order/x", "id-3").await.status, 502);
    let sends = targets[0].heads();
    let sends = sends.iter().filter(|head| head.contains("id-3"));
    assert_eq!(sends.count(), 1, "it may have run");
}

/// Guards against polls that stay open for good when the store becomes unresponsive while they wait
/// (`hunt day mix --seed 1035964111062`).
#[tokio::test]
async fn a_poll_that_the_store_never_answers_is_abandoned() {
    const MAX_DELAY: time::Duration = time::Duration::from_secs(8);
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    store.set_mode(store::Mode::Unresponsive);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    store.set_mode(store::Mode::Serving);
    store.put("op", "config", &host::configuration("0000000c", "/new/"));
    let began = time::Instant::now();
    common::eventually("the new route is served", || async {
        host.request("GET", "/new/x", "id-1").await.status == 200
    })
    .await;
    assert!(began.elapsed() < MAX_DELAY, "{:?}", began.elapsed());
}

#[tokio::test]
async fn the_host_keeps_serving_while_the_store_is_unavailable() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    store.set_mode(store::Mode::Unavailable);
    host.wait_for_log(&["store table unreachable"]).await;
    assert_eq!(host.request("GET", "/look/x", "id-1").await.status, 200);
    assert!(host.is_ready().await);
    store.set_mode(store::Mode::Serving);
    host.wait_for_log(&["store table reachable again"]).await;
}

#[tokio::test]
async fn a_graceful_stop_finishes_running_requests() {
    let (store, targets) = deployment(&["i-1"]).await;
    let mut host = host::Host::start(&store).await;
    targets[0].set_behavior(target::Behavior::Hang);
    let mut request = common::request("POST", "/order/x", "id-1", Vec::new());
    request
        .headers_mut()
        .insert("deadline-ms", "1500".parse().expect("value"));
    let running = tokio::spawn(common::call(host.callers, request));
    let target = &targets[0];
    common::eventually("the request runs", || async { target.heads().len() == 1 }).await;
    host.signal("-TERM");
    common::eventually("the host is not ready", || async { !host.is_ready().await }).await;
    targets[0].set_behavior(target::Behavior::Answer);
    let reply = host.request("GET", "/look/x", "id-2").await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), Some("close"));
    assert_eq!(running.await.expect("task").expect("answer").status, 504);
    let began = time::Instant::now();
    while !host.has_ended() {
        assert!(
            began.elapsed() < time::Duration::from_secs(6),
            "still running"
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    host.wait_for_log(&["event=\"stopped\""]).await;
}

#[tokio::test]
async fn invalid_settings_name_the_field() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("boot.json");
    let check = |text: &str| {
        std::fs::write(&path, text).expect("write");
        let output = host::command(&path).arg("--check").output().expect("run");
        (
            output.status.success(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let address = "127.0.0.1:1".parse().expect("address");
    let good = host::settings(address, address, address, address, address, 7_600);
    assert_eq!(check(&good.to_string()), (true, String::new()));
    let mut bad = good.clone();
    bad["terms"]["bounds"]["graceS"] = serde_json::json!("six");
    let (is_good, errors) = check(&bad.to_string());
    assert!(!is_good);
    assert!(
        errors.contains("boot.json") && errors.contains("terms.bounds.graceS"),
        "{errors}"
    );
    let mut bad = good.clone();
    bad["network"]["listen"]
        .as_object_mut()
        .expect("table")
        .remove("front");
    assert!(check(&bad.to_string()).1.contains("front"));
    assert!(check("{\"self\":").1.contains("line 1"));
    let mut odd = good;
    odd["self"]["colour"] = serde_json::json!("blue");
    assert!(
        check(&odd.to_string()).0,
        "unknown fields are left to later versions"
    );
}

#[tokio::test]
async fn metrics_count_answers_and_refusals() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    host.request("GET", "/look/x", "id-1").await;
    host.request("GET", "/other/x", "id-2").await;
    let request = common::request("GET", "/metrics", "m", Vec::new());
    let reply = common::call(host.metrics, request).await.expect("answer");
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    for line in [
        "skylark_host_answered_total 1",
        "skylark_host_refused_total{kind=\"no-route\"} 1",
        "skylark_host_sends_total{warmth=\"likely\"} 1",
        "skylark_host_answer_milliseconds_count 1",
        "skylark_host_refusal_milliseconds_count 1",
    ] {
        assert!(text.lines().any(|other| other == line), "{line} in\n{text}");
    }
}

/// Starts two hosts of one zone, and waits until they know each other.
async fn two_hosts(store: &store::Store) -> [host::Host; 2] {
    let first = host::Host::start_named(store, "front-a1-1").await;
    let second = host::Host::start_named(store, "front-a1-2").await;
    first
        .wait_for_log(&["host changed", "host=front-a1-2", "phase=ready"])
        .await;
    second
        .wait_for_log(&["host changed", "host=front-a1-1", "phase=ready"])
        .await;
    [first, second]
}

/// Guards against a reload signal during the start that ends the process (soak seed 9).
#[tokio::test]
async fn a_reload_signal_before_the_settings_are_read_does_not_end_the_process() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let mut host = host::Host::start(&store).await;
    host.kill();
    let (mut writer, settings) = host.restart_without_settings();
    host.signal("-HUP");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    assert!(!host.has_ended());
    writer.write_all(settings.as_bytes()).expect("write");
    drop(writer);
    common::eventually("the host is ready", || host.is_ready()).await;
}

/// Guards against hosts that start together without finding each other, so that each used an
/// account's whole limit (soak seed 2).
#[tokio::test]
async fn hosts_that_start_together_find_each_other_without_seeds() {
    let (store, _targets) = deployment(&["i-1"]).await;
    store.set_write_delay(time::Duration::from_millis(300));
    let place = |name| host::Place::new(&store, name);
    let hosts = [
        host::Host::start_at(place("front-a1-1")),
        host::Host::start_at(place("front-a1-2")),
    ];
    hosts[0].wait_for_log(&["host changed", "front-a1-2"]).await;
    hosts[1].wait_for_log(&["host changed", "front-a1-1"]).await;
}

/// Guards against polls of every host, which cost more store requests than everything else in
/// larger sites.
#[tokio::test]
async fn one_host_of_a_zone_reads_the_store_for_the_others() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let [first, second] = two_hosts(&store).await;
    let is_reader = |host: &host::Host| !host.log().contains("follows=false");
    common::eventually("one of them stops reading", || async {
        is_reader(&first) != is_reader(&second)
    })
    .await;
    let (reader, other) = if is_reader(&first) {
        (first, second)
    } else {
        (second, first)
    };
    // The first change ends a poll of the other host that is still open.
    for (version, prefix) in [("0000000b", "/b/"), ("0000000c", "/c/")] {
        store.put("op", "config", &host::configuration(version, prefix));
        common::eventually("both serve the new route", || async {
            let path = format!("{prefix}x");
            let answers = [
                reader.request("GET", &path, "id-1").await,
                other.request("GET", &path, "id-2").await,
            ];
            answers.iter().all(|reply| reply.status == 200)
        })
        .await;
    }
    other
        .wait_for_log(&["table updated from another host", "op"])
        .await;
    drop(reader);
    store.put("op", "config", &host::configuration("0000000d", "/d/"));
    common::eventually("the other host reads itself", || async {
        other.request("GET", "/d/x", "id-3").await.status == 200
    })
    .await;
    other.wait_for_log(&["follows=true"]).await;
}

/// Load pattern: many hosts start together, and targets register before there is a configuration.
///
/// On the large fleet's quiet-1, 295 hosts called the store 2,831 times, most of it at the start.
#[tokio::test]
async fn hosts_without_a_configuration_leave_the_store_to_one_of_them() {
    const HOSTS: usize = 4;
    const CHANGES: usize = 20;
    let store = store::Store::start().await;
    let target = target::Target::start("i-1").await;
    target.register(&store, "ready");
    let names: Vec<String> = (0..HOSTS).map(|n| format!("front-a1-{n}")).collect();
    let places = names.iter().map(|name| host::Place {
        name,
        zone: "a1",
        region: "a",
        store: store.address,
    });
    let hosts: Vec<host::Host> = places.map(host::Host::start_at).collect();
    common::eventually("all hosts but one leave the store to it", || async {
        let waiting = hosts
            .iter()
            .filter(|host| host.log().contains("follows=false"));
        waiting.count() == HOSTS - 1
    })
    .await;
    // The first change ends the polls that are still open.
    target.register(&store, "draining");
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let before = store.reads();
    for _n in 0..CHANGES {
        target.register(&store, "ready");
        tokio::time::sleep(time::Duration::from_millis(150)).await;
    }
    let reads = store.reads() - before;
    assert!(reads <= 2 * CHANGES, "{reads} reads for {CHANGES} changes");
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    common::eventually("all hosts are ready", || async {
        let answers = hosts.iter().map(host::Host::is_ready);
        futures::future::join_all(answers)
            .await
            .into_iter()
            .all(|is_ready| is_ready)
    })
    .await;
}

/// Guards against lost changes in a zone so large that hosts report to relays only, one of which
/// fails.
#[tokio::test]
async fn hosts_of_a_large_zone_get_changes_through_its_relays() {
    const HOSTS: usize = 18;
    let (store, _targets) = deployment(&["i-1"]).await;
    let mut names: Vec<String> = (0..HOSTS).map(|n| format!("front-a1-{n}")).collect();
    // The first hosts in this order are the relays.
    names.sort_by_key(|name| skylark_core::traffic::digest(name));
    let start = |name: &String| host::Host::start_at(host::Place::new(&store, name));
    let mut hosts: Vec<host::Host> = names.iter().map(start).collect();
    for (host, own) in hosts.iter().zip(&names) {
        for other in names.iter().filter(|other| *other != own) {
            let field = format!("host={other} ");
            host.wait_for_log(&["host changed", &field]).await;
        }
    }
    for (version, prefix) in [("0000000b", "/b/"), ("0000000c", "/c/")] {
        store.put("op", "config", &host::configuration(version, prefix));
        for host in &hosts {
            common::eventually("each host serves the new route", || async {
                let path = format!("{prefix}x");
                host.request("GET", &path, "id-1").await.status == 200
            })
            .await;
        }
        // The second version must arrive without the first relay.
        hosts.remove(0);
    }
}

/// Guards against refusals of a small account's requests at hosts without a token of its limit
/// (seen in larger sites).
#[tokio::test]
async fn hosts_share_a_rate_limit_that_is_too_small_to_divide() {
    const BURST: usize = 6;
    let (store, _targets) = deployment(&["i-1"]).await;
    let small = host::configuration("0000000b", "/look/")
        .replace("\"ratePerS\":500", "\"ratePerS\":2")
        .replace("\"burst\":500", &format!("\"burst\":{BURST}"));
    store.put("op", "config", &small);
    let hosts = two_hosts(&store).await;
    for host in &hosts {
        common::eventually("a token of the share", || async {
            host.request("GET", "/look/x", "id-1").await.status == 200
        })
        .await;
    }
    let began = time::Instant::now();
    let mut served = 0;
    for n in 0..40 {
        let reply = hosts[n % 2]
            .request("GET", "/look/x", &format!("id-{n}"))
            .await;
        match reply.status {
            200 => served += 1,
            status => {
                assert_eq!(status, 429);
                assert!(reply.header("retry-after").is_some());
            }
        }
    }
    let seconds = usize::try_from(began.elapsed().as_secs()).expect("short") + 1;
    assert!(served <= BURST + 2 * seconds, "{served} in {seconds} s");
}
