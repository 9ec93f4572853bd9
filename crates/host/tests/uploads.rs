//! Requests with large bodies, which must not run twice.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::time;

use common::host;
use common::raw;
use common::store;
use common::target;

/// Bytes of a body that a host holds whole, and of one that it passes on.
const SMALL_BYTES: usize = 60_000;
const LARGE_BYTES: usize = 1_000_000;
/// Largest body of the configuration.
const MAX_BODY_BYTES: usize = 8_388_608;
const CHUNK_BYTES: usize = 64 * 1_024;
/// Bytes of a body that arrive before a host selects its target.
const HELD_BYTES: usize = 256 * 1_024;
/// Callers whose bodies reach that size at the same time.
const UPLOADS: usize = 20;
/// Pause of callers, longer than a target with requests may be silent.
const PAUSE: time::Duration = time::Duration::from_millis(1_500);

async fn deployment(ids: &[&str]) -> (host::Host, Vec<target::Target>) {
    let store = store::Store::start().await;
    let text = host::configuration("0000000a", "/look/").replace("unsafe", "upload");
    store.put("op", "config", &text);
    let mut targets = Vec::new();
    for id in ids {
        let target = target::Target::start_beside(id, &targets).await;
        target.register(&store, "ready");
        targets.push(target);
    }
    (host::Host::start(&store).await, targets)
}

fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|n| n.to_le_bytes()[n % 2]).collect()
}

/// Returns the bodies that targets ran.
fn bodies(targets: &[target::Target]) -> Vec<Vec<u8>> {
    targets.iter().flat_map(target::Target::bodies).collect()
}

async fn upload(host: &host::Host, id: &str, body: Vec<u8>) -> common::Reply {
    let request = common::request("POST", "/order/x", id, body);
    common::call(host.callers, request)
        .await
        .expect("an answer")
}

/// Whichever target gets a body first refuses it; the other one would run it.
#[tokio::test]
async fn a_refused_body_is_sent_again_only_while_it_is_held() {
    let (host, targets) = deployment(&["i-1", "i-2"]).await;
    for target in &targets {
        target.set_behavior(target::Behavior::RefuseOnce);
    }
    let reply = upload(&host, "small", body(SMALL_BYTES)).await;
    assert_eq!(reply.status, 200, "{}", host.log());
    for target in &targets {
        assert_eq!(target.bodies(), [body(SMALL_BYTES)], "{}", target.id);
    }
    let reply = upload(&host, "large", body(LARGE_BYTES)).await;
    let log = host.log();
    assert_eq!(reply.status, 503, "not run, and its bytes are gone\n{log}");
    assert!(reply.header("retry-after").is_some());
    let sent = bodies(&targets);
    let sent = sent.iter().filter(|body| body.len() == LARGE_BYTES);
    assert_eq!(sent.count(), 1, "{log}");
    let heads = targets.iter().flat_map(target::Target::heads);
    assert_eq!(heads.count(), 3, "{log}");
}

#[tokio::test]
async fn a_body_that_may_have_run_is_not_sent_again() {
    let (host, targets) = deployment(&["i-1", "i-2"]).await;
    for behavior in [target::Behavior::Disconnect, target::Behavior::Truncate] {
        for target in &targets {
            target.set_behavior(behavior);
        }
        for bytes in [SMALL_BYTES, LARGE_BYTES] {
            let before = bodies(&targets).len();
            let reply = upload(&host, &format!("{behavior:?}-{bytes}"), body(bytes)).await;
            assert_eq!(reply.status, 502, "{behavior:?} {bytes}");
            assert_eq!(bodies(&targets).len(), before + 1, "{behavior:?} {bytes}");
        }
    }
}

#[tokio::test]
async fn a_body_that_is_cut_off_reaches_no_target_as_complete() {
    let (host, targets) = deployment(&["i-1"]).await;
    for bytes in [SMALL_BYTES, LARGE_BYTES] {
        let mut caller = raw::Caller::connect(host.callers).await;
        let headers = format!("Deadline-Ms: 4000\r\nContent-Length: {bytes}\r\n");
        let head = raw::head("POST", "/order/x", &format!("cut-{bytes}"), &headers);
        caller.send(head).await.expect("head");
        caller.send(&body(bytes)[..bytes - 1]).await.expect("body");
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        drop(caller);
    }
    let reply = upload(&host, "whole", body(10)).await;
    assert_eq!(reply.status, 200, "{}", host.log());
    assert_eq!(bodies(&targets), [body(10)]);
}

/// Bytes beyond the announced length begin the next request, which is none.
#[tokio::test]
async fn a_body_longer_than_announced_runs_no_second_request() {
    let (host, targets) = deployment(&["i-1"]).await;
    let mut caller = raw::Caller::connect(host.callers).await;
    let head = raw::head(
        "POST",
        "/order/x",
        "long",
        "Deadline-Ms: 4000\r\nContent-Length: 100\r\n",
    );
    caller.send(head).await.expect("head");
    caller.send(vec![b'x'; SMALL_BYTES]).await.expect("body");
    let answer = caller.read().await.expect("an answer");
    assert_eq!(answer.status, 200);
    let rest = caller.read_to_end().await;
    assert!(
        !rest.starts_with(b"HTTP/1.1 2"),
        "{}",
        String::from_utf8_lossy(rest)
    );
    assert_eq!(bodies(&targets), [vec![b'x'; 100]]);
}

/// The caller's mistake must not count as a failure of the target.
#[tokio::test]
async fn a_body_of_unknown_length_beyond_the_limit_is_rejected() {
    let (host, targets) = deployment(&["i-1"]).await;
    for n in 0..4 {
        let mut caller = raw::Caller::connect(host.callers).await;
        let headers = "Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n";
        let head = raw::head("POST", "/order/x", &format!("over-{n}"), headers);
        caller.send(head).await.expect("head");
        let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
        chunk.extend(vec![b'x'; CHUNK_BYTES]);
        chunk.extend(b"\r\n");
        let mut sent = 0;
        while sent <= MAX_BODY_BYTES && caller.send(&chunk).await.is_ok() {
            sent += CHUNK_BYTES;
        }
        let line = format!("request=over-{n}");
        host.wait_for_log(&[&line, "status=413", "request body over the limit"])
            .await;
    }
    assert!(bodies(&targets).is_empty());
    assert_eq!(upload(&host, "next", body(10)).await.status, 200);
}

#[tokio::test]
async fn a_chunk_that_is_not_valid_is_the_callers_fault() {
    let (host, targets) = deployment(&["i-1"]).await;
    let mut caller = raw::Caller::connect(host.callers).await;
    let headers = "Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n";
    let head = raw::head("POST", "/order/x", "bad", headers);
    caller.send(head).await.expect("head");
    let chunk = format!("{LARGE_BYTES:x}\r\n").into_bytes();
    caller.send(chunk).await.expect("size");
    caller.send(vec![b'x'; LARGE_BYTES]).await.expect("chunk");
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    caller.send("\r\nzz\r\n").await.expect("no chunk");
    host.wait_for_log(&["request=bad", "status=400"]).await;
    assert!(bodies(&targets).is_empty());
    assert_eq!(upload(&host, "next", body(10)).await.status, 200);
}

/// The rest of a body whose answer came early must not be followed by another request's bytes.
#[tokio::test]
async fn an_early_answer_mixes_no_bodies() {
    let (host, targets) = deployment(&["i-1"]).await;
    targets[0].set_behavior(target::Behavior::AnswerEarly);
    for n in 0..6 {
        let bytes = [SMALL_BYTES, LARGE_BYTES, 4 * LARGE_BYTES][n % 3];
        let id = format!("early-{n}");
        let request = common::request(
            "POST",
            "/order/x",
            &id,
            vec![u8::try_from(n).expect("byte"); bytes],
        );
        // The connection may close before the whole body was sent, as its answer came early.
        if let Ok(reply) = common::call(host.callers, request).await {
            assert_eq!(reply.status, 200);
            assert_eq!(&*reply.body, format!("i-1 answered {id}").as_bytes());
        }
    }
    targets[0].set_behavior(target::Behavior::Answer);
    assert_eq!(upload(&host, "last", body(10)).await.status, 200);
    let ran = targets[0].bodies();
    let is_mixed = |body: &&Vec<u8>| body.iter().any(|byte| byte != &body[0]);
    assert_eq!(ran[..ran.len() - 1].iter().filter(is_mixed).count(), 0);
}

/// A caller that sends slowly must not make its target look silent to others.
#[tokio::test]
async fn a_slow_body_takes_its_target_from_nobody() {
    let (host, _targets) = deployment(&["i-1"]).await;
    let mut caller = raw::Caller::connect(host.callers).await;
    let headers = format!("Deadline-Ms: 8000\r\nContent-Length: {LARGE_BYTES}\r\n");
    let head = raw::head("POST", "/order/x", "slow", &headers);
    caller.send(head).await.expect("head");
    caller
        .send(&body(LARGE_BYTES)[..LARGE_BYTES / 2])
        .await
        .expect("half");
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let reply = upload(&host, "other", body(10)).await;
    assert_eq!(reply.status, 200, "{}", host.log());
    caller
        .send(&body(LARGE_BYTES)[LARGE_BYTES / 2..])
        .await
        .expect("rest");
    assert_eq!(caller.read().await.expect("an answer").status, 200);
}

/// Load pattern: a caller sends a large body slowly, and many others send theirs side by side.
#[tokio::test]
async fn large_bodies_that_arrive_together_beside_a_slow_one_are_not_refused() {
    let store = store::Store::start().await;
    let text = host::configuration("0000000a", "/look/").replace("unsafe", "upload");
    let text = text.replace("\"timeoutS\":4", "\"timeoutS\":20");
    store.put("op", "config", &text);
    let target = target::Target::start("i-1").await;
    let entry = serde_json::json!({
        "address": target.address,
        "info": {"service": "ledger", "version": "v1", "zone": "a1", "slots": 2 * UPLOADS},
        "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
        "born": 1,
    });
    store.put("servers", &target.id, &entry.to_string());
    let host = host::Host::start(&store).await;
    let body = body(LARGE_BYTES);
    let mut callers = Vec::new();
    for n in 0..=UPLOADS {
        let mut caller = raw::Caller::connect(host.callers).await;
        let headers = format!("Deadline-Ms: 20000\r\nContent-Length: {LARGE_BYTES}\r\n");
        let head = raw::head("POST", "/order/x", &format!("large-{n}"), &headers);
        caller.send(head).await.expect("head");
        caller.send(&body[..HELD_BYTES]).await.expect("body");
        callers.push(caller);
    }
    let (slow, others) = callers.split_first_mut().expect("callers");
    slow.send(&body[HELD_BYTES..2 * HELD_BYTES])
        .await
        .expect("body");
    tokio::time::sleep(PAUSE).await;
    for caller in &mut *others {
        caller
            .send(&body[HELD_BYTES..=HELD_BYTES])
            .await
            .expect("body");
    }
    let ends = others.iter_mut().map(async |caller| {
        // The host does not read a refused body to its end, so sending it may fail.
        let _sent = caller.send(&body[HELD_BYTES + 1..]).await;
        caller.read().await.map(|answer| answer.status)
    });
    let statuses = futures::future::join_all(ends).await;
    assert_eq!(statuses, [Some(200); UPLOADS]);
    slow.send(&body[2 * HELD_BYTES..]).await.expect("body");
    assert_eq!(slow.read().await.expect("an answer").status, 200);
    assert_eq!(target.bodies(), vec![body; UPLOADS + 1]);
}
