//! The test double of the platform's store itself.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;

use std::time;

use common::store;

/// Time in which a poll without a change is answered.
const POLL_MILLIS: u64 = 200;
/// Time in which a poll that loses its connection fails; shorter than the poll.
const MAX_LOSS_TIME: time::Duration = time::Duration::from_secs(2);

async fn get(store: &store::Store, path: &str) -> common::Reply {
    let request = common::request("GET", path, "r", Vec::new());
    common::call(store.address, request).await.expect("answer")
}

async fn poll(store: &store::Store, after: u64) -> common::Reply {
    let path = format!("/api/rows-feed?table=op&after={after}&waitMs={POLL_MILLIS}");
    get(store, &path).await
}

/// Result of a poll that may lose its connection, or never be answered.
type PollResult = Result<Result<common::Reply, hyper::Error>, tokio::time::error::Elapsed>;

/// Begins a poll, and returns when it waits.
async fn begin_poll(store: &store::Store) -> tokio::task::JoinHandle<PollResult> {
    let path = "/api/rows-feed?table=op&after=0&waitMs=20000";
    let request = common::request("GET", path, "r", Vec::new());
    let reads = store.reads();
    let reply = common::call(store.address, request);
    let poll = tokio::spawn(tokio::time::timeout(MAX_LOSS_TIME, reply));
    common::eventually("the poll waits", || async { store.reads() > reads }).await;
    poll
}

fn json(reply: &common::Reply) -> serde_json::Value {
    serde_json::from_slice(&reply.body).expect("JSON")
}

#[tokio::test]
async fn a_store_back_from_a_copy_gives_versions_out_again() {
    let store = store::Store::start().await;
    store.put("op", "kept", "");
    let copy = store.copy();
    store.put("op", "lost", "");
    store.put("op", "lost too", "");
    assert_eq!(json(&poll(&store, 0).await)["ver"], 3);
    store.restore(&copy);
    let table = json(&get(&store, "/api/rows-get?table=op&part=").await);
    assert_eq!(
        (&table["ver"], store.keys("op")),
        (&1.into(), vec!["kept".to_owned()])
    );
    store.put("op", "new", "");
    let changes = json(&poll(&store, 1).await);
    let row = &changes["rows"][0];
    assert_eq!((&row["key"], &row["ver"]), (&"new".into(), &2.into()));
}

#[tokio::test]
async fn a_poll_from_a_version_that_the_store_lacks_gets_410() {
    let store = store::Store::start().await;
    store.put("op", "kept", "");
    let copy = store.copy();
    store.put("op", "lost", "");
    assert_eq!(poll(&store, 2).await.status, 200);
    store.restore(&copy);
    assert_eq!(poll(&store, 2).await.status, 410);
    assert_eq!(poll(&store, 1).await.status, 200);
    store.put("op", "new", "");
    assert_eq!(poll(&store, 2).await.status, 200, "given out again");
}

#[tokio::test]
async fn each_answer_names_the_era() {
    let store = store::Store::start().await;
    let copy = store.copy();
    for era in ["1", "2", "3"] {
        let mut replies = vec![
            poll(&store, 0).await,
            poll(&store, 9).await,
            get(&store, "/api/rows-get?table=op&part=").await,
            get(&store, "/unknown").await,
        ];
        let call = br#"{"writes": [{"table": "hosts", "key": "k", "value": ""}]}"#;
        let request = common::request("POST", "/api/rows-tx", "r", call.to_vec());
        replies.push(common::call(store.address, request).await.expect("answer"));
        store.set_mode(store::Mode::Unavailable);
        replies.push(poll(&store, 0).await);
        store.set_mode(store::Mode::Serving);
        let statuses: Vec<u16> = replies.iter().map(|reply| reply.status).collect();
        assert_eq!(statuses, [200, 410, 200, 404, 200, 503]);
        for reply in &replies {
            assert_eq!(reply.header("store-era"), Some(era), "{}", reply.status);
        }
        store.restore(&copy);
    }
}

#[tokio::test]
async fn polls_that_wait_through_a_return_get_no_answer() {
    let store = store::Store::start().await;
    let copy = store.copy();
    let lost = begin_poll(&store).await;
    store.restore(&copy);
    let lost = lost.await.expect("task").expect("in time");
    assert!(lost.is_err(), "{lost:?}");
    let unanswered = begin_poll(&store).await;
    store.set_mode(store::Mode::Unresponsive);
    store.restore(&copy);
    store.set_mode(store::Mode::Serving);
    store.put("op", "new", "");
    let unanswered = unanswered.await.expect("task");
    assert!(unanswered.is_err(), "{unanswered:?}");
}
