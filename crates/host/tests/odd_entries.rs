//! Entries of other writers among those of the targets, on every way by which entries reach a host.

#[expect(dead_code, reason = "shared with the tests of the process")]
mod common;

use std::time;

use common::host;
use common::store;
use common::target;

/// Depth that fits into a row of 64 KiB.
const DEPTH: usize = 60_000;
/// Time in which a host must not repeat what it logs of an entry.
const QUIET_TIME: time::Duration = time::Duration::from_secs(3);

/// Returns an entry like those of targets, with a field replaced by JSON text.
fn entry(field: &str, json: &str) -> String {
    let whole = r#"{"address":"127.0.0.1:9","info":{"service":"ledger","version":"v1","zone":"a1",
        "slots":4},"status":{"state":"ready","sequence":1,"warmupLeftS":0},"born":1}"#;
    let at = whole.find(&format!("\"{field}\":")).expect("a field") + field.len() + 3;
    let end = at + whole[at..].find([',', '}']).expect("an end");
    format!("{}{json}{}", &whole[..at], &whole[end..])
}

/// Returns entries that name no target to use.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(DEPTH / 2), "]".repeat(DEPTH / 2));
    let objects = "{\"a\":".repeat(DEPTH / 5);
    let texts = [
        nested.clone(),
        "[".repeat(DEPTH),
        objects,
        entry("address", &nested),
        entry("slots", &nested),
        entry("slots", "1e400"),
        entry("slots", "-1"),
        entry("slots", "0"),
        entry("slots", "4294967295"),
        entry("slots", "18446744073709551616"),
        entry("sequence", "1e30"),
        entry("warmupLeftS", "1e400"),
        entry("warmupLeftS", "1e308"),
        entry("warmupLeftS", "-1"),
        entry("warmupLeftS", "NaN"),
        entry("born", "18446744073709551615"),
        entry("born", "\"today\""),
        entry("address", "\"127.0.0.1:0\""),
        entry("address", "\"127.0.0.1:65536\""),
        entry("address", "\"127.0.0.1:-1\""),
        entry("address", "\"0.0.0.0:80\""),
        entry("address", "80"),
        entry("state", "\"dancing\""),
        entry("service", "\"\""),
        String::new(),
        "null".to_owned(),
        format!("\"{}\"", "x".repeat(DEPTH / 2)),
    ];
    let mut values: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    values.push(vec![0xff; 512]);
    values
}

/// Returns fields of rows that are not of the platform's types.
fn odd_rows() -> Vec<serde_json::Value> {
    vec![
        serde_json::json!({"value": 7}),
        serde_json::json!({"value": "no base64!"}),
        serde_json::json!({"value": {"address": "127.0.0.1:9"}}),
        serde_json::json!({"ver": "new"}),
        serde_json::json!({"ver": 1e30}),
        serde_json::json!({"deleted": 3}),
        serde_json::json!({"part": null}),
        serde_json::json!({"key": 5}),
    ]
}

/// Puts all odd entries beside those of the targets; returns their number.
fn put_odd_entries(store: &store::Store, round: &str) -> usize {
    let values = odd_values();
    let rows = odd_rows();
    for (n, value) in values.iter().enumerate() {
        store.put_bytes("servers", &format!("odd-{round}-{n}"), value);
    }
    for (n, fields) in rows.iter().enumerate() {
        let key = format!("row-{round}-{n}");
        store.put("servers", &key, &entry("slots", "4"));
        store.disguise("servers", &key, fields.clone());
    }
    store.put("servers", "", &entry("slots", "4"));
    values.len() + rows.len() + 1
}

async fn deployment() -> (store::Store, target::Target) {
    let store = store::Store::start().await;
    store.put("op", "config", &host::configuration("0000000a", "/look/"));
    let target = target::Target::start("i-1").await;
    target.register(&store, "ready");
    (store, target)
}

/// Waits until a host uses a target that has just been registered, and a new configuration.
async fn wait_until_it_follows(host: &mut host::Host, target: &target::Target, path: &str) {
    common::eventually("a new target and configuration are in use", || async {
        let reply = host.request("GET", path, "follow").await;
        reply.status == 200 && !target.heads().is_empty()
    })
    .await;
    assert!(!host.has_ended(), "{}", host.log());
}

/// Guards against hosts that end, or follow the table no more, because of one odd entry: in the feed,
/// from a neighbor, in a snapshot, and after a return of the store.
#[tokio::test]
async fn odd_entries_cost_no_other_entry_on_any_way() {
    let (store, first) = deployment().await;
    let mut reader = host::Host::start_named(&store, "front-a1-1").await;
    let mut neighbor = host::Host::start_named(&store, "front-a1-2").await;
    neighbor.wait_for_log(&["store reader changed"]).await;
    let odd = put_odd_entries(&store, "feed");

    // The feed, and a neighbor that gets changes from the reader.
    let second = target::Target::start("i-2").await;
    second.register(&store, "ready");
    store.remove("servers", "i-1");
    store.put("op", "config", &host::configuration("0000000b", "/new/"));
    wait_until_it_follows(&mut reader, &second, "/new/x").await;
    wait_until_it_follows(&mut neighbor, &second, "/new/x").await;

    // A snapshot.
    let mut late = host::Host::start_named(&store, "front-a1-3").await;
    wait_until_it_follows(&mut late, &second, "/new/x").await;

    // A return of the store from a copy that has the odd entries.
    let copy = store.copy();
    store.restore(&copy);
    first.register(&store, "ready");
    let before = first.heads().len();
    store.remove("servers", "i-2");
    put_odd_entries(&store, "again");
    for host in [&mut reader, &mut neighbor, &mut late] {
        common::eventually("the target is used after the return", || async {
            host.request("GET", "/new/x", "back").await.status == 200
                && first.heads().len() > before
        })
        .await;
    }

    let rejected = |host: &host::Host| {
        host.log().matches("not understood").count() + host.log().matches("entry rejected").count()
    };
    let hosts = [reader, neighbor, late];
    let counts: Vec<usize> = hosts.iter().map(rejected).collect();
    tokio::time::sleep(QUIET_TIME).await;
    for (mut host, count) in hosts.into_iter().zip(counts) {
        assert!(!host.has_ended());
        assert_eq!(rejected(&host), count, "repeated:\n{}", host.log());
        assert!(count <= 6 * odd, "{count} lines of {odd} entries");
    }
}

/// Guards against a target that is refused for good after another writer has named a later start.
#[tokio::test]
async fn a_target_returns_after_an_odd_entry_under_its_own_name() {
    let (store, target) = deployment().await;
    let host = host::Host::start(&store).await;
    for value in odd_values() {
        store.put_bytes("servers", "i-1", &value);
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    common::eventually("the entry names no target", || async {
        host.request("GET", "/look/x", "odd").await.status == 503
    })
    .await;
    target.register(&store, "ready");
    common::eventually("the target is used again", || async {
        host.request("GET", "/look/x", "again").await.status == 200
    })
    .await;
}
