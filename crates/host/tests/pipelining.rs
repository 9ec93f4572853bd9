//! Requests that a caller sends before earlier ones on its connection were answered.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::time;

use common::host;
use common::raw;
use common::store;
use common::target;

/// Time within which the work of a caller that left must end.
const CANCEL_TIME: time::Duration = time::Duration::from_millis(500);

async fn deployment() -> (host::Host, target::Target) {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let target = target::Target::start("i-1").await;
    target.register(&store, "ready");
    (host::Host::start(&store).await, target)
}

fn get(path: &str, id: &str) -> String {
    raw::head("GET", path, id, "Deadline-Ms: 4000\r\n")
}

#[tokio::test]
async fn responses_come_in_the_order_of_the_requests() {
    let (host, target) = deployment().await;
    let mut caller = raw::Caller::connect(host.callers).await;
    let paths = ["/look/a", "/other/b", "/look/c", "/look/d"];
    let requests: Vec<String> = (0..)
        .zip(paths)
        .map(|(n, path)| get(path, &format!("id-{n}")))
        .collect();
    let unauthorized = get("/look/e", "id-4").replace("key-1", "wrong");
    let last = get("/look/f", "id-5");
    caller
        .send(requests.concat() + &unauthorized + &last)
        .await
        .expect("send");
    for (n, status) in [200, 404, 200, 200, 401, 200].into_iter().enumerate() {
        let answer = caller.read().await.expect("an answer");
        let id = format!("id-{n}");
        assert_eq!(answer.status, status, "{id}");
        assert_eq!(target::value(&answer.head, "request-id"), Some(id.clone()));
        if status == 200 {
            assert_eq!(answer.body, format!("i-1 answered {id}").as_bytes());
        }
    }
    let ids: Vec<Option<String>> = target
        .heads()
        .iter()
        .map(|head| target::value(head, "request-id"))
        .collect();
    let wanted = ["id-0", "id-2", "id-3", "id-5"];
    assert_eq!(ids, wanted.map(|id| Some(id.to_owned())));
}

#[tokio::test]
async fn a_failed_request_swaps_and_drops_none_behind_it() {
    let (host, target) = deployment().await;
    for behavior in [
        target::Behavior::Truncate,
        target::Behavior::Disconnect,
        target::Behavior::AnswerTwice,
    ] {
        target.set_behavior(behavior);
        let mut caller = raw::Caller::connect(host.callers).await;
        let requests: Vec<String> = (0..4).map(|n| get("/look/x", &format!("id-{n}"))).collect();
        caller.send(requests.concat()).await.expect("send");
        for n in 0..4 {
            let answer = caller.read().await.expect("an answer");
            let id = format!("id-{n}");
            assert_eq!(
                target::value(&answer.head, "request-id"),
                Some(id.clone()),
                "{behavior:?}"
            );
            if answer.status == 200 {
                assert_eq!(answer.body, format!("i-1 answered {id}").as_bytes());
            }
        }
    }
}

#[tokio::test]
async fn nothing_runs_behind_a_response_that_closes_the_connection() {
    let (host, target) = deployment().await;
    host.signal("-TERM");
    common::eventually("the host is not ready", || async { !host.is_ready().await }).await;
    let mut caller = raw::Caller::connect(host.callers).await;
    let requests: Vec<String> = (0..3).map(|n| get("/look/x", &format!("id-{n}"))).collect();
    caller.send(requests.concat()).await.expect("send");
    let answer = caller.read().await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(
        target::value(&answer.head, "connection").as_deref(),
        Some("close")
    );
    assert!(caller.read_to_end().await.is_empty());
    assert_eq!(target.heads().len(), 1);
}

#[tokio::test]
async fn a_caller_that_leaves_ends_all_its_requests() {
    let (host, target) = deployment().await;
    target.set_behavior(target::Behavior::Hang);
    // An order waits for the request in front of it, a safe request runs beside it.
    let order = raw::head("POST", "/order/x", "id-1", "Deadline-Ms: 4000\r\n");
    let mut running = 0;
    for second in [order, get("/look/x", "id-2")] {
        running += 1 + usize::from(second.starts_with("GET"));
        let mut caller = raw::Caller::connect(host.callers).await;
        caller
            .send(get("/look/x", "id-0") + &second)
            .await
            .expect("send");
        common::eventually("the requests run", || async {
            target.heads().len() == running
        })
        .await;
        drop(caller);
        tokio::time::sleep(CANCEL_TIME).await;
        assert_eq!(target.disconnects(), running, "all are cancelled");
    }
    target.set_behavior(target::Behavior::Answer);
    tokio::time::sleep(CANCEL_TIME).await;
    assert_eq!(target.heads().len(), running, "nothing runs later");
}

/// Load pattern: a client sends several requests at once, each of which takes most of its objective.
#[tokio::test]
async fn pipelined_requests_run_side_by_side() {
    let (host, target) = deployment().await;
    target.set_behavior(target::Behavior::AnswerSlowly);
    let mut caller = raw::Caller::connect(host.callers).await;
    let began = time::Instant::now();
    caller.send(get("/look/x", "id-0")).await.expect("send");
    common::eventually("the first request runs", || async {
        target.heads().len() == 1
    })
    .await;
    // The next ones arrive in pieces.
    let rest = get("/look/x", "id-1") + &get("/look/x", "id-2") + &get("/look/x", "id-3");
    for piece in rest.as_bytes().chunks(100) {
        caller.send(piece).await.expect("send");
    }
    for n in 0..4 {
        let answer = caller.read().await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, format!("i-1 answered id-{n}").as_bytes());
    }
    let took = began.elapsed();
    assert!(took < target::SLOW_TIME * 2, "{took:?}");
    assert_eq!(target.heads().len(), 4, "each ran once");
}

#[tokio::test]
async fn a_request_that_must_not_run_twice_waits_for_those_in_front() {
    let (host, target) = deployment().await;
    target.set_behavior(target::Behavior::AnswerSlowly);
    let mut caller = raw::Caller::connect(host.callers).await;
    let order = raw::head(
        "POST",
        "/order/x",
        "id-1",
        "Deadline-Ms: 4000\r\nContent-Length: 2\r\n",
    );
    let requests = get("/look/x", "id-0") + &order + "ab" + &get("/look/x", "id-2");
    caller.send(requests).await.expect("send");
    tokio::time::sleep(target::SLOW_TIME / 2).await;
    assert_eq!(target.heads().len(), 1);
    for n in 0..3 {
        let answer = caller.read().await.expect("an answer");
        assert_eq!(answer.body, format!("i-1 answered id-{n}").as_bytes());
    }
    let lines: Vec<String> = target
        .heads()
        .iter()
        .map(|head| head[..4].to_owned())
        .collect();
    assert_eq!(lines, ["GET ", "POST", "GET "]);
    assert_eq!(target.bodies()[1], b"ab");
}

#[tokio::test]
async fn a_planned_stop_answers_the_requests_that_already_run() {
    let (host, target) = deployment().await;
    target.set_behavior(target::Behavior::AnswerSlowly);
    let mut caller = raw::Caller::connect(host.callers).await;
    let requests: Vec<String> = (0..3).map(|n| get("/look/x", &format!("id-{n}"))).collect();
    caller.send(requests.concat()).await.expect("send");
    common::eventually("all run", || async { target.heads().len() == 3 }).await;
    host.signal("-TERM");
    common::eventually("the host is not ready", || async { !host.is_ready().await }).await;
    caller.send(get("/look/x", "id-3")).await.expect("send");
    for n in 0..3 {
        let answer = caller.read().await.expect("an answer");
        assert_eq!(answer.body, format!("i-1 answered id-{n}").as_bytes());
        let is_last = target::value(&answer.head, "connection").as_deref() == Some("close");
        assert_eq!(is_last, n == 2);
    }
    assert!(caller.read_to_end().await.is_empty());
    assert_eq!(
        target.heads().len(),
        3,
        "the one behind the close has not run"
    );
}

#[tokio::test]
async fn a_caller_that_sends_many_requests_fills_no_memory() {
    let (host, target) = deployment().await;
    target.set_behavior(target::Behavior::Hang);
    let before = host.peak_kib();
    let mut caller = raw::Caller::connect(host.callers).await;
    let request = get("/look/x", "id-0").repeat(1_000);
    let sending = async { while caller.send(&request).await.is_ok() {} };
    let stopped = tokio::time::timeout(time::Duration::from_secs(2), sending).await;
    assert!(stopped.is_err(), "the host still reads");
    assert!(target.heads().len() <= 9, "{} run", target.heads().len());
    let grown = host.peak_kib() - before;
    assert!(grown < 8 * 1_024, "{grown} KiB for one caller");
}
