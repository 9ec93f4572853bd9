//! Hosts whose store comes back from an older copy.

#[expect(dead_code, reason = "shared with the other tests of the process")]
mod common;
#[path = "soak/proxy.rs"]
#[expect(dead_code, reason = "shared with the soak")]
mod proxy;

use std::collections;
use std::sync::atomic;
use std::time;

use common::host;
use common::store;
use common::target;

/// Time after which the store drops the entry of a silent target, three heartbeats.
const LAPSE_TIME: time::Duration = time::Duration::from_millis(4_500);
/// Time in which a change must be in force after the store has acknowledged it, `configApplyS`.
const APPLY_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Time in which a target that left must get no more requests, `drainS`.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Time in which a zone must be evacuated, `evacuateS`.
const EVACUATE_TIME: time::Duration = time::Duration::from_secs(5);
/// Time after a fault from which on the time bounds hold again, the shortest `contactS`.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);
/// Time after the return in which living targets have registered again.
const REGISTER_TIME: time::Duration = time::Duration::from_secs(2);
/// Time after the return in which targets may still register again.
const KEEP_TIME: time::Duration = time::Duration::from_millis(1_800);
/// Time after a change in which hosts have not begun their next polls.
const BETWEEN_POLLS: time::Duration = time::Duration::from_millis(30);
/// Time for which the store is away before it comes back.
const AWAY_TIME: time::Duration = time::Duration::from_millis(300);
/// Time after the return in which the operator writes its newest configuration again.
const REWRITE_TIME: time::Duration = time::Duration::from_secs(1);
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Returns a configuration: each version has a route and a key that no other version has.
fn configuration(version: u64) -> String {
    let text = host::configuration(&format!("{version:08x}"), "/look/");
    let mut rules: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let path = &mut rules["virtualHosts"][0]["paths"];
    let mut own = path[0].clone();
    own["name"] = format!("own-{version}").into();
    own["prefix"] = format!("/v{version}/").into();
    path.as_array_mut().expect("paths").push(own);
    rules["tenants"][0]["apiKeys"] = serde_json::json!(["key-1", key(version)]);
    rules.to_string()
}

fn key(version: u64) -> String {
    format!("key-v{version}")
}

/// Registers a target.
fn register(store: &store::Store, target: &target::Target, state: &str, sequence: u64) {
    register_in(store, target, state, sequence, "a1");
}

fn register_in(
    store: &store::Store,
    target: &target::Target,
    state: &str,
    sequence: u64,
    zone: &str,
) {
    let entry = serde_json::json!({
        "address": target.address,
        "info": {"service": "ledger", "version": "v1", "zone": zone, "slots": 4},
        "status": {"state": state, "sequence": sequence, "warmupLeftS": 0},
        "born": 1,
    });
    store.put("servers", &target.id, &entry.to_string());
}

/// Starts a store with version 11 of the configuration, and registered targets.
async fn deployment(ids: &[&str]) -> (store::Store, Vec<target::Target>) {
    let store = store::Store::start().await;
    store.put("op", "config", &configuration(11));
    let mut targets = Vec::new();
    for id in ids {
        let target = target::Target::start(id).await;
        register(&store, &target, "ready", 1);
        targets.push(target);
    }
    (store, targets)
}

/// Waits until hosts have the changes of both tables so far.
async fn wait_for_changes(store: &store::Store, hosts: &[&host::Host]) {
    let last = format!("last-{}", next_number());
    store.put("servers", &last, "{}");
    store.put("op", &format!("evacuate/{last}"), "");
    for host in hosts {
        host.wait_for_log(&["target entry rejected", &last]).await;
        host.wait_for_log(&["evacuated zones updated", &last]).await;
    }
}

/// Takes the store away for a moment, and brings it back from a copy.
async fn bring_back(store: &store::Store, copy: &store::Contents) {
    store.set_mode(store::Mode::Unavailable);
    tokio::time::sleep(AWAY_TIME).await;
    store.restore(copy);
    store.set_mode(store::Mode::Serving);
}

fn next_number() -> u64 {
    static NUMBERS: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    NUMBERS.fetch_add(1, atomic::Ordering::Relaxed)
}

async fn status(host: &host::Host, path: &str, key: &str) -> u16 {
    let id = format!("id-{}", next_number());
    let mut request = common::request("GET", path, &id, Vec::new());
    let value = format!("Bearer {key}").parse().expect("value");
    request.headers_mut().insert("authorization", value);
    let reply = common::call(host.callers, request).await;
    reply.expect("answer").status
}

/// Returns the statuses for the route of a version, its key, and the key of the version before.
async fn statuses(host: &host::Host, version: u64) -> [u16; 3] {
    [
        status(host, &format!("/v{version}/x"), "key-1").await,
        status(host, "/look/x", &key(version)).await,
        status(host, "/look/x", &key(version - 1)).await,
    ]
}

/// Returns when a change must be in force that the store acknowledges now.
fn in_time() -> time::Instant {
    time::Instant::now() + APPLY_TIME
}

/// Statuses while a version is in force.
const IN_FORCE: [u16; 3] = [200, 200, 401];

/// Waits until a version is in force, which must be so for requests from `due` on.
async fn wait_for_version(host: &host::Host, version: u64, due: time::Instant) {
    loop {
        let sent = time::Instant::now();
        let found = statuses(host, version).await;
        if found == IN_FORCE {
            return;
        }
        let late = sent.checked_duration_since(due);
        assert_eq!(late, None, "{found:?} for version {version} that late");
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Checks for a time that a version is in force.
async fn check_version(host: &host::Host, version: u64, duration: time::Duration) {
    let began = time::Instant::now();
    while began.elapsed() < duration {
        let found = statuses(host, version).await;
        let at = began.elapsed();
        let log = || host.log();
        assert_eq!(
            found,
            IN_FORCE,
            "version {version}, {at:?} later:\n{}",
            log()
        );
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Sends requests for a time, and returns their statuses.
async fn send_requests(host: &host::Host, duration: time::Duration) -> Vec<u16> {
    let began = time::Instant::now();
    let mut statuses = Vec::new();
    while began.elapsed() < duration {
        statuses.push(status(host, "/look/x", "key-1").await);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    statuses
}

/// Returns the time of a target's last run.
fn last_run(target: &target::Target) -> Option<time::Instant> {
    target.runs().last().map(|run| run.at)
}

/// Checks that a target gets no requests from a moment on, while requests come for a time.
async fn check_unused(
    host: &host::Host,
    target: &target::Target,
    from: time::Instant,
    duration: time::Duration,
) {
    send_requests(host, duration).await;
    let late = last_run(target).and_then(|at| at.checked_duration_since(from));
    assert_eq!(late, None, "{} got a request that late", target.id);
}

/// Waits until a target gets requests.
async fn wait_for_use(host: &host::Host, target: &target::Target) {
    let before = target.runs().len();
    common::eventually("the target gets requests", || async {
        status(host, "/look/x", "key-1").await;
        target.runs().len() > before
    })
    .await;
}

/// Puts the first of two targets to use: the one that gets the next request.
async fn used_first(host: &host::Host, mut targets: Vec<target::Target>) -> [target::Target; 2] {
    status(host, "/look/x", "key-1").await;
    targets.sort_by_key(|target| target.runs().is_empty());
    targets.try_into().expect("two targets")
}

#[tokio::test]
async fn a_change_after_the_return_is_not_taken_for_an_old_one() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
    }
    wait_for_version(&host, 12, in_time()).await;
    bring_back(&store, &copy).await;
    tokio::time::sleep(REWRITE_TIME).await;
    store.put("op", "config", &configuration(13));
    wait_for_version(&host, 13, in_time()).await;
    check_version(&host, 13, APPLY_TIME).await;
}

#[tokio::test]
async fn a_change_right_after_a_return_unnoticed_but_for_lost_polls_is_in_force_in_time() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
    }
    wait_for_version(&host, 12, in_time()).await;
    store.restore(&copy);
    store.put("op", "config", &configuration(13));
    wait_for_version(&host, 13, in_time()).await;
    check_version(&host, 13, APPLY_TIME).await;
}

/// Checks that a change is in force from `contactS` on though no poll of before is ever answered.
async fn check_unanswered(away: time::Duration) {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
    }
    wait_for_version(&host, 12, in_time()).await;
    wait_for_changes(&store, &[&host]).await;
    // New polls have begun since, and wait.
    tokio::time::sleep(AWAY_TIME).await;
    store.set_mode(store::Mode::Unresponsive);
    tokio::time::sleep(away).await;
    store.restore(&copy);
    store.set_mode(store::Mode::Serving);
    let stable = time::Instant::now() + CONTACT_TIME;
    store.put("op", "config", &configuration(13));
    wait_for_version(&host, 13, stable).await;
    check_version(&host, 13, APPLY_TIME).await;
}

#[tokio::test]
async fn a_change_after_a_long_absence_without_answers_is_in_force_once_the_store_is_stable() {
    check_unanswered(CONTACT_TIME).await;
}

#[tokio::test]
async fn a_change_after_a_short_absence_without_answers_is_in_force_once_the_store_is_stable() {
    check_unanswered(AWAY_TIME).await;
}

#[tokio::test]
async fn an_accepted_configuration_is_not_replaced_by_the_older_one_of_the_copy() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    let copy = store.copy();
    store.put("op", "config", &configuration(12));
    wait_for_version(&host, 12, in_time()).await;
    bring_back(&store, &copy).await;
    check_version(&host, 12, APPLY_TIME).await;
    store.put("op", "config", &configuration(12));
    check_version(&host, 12, APPLY_TIME).await;
}

/// Checks that a target that leaves after the return gets no requests.
async fn check_later_leave(leave: fn(&store::Store, &target::Target)) {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let host = host::Host::start(&store).await;
    let [leaving, other] = used_first(&host, targets).await;
    let copy = store.copy();
    for sequence in 2..7 {
        register(&store, &leaving, "ready", sequence);
        register(&store, &other, "ready", sequence);
    }
    wait_for_changes(&store, &[&host]).await;
    bring_back(&store, &copy).await;
    register(&store, &leaving, "ready", 7);
    register(&store, &other, "ready", 7);
    send_requests(&host, REWRITE_TIME).await;
    leave(&store, &leaving);
    let until = time::Instant::now() + DRAIN_TIME;
    check_unused(&host, &leaving, until, DRAIN_TIME * 2).await;
    assert!(last_run(&other) > Some(until));
}

#[tokio::test]
async fn a_target_that_drains_after_the_return_gets_no_requests() {
    check_later_leave(|store, target| register(store, target, "draining", 8)).await;
}

#[tokio::test]
async fn a_target_that_is_removed_after_the_return_gets_no_requests() {
    check_later_leave(|store, target| store.remove("servers", &target.id)).await;
}

/// Checks that a target that left in the lost part is used only when it registers anew.
async fn check_lost_leave(leave: fn(&store::Store, &target::Target)) {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let host = host::Host::start(&store).await;
    let [left, other] = used_first(&host, targets).await;
    let copy = store.copy();
    leave(&store, &left);
    wait_for_changes(&store, &[&host]).await;
    tokio::time::sleep(DRAIN_TIME).await;
    let returned = time::Instant::now();
    bring_back(&store, &copy).await;
    let silent = (store.clone(), left.id.clone());
    tokio::spawn(async move {
        tokio::time::sleep(LAPSE_TIME).await;
        silent.0.remove("servers", &silent.1);
    });
    register(&store, &other, "ready", 2);
    send_requests(&host, REWRITE_TIME).await;
    // Without another target the host would have to use the one that left.
    register(&store, &other, "draining", 3);
    check_unused(&host, &left, returned, DRAIN_TIME * 2).await;
    register(&store, &left, "ready", 4);
    wait_for_use(&host, &left).await;
}

#[tokio::test]
async fn a_target_that_drained_in_the_lost_part_is_not_used_again() {
    check_lost_leave(|store, target| register(store, target, "draining", 2)).await;
}

#[tokio::test]
async fn a_target_that_was_removed_in_the_lost_part_is_not_used_again() {
    check_lost_leave(|store, target| {
        register(store, target, "ready", 2);
        store.remove("servers", &target.id);
    })
    .await;
}

/// Its last status is the one in the copy.
#[tokio::test]
async fn a_target_that_was_removed_unannounced_in_the_lost_part_is_not_used_again() {
    check_lost_leave(|store, target| store.remove("servers", &target.id)).await;
}

/// Starts a store without targets in its copy, and a host that uses one that joined since.
async fn joined_since() -> (store::Store, store::Contents, host::Host, target::Target) {
    let (store, _targets) = deployment(&[]).await;
    let copy = store.copy();
    let host = host::Host::start(&store).await;
    let joined = target::Target::start("i-1").await;
    register(&store, &joined, "ready", 1);
    wait_for_use(&host, &joined).await;
    (store, copy, host, joined)
}

#[tokio::test]
async fn a_target_that_joined_in_the_lost_part_is_used_until_it_could_register_again() {
    let (store, copy, host, joined) = joined_since().await;
    bring_back(&store, &copy).await;
    let returned = time::Instant::now();
    let statuses = send_requests(&host, KEEP_TIME).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let until = returned + REGISTER_TIME + DRAIN_TIME;
    check_unused(&host, &joined, until, REGISTER_TIME + DRAIN_TIME * 2).await;
    register(&store, &joined, "ready", 2);
    wait_for_use(&host, &joined).await;
}

#[tokio::test]
async fn a_target_that_registers_again_in_time_is_used_all_the_while() {
    let (store, copy, host, joined) = joined_since().await;
    bring_back(&store, &copy).await;
    let mut statuses = send_requests(&host, KEEP_TIME).await;
    register(&store, &joined, "ready", 2);
    statuses.extend(send_requests(&host, REGISTER_TIME + DRAIN_TIME).await);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Starts a store with a target in each of two zones, and a host in the first.
async fn two_zones() -> (store::Store, host::Host, target::Target) {
    let (store, near) = deployment(&["i-1"]).await;
    let far = target::Target::start("i-2").await;
    register_in(&store, &far, "ready", 1, "b1");
    let host = host::Host::start(&store).await;
    let [near] = near.try_into().expect("one target");
    wait_for_use(&host, &near).await;
    (store, host, near)
}

#[tokio::test]
async fn an_evacuation_ordered_in_the_lost_part_holds_and_its_lift_is_followed() {
    let (store, host, near) = two_zones().await;
    let copy = store.copy();
    store.put("op", "evacuate/a1", "");
    wait_for_changes(&store, &[&host]).await;
    tokio::time::sleep(EVACUATE_TIME).await;
    let evacuated = time::Instant::now();
    bring_back(&store, &copy).await;
    check_unused(&host, &near, evacuated, REWRITE_TIME).await;
    store.put("op", "evacuate/a1", "");
    check_unused(&host, &near, evacuated, EVACUATE_TIME).await;
    store.remove("op", "evacuate/a1");
    wait_for_use(&host, &near).await;
}

#[tokio::test]
async fn an_evacuation_after_the_return_is_followed_and_lifted() {
    let (store, host, near) = two_zones().await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
    }
    wait_for_version(&host, 12, in_time()).await;
    bring_back(&store, &copy).await;
    store.put("op", "evacuate/a1", "");
    let until = time::Instant::now() + EVACUATE_TIME;
    check_unused(&host, &near, until, EVACUATE_TIME * 2).await;
    store.remove("op", "evacuate/a1");
    wait_for_use(&host, &near).await;
}

#[tokio::test]
async fn an_evacuation_of_the_copy_is_lifted_after_the_return() {
    let (store, host, near) = two_zones().await;
    store.put("op", "evacuate/a1", "");
    wait_for_changes(&store, &[&host]).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
    }
    wait_for_version(&host, 12, in_time()).await;
    bring_back(&store, &copy).await;
    store.remove("op", "evacuate/a1");
    wait_for_use(&host, &near).await;
}

/// Starts hosts, and waits until they know each other and one of each zone reads the store.
async fn start_hosts(places: &[host::Place<'_>]) -> Vec<host::Host> {
    let hosts: Vec<host::Host> = places.iter().copied().map(host::Host::start_at).collect();
    for (host, own) in hosts.iter().zip(places) {
        for other in places.iter().filter(|other| other.name != own.name) {
            let field = format!("host={} ", other.name);
            host.wait_for_log(&["host changed", &field, "phase=ready"])
                .await;
        }
    }
    let readers = || hosts.iter().filter(|host| is_reader(host)).count();
    let zones: collections::BTreeSet<&str> = places.iter().map(|place| place.zone).collect();
    common::eventually("one host of each zone reads the store", || async {
        readers() == zones.len()
    })
    .await;
    hosts
}

/// Returns whether a host reads the store, by its log.
fn is_reader(host: &host::Host) -> bool {
    let log = host.log();
    let last = log.lines().rfind(|line| line.contains("follows="));
    last.is_none_or(|line| line.contains("follows=true"))
}

/// Waits until a version is in force at all hosts, which must be so for requests from `due` on.
async fn wait_for_all(hosts: &[host::Host], version: u64, due: time::Instant) {
    let waits = hosts
        .iter()
        .map(|host| wait_for_version(host, version, due));
    futures::future::join_all(waits).await;
}

/// Checks for a time that a version is in force at all hosts.
async fn check_all(hosts: &[host::Host], version: u64, duration: time::Duration) {
    let checks = hosts
        .iter()
        .map(|host| check_version(host, version, duration));
    futures::future::join_all(checks).await;
}

#[tokio::test]
async fn hosts_that_leave_the_store_to_another_get_changes_after_the_return() {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let places = ["front-a1-1", "front-a1-2"].map(|name| host::Place::new(&store, name));
    let hosts = start_hosts(&places).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
        register(&store, &targets[0], "ready", 2);
    }
    wait_for_all(&hosts, 12, in_time()).await;
    bring_back(&store, &copy).await;
    check_all(&hosts, 12, REWRITE_TIME).await;
    register(&store, &targets[0], "draining", 3);
    store.put("op", "config", &configuration(13));
    let changed = time::Instant::now();
    wait_for_all(&hosts, 13, changed + APPLY_TIME).await;
    check_all(&hosts, 13, DRAIN_TIME * 2).await;
    assert!(last_run(&targets[0]) < Some(changed + DRAIN_TIME));
}

/// The host that reads the store no more tells the others of its higher versions.
#[tokio::test]
async fn a_host_cut_off_through_the_return_holds_no_other_back() {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let path = proxy::Proxy::start(store.address).await;
    let place = |name, zone, region, store| host::Place {
        name,
        zone,
        region,
        store,
    };
    let places = [
        place("front-a1-1", "a1", "a", store.address),
        place("front-a1-2", "a1", "a", store.address),
        place("front-b1-1", "b1", "b", store.address),
        place("front-b1-2", "b1", "b", path.address),
    ];
    let mut hosts = start_hosts(&places).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
        register(&store, &targets[0], "ready", 2);
    }
    wait_for_all(&hosts, 12, in_time()).await;
    path.set(proxy::Mode::Reset);
    bring_back(&store, &copy).await;
    check_all(&hosts, 12, REWRITE_TIME).await;
    let cut = hosts.pop().expect("a host");
    register(&store, &targets[0], "draining", 3);
    store.put("op", "config", &configuration(13));
    let changed = time::Instant::now();
    wait_for_all(&hosts, 13, changed + APPLY_TIME).await;
    check_all(&hosts, 13, DRAIN_TIME * 2).await;
    assert!(last_run(&targets[0]) < Some(changed + DRAIN_TIME));
    path.set(proxy::Mode::Forward);
    let connected = time::Instant::now();
    wait_for_version(&cut, 13, connected + CONTACT_TIME).await;
    check_all(&hosts, 13, APPLY_TIME).await;
}

#[tokio::test]
async fn a_zone_whose_reader_is_killed_at_the_return_gets_changes() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let places = ["front-a1-1", "front-a1-2"].map(|name| host::Place::new(&store, name));
    let mut hosts = start_hosts(&places).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
    }
    wait_for_all(&hosts, 12, in_time()).await;
    let reader = hosts.iter().position(is_reader).expect("a reader");
    bring_back(&store, &copy).await;
    hosts.remove(reader);
    check_all(&hosts, 12, REWRITE_TIME).await;
    store.put("op", "config", &configuration(13));
    wait_for_all(&hosts, 13, in_time()).await;
    check_all(&hosts, 13, APPLY_TIME).await;
}

#[tokio::test]
async fn a_host_suspended_through_the_return_gets_changes() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
    }
    wait_for_version(&host, 12, in_time()).await;
    host.signal("-STOP");
    bring_back(&store, &copy).await;
    tokio::time::sleep(REWRITE_TIME).await;
    store.put("op", "config", &configuration(13));
    tokio::time::sleep(APPLY_TIME).await;
    host.signal("-CONT");
    let woken = time::Instant::now();
    wait_for_version(&host, 13, woken + CONTACT_TIME).await;
    check_version(&host, 13, APPLY_TIME).await;
}

/// Brings the store back and writes so much that its version is past the lost one.
///
/// The operator's change and the leaving target's have the versions of lost rows.
fn overtake(store: &store::Store, copy: &store::Contents, leaving: &target::Target) {
    store.restore(copy);
    store.put("op", "config", &configuration(13));
    register(store, leaving, "draining", 3);
}

/// Writes rows of both tables.
fn write_more(store: &store::Store) {
    for n in 0..10 {
        store.put("op", &format!("note-{n}"), "");
        store.put("servers", &format!("i-note-{n}"), "{}");
    }
}

/// Starts a store whose copy lacks a configuration and a status of a target that the host has.
async fn behind() -> (
    store::Store,
    store::Contents,
    host::Host,
    [target::Target; 2],
) {
    let (store, targets) = deployment(&["i-1", "i-2"]).await;
    let host = host::Host::start(&store).await;
    let targets = used_first(&host, targets).await;
    let copy = store.copy();
    store.put("op", "config", &configuration(12));
    register(&store, &targets[0], "ready", 2);
    wait_for_version(&host, 12, in_time()).await;
    wait_for_changes(&store, &[&host]).await;
    (store, copy, host, targets)
}

/// Checks that a host follows the changes that [`overtake`] wrote.
async fn check_overtaken(host: &host::Host, leaving: &target::Target, due: time::Instant) {
    wait_for_version(host, 13, due).await;
    check_version(host, 13, APPLY_TIME).await;
    check_unused(host, leaving, due, DRAIN_TIME).await;
}

#[tokio::test]
async fn rows_with_the_versions_of_lost_rows_are_not_taken_for_those() {
    let (store, copy, host, [leaving, _other]) = behind().await;
    overtake(&store, &copy, &leaving);
    write_more(&store);
    check_overtaken(&host, &leaving, in_time()).await;
}

#[tokio::test]
async fn rows_below_the_lost_version_are_not_missed_by_the_next_poll() {
    let (store, copy, host, [leaving, _other]) = behind().await;
    store.put("op", "note", "");
    store.put("servers", "i-note", "{}");
    tokio::time::sleep(BETWEEN_POLLS).await;
    overtake(&store, &copy, &leaving);
    write_more(&store);
    check_overtaken(&host, &leaving, in_time()).await;
}

/// No row is past the lost version, so polls from there wait; the bounds hold from `contactS` on.
#[tokio::test]
async fn rows_below_the_lost_version_are_not_missed_while_the_next_poll_waits() {
    let (store, copy, host, [leaving, _other]) = behind().await;
    store.put("op", "note", "");
    store.put("servers", "i-note", "{}");
    tokio::time::sleep(BETWEEN_POLLS).await;
    overtake(&store, &copy, &leaving);
    for n in 0..20 {
        store.put("spare", &format!("note-{n}"), "");
    }
    let stable = time::Instant::now() + CONTACT_TIME;
    check_overtaken(&host, &leaving, stable).await;
}

#[tokio::test]
async fn a_change_after_two_returns_is_in_force_in_time() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    let copy = store.copy();
    for _n in 0..5 {
        store.put("op", "config", &configuration(12));
    }
    wait_for_version(&host, 12, in_time()).await;
    bring_back(&store, &copy).await;
    check_version(&host, 12, REWRITE_TIME).await;
    for _n in 0..3 {
        store.put("op", "config", &configuration(12));
    }
    check_version(&host, 12, REWRITE_TIME).await;
    bring_back(&store, &copy).await;
    check_version(&host, 12, REWRITE_TIME).await;
    store.put("op", "config", &configuration(13));
    wait_for_version(&host, 13, in_time()).await;
    check_version(&host, 13, APPLY_TIME).await;
}

#[tokio::test]
async fn a_change_after_two_returns_at_once_is_in_force_in_time() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let host = host::Host::start(&store).await;
    let copy = store.copy();
    store.put("op", "config", &configuration(12));
    let later = store.copy();
    store.put("op", "config", &configuration(12));
    wait_for_version(&host, 12, in_time()).await;
    store.restore(&later);
    store.restore(&copy);
    store.put("op", "config", &configuration(13));
    wait_for_version(&host, 13, in_time()).await;
    check_version(&host, 13, APPLY_TIME).await;
}

/// Checks that a host that starts at the return doesn't serve by the copy's configuration.
async fn check_start(zone: &str, region: &str) {
    let (store, _targets) = deployment(&["i-1"]).await;
    let neighbour = host::Host::start_named(&store, "front-a1-1").await;
    wait_for_rows(&store, &["front-a1-1"]).await;
    let copy = store.copy();
    store.put("op", "config", &configuration(12));
    wait_for_version(&neighbour, 12, in_time()).await;
    bring_back(&store, &copy).await;
    let started = host::Host::start_at(host::Place {
        name: "front-new",
        zone,
        region,
        store: store.address,
    });
    common::eventually("the process listens", || async {
        tokio::net::TcpStream::connect(started.callers)
            .await
            .is_ok()
    })
    .await;
    let began = time::Instant::now();
    while began.elapsed() < REGISTER_TIME {
        let found = statuses(&started, 12).await;
        let pairs = found.iter().zip(IN_FORCE);
        let is_allowed = pairs
            .into_iter()
            .all(|(found, own)| [own, 503].contains(found));
        assert!(
            is_allowed,
            "{found:?} {:?} after the start",
            began.elapsed()
        );
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    store.put("op", "config", &configuration(12));
    wait_for_version(&started, 12, in_time()).await;
    check_version(&started, 12, APPLY_TIME).await;
    check_version(&neighbour, 12, PROBE_INTERVAL).await;
}

#[tokio::test]
async fn a_host_that_starts_at_the_return_serves_nothing_older_than_its_neighbour() {
    check_start("a1", "a").await;
}

#[tokio::test]
async fn a_host_that_starts_at_the_return_serves_nothing_older_than_another_zone() {
    check_start("b1", "b").await;
}

/// Waits until the store has the rows of these hosts.
async fn wait_for_rows(store: &store::Store, names: &[&str]) {
    common::eventually("the hosts' rows are written", || async {
        store.keys("hosts") == names
    })
    .await;
}

#[tokio::test]
async fn hosts_whose_rows_are_lost_are_found_by_a_later_one() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let copy = store.copy();
    let first = host::Host::start_named(&store, "front-a1-1").await;
    wait_for_rows(&store, &["front-a1-1"]).await;
    bring_back(&store, &copy).await;
    assert!(store.keys("hosts").is_empty());
    wait_for_rows(&store, &["front-a1-1"]).await;
    let second = host::Host::start_named(&store, "front-a1-2").await;
    first
        .wait_for_log(&["host changed", "host=front-a1-2"])
        .await;
    second
        .wait_for_log(&["host changed", "host=front-a1-1"])
        .await;
}

#[tokio::test]
async fn hosts_whose_rows_are_lost_find_one_that_starts_before_they_write_them() {
    let (store, _targets) = deployment(&["i-1"]).await;
    let copy = store.copy();
    let first = host::Host::start_named(&store, "front-a1-1").await;
    wait_for_rows(&store, &["front-a1-1"]).await;
    bring_back(&store, &copy).await;
    let second = host::Host::start_named(&store, "front-a1-2").await;
    first
        .wait_for_log(&["host changed", "host=front-a1-2"])
        .await;
    second
        .wait_for_log(&["host changed", "host=front-a1-1"])
        .await;
}
