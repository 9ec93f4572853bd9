//! The state of a host: replicas, rules, registered targets and live hosts.

use std::collections;
use std::time;

use skylark_core::name;
use skylark_core::secret;
use skylark_core::traffic;

use super::common;

#[test]
fn a_replica_never_returns_to_an_older_version() {
    let mut replica = traffic::Replica::default();
    assert_eq!(
        replica
            .apply_snapshot(vec![common::row("a", 5, Some("new"))], 7.into())
            .len(),
        1
    );
    assert!(
        replica
            .apply_snapshot(vec![common::row("a", 3, Some("old"))], 6.into())
            .is_empty()
    );
    assert!(
        replica
            .apply_changes(vec![common::row("a", 5, Some("new"))], 7.into())
            .is_empty()
    );
    assert!(
        replica
            .apply_changes(vec![common::row("a", 4, None)], 7.into())
            .is_empty()
    );
    assert_eq!(replica.rows().count(), 1);
    assert_eq!(
        replica
            .apply_changes(vec![common::row("a", 9, None)], 9.into())
            .len(),
        1
    );
    assert_eq!(replica.version(), 9.into());
    assert_eq!(replica.rows().count(), 0);
}

#[test]
fn a_snapshot_reports_removed_rows() {
    let mut replica = traffic::Replica::default();
    replica.apply_snapshot(
        vec![
            common::row("a", 1, Some("x")),
            common::row("b", 2, Some("y")),
        ],
        2.into(),
    );
    let changes = replica.apply_snapshot(vec![common::row("b", 2, Some("y"))], 4.into());
    assert_eq!(changes, [common::row("a", 4, None)]);
}

/// Load pattern: the store returns from an older copy, in which versions have other contents.
#[test]
fn a_replica_follows_the_store_back_to_a_lower_version() {
    for copy in [51, 52, 53, 54] {
        let mut replica = traffic::Replica::default();
        replica.apply_snapshot(
            vec![
                common::row("config", 53, Some("before")),
                common::row("lost", 53, Some("x")),
            ],
            53.into(),
        );
        let mut row = common::row("config", copy, Some("after"));
        row.version = traffic::Position::new(1, copy);
        let version = row.version;
        let changes = replica.apply_snapshot(vec![row.clone()], version);
        assert!(changes.contains(&row), "copy at {copy}: {changes:?}");
        assert_eq!(replica.rows().collect::<Vec<_>>(), [&row]);
        assert_eq!(replica.version(), version);
        assert_eq!(replica.newest_change(), version);
        let late = common::row("config", 60, Some("before"));
        assert!(replica.apply_changes(vec![late], 60.into()).is_empty());
        assert_eq!(replica.version(), version);
    }
}

#[test]
fn a_replica_of_an_earlier_epoch_gets_all_rows() {
    let mut source = traffic::Replica::default();
    source.apply_snapshot(vec![common::row("a", 5, Some("x"))], 5.into());
    let at = |version| traffic::Position::new(1, version);
    let mut row = common::row("a", 0, Some("x"));
    row.version = at(5);
    source.apply_snapshot(vec![row.clone()], at(6));
    let mut follower = traffic::Replica::default();
    // A row that only the follower knew of before the store returned.
    let rows = vec![
        common::row("a", 5, Some("x")),
        common::row("lost", 7, Some("y")),
    ];
    follower.apply_snapshot(rows, 7.into());
    assert_eq!(
        source.changes_since(follower.version()),
        traffic::Changes::Snapshot(vec![row.clone()])
    );
    let changes = follower.apply_snapshot(vec![row], source.version());
    assert!(
        changes
            .iter()
            .any(|change| change.key == "lost" && change.value.is_none())
    );
    assert!(source.rows().eq(follower.rows()));
}

/// Load pattern: a target leaves that only an earlier epoch and another host's copy had.
#[test]
fn a_removal_is_not_missed_between_hosts_that_adopted_the_copy_at_different_versions() {
    let at = |version| traffic::Position::new(1, version);
    let row = |key: &str, version| traffic::Row {
        version: at(version),
        ..common::row(key, 0, Some("x"))
    };
    let mut first = traffic::Replica::default();
    let mut second = traffic::Replica::default();
    for replica in [&mut first, &mut second] {
        replica.apply_snapshot(vec![common::row("left", 40, Some("x"))], 55.into());
        replica.apply_changes(vec![common::row("left", 60, None)], 60.into());
    }
    first.apply_snapshot(vec![row("left", 40), row("kept", 41)], at(50));
    // Removed at 53.
    second.apply_snapshot(vec![row("kept", 41)], at(55));
    match second.changes_since(first.version()) {
        traffic::Changes::Delta(rows) => first.apply_changes(rows, second.version()),
        traffic::Changes::Snapshot(rows) => first.apply_snapshot(rows, second.version()),
    };
    assert!(first.rows().eq(second.rows()));
}

#[test]
fn a_kept_row_is_reported_when_the_table_is_read_again() {
    let mut replica = traffic::Replica::default();
    replica.apply_snapshot(vec![common::row("config", 5, Some("old"))], 6.into());
    replica.keep("config", b"new".to_vec());
    let old = common::row("config", 5, Some("old"));
    assert_eq!(replica.apply_snapshot(vec![old.clone()], 6.into()), [old]);
}

#[test]
fn changes_of_a_newer_epoch_are_not_applied_to_an_earlier_one() {
    let mut replica = traffic::Replica::default();
    replica.apply_snapshot(vec![common::row("lost", 5, Some("x"))], 6.into());
    let mut row = common::row("new", 0, Some("y"));
    row.version = traffic::Position::new(1, 3);
    assert!(
        replica
            .apply_changes(vec![row], traffic::Position::new(1, 3))
            .is_empty()
    );
    assert_eq!(replica.version(), 6.into());
}

/// Hosts of builds without epochs exchange bare versions.
#[test]
fn positions_are_ordered_by_epoch_and_equal_bare_versions_in_the_first() {
    arbtest::arbtest(|u| {
        let max = (1 << 48) - 1;
        let mut draw = || {
            Ok::<_, arbtest::arbitrary::Error>((
                u.int_in_range(0..=65_535)?,
                u.int_in_range(0..=max)?,
            ))
        };
        let ((e, v), (f, w)) = (draw()?, draw()?);
        let (first, second) = (traffic::Position::new(e, v), traffic::Position::new(f, w));
        assert_eq!(first.cmp(&second), (e, v).cmp(&(f, w)));
        assert_eq!((first.epoch(), first.version()), (e, v));
        assert_eq!(traffic::Position::from_number(first.number()), first);
        assert_eq!(traffic::Position::new(0, v).number(), v);
        Ok(())
    });
    let limited = traffic::Position::new(u64::MAX, u64::MAX);
    assert_eq!(limited, traffic::Position::MAX);
}

#[test]
fn rules_never_return_to_an_older_version() {
    let mut dispatcher = common::dispatcher("h1", "a1", &[]);
    assert!(dispatcher.set_rules(
        common::rules(9, &[common::route("stock", 2)]),
        common::at(0)
    ));
    assert!(!dispatcher.set_rules(common::rules(8, &[]), common::at(1)));
    assert!(!dispatcher.set_rules(common::rules(9, &[]), common::at(2)));
    assert_eq!(dispatcher.rules().expect("rules").version, 9);
}

#[test]
fn the_longest_prefix_wins_and_keys_are_required() {
    let mut rules = traffic::Rules::default();
    let mut short_route = common::route("wide", 0);
    short_route.prefix = "/a/".to_owned();
    let mut long_route = common::route("deep", 0);
    long_route.prefix = "/a/b/".to_owned();
    long_route.access = skylark_core::record::Access::Keyed;
    rules.add_route("Shop.Example", short_route);
    rules.add_route("shop.example", long_route);
    let key = secret::Secret::new("k1");
    rules.accounts.push(std::sync::Arc::new(traffic::Account {
        name: name::Account::new("acme").expect("account"),
        keys: vec![key.digest()],
        priority: None,
        limit: None,
        regions: Vec::new(),
    }));
    let matched =
        |host: &str, path: &str, key: Option<&secret::Secret>| match rules.find(host, path, key) {
            traffic::RouteMatch::Route(route, account) => {
                format!(
                    "{} {}",
                    route.name,
                    account.map_or("-".to_owned(), |a| a.name.to_string())
                )
            }
            other => format!("{other:?}"),
        };
    assert_eq!(matched("shop.example:80", "/a/x", None), "wide -");
    assert_eq!(matched("shop.example", "/a/b/x", Some(&key)), "deep acme");
    assert_eq!(matched("shop.example", "/a/b/x", None), "NoKey");
    let revoked = secret::Secret::new("k2");
    assert_eq!(matched("shop.example", "/a/b/x", Some(&revoked)), "NoKey");
    assert_eq!(matched("shop.example", "/c/", None), "NoRoute");
    assert_eq!(matched("other.example", "/a/x", None), "NoRoute");
}

/// Load pattern: the store is unreachable. Entries expire, and most targets register again later.
#[test]
fn entries_that_expired_in_an_outage_are_retained_for_the_registration_time() {
    let mut registry = traffic::Registry::default();
    let target = common::target("t0", "a1", 5);
    assert!(registry.put(target.clone()));
    registry.set_store_reachable(false, common::at(0));
    registry.remove(&target.id, false, common::at(1_000));
    assert_eq!(registry.targets().len(), 1);
    registry.set_store_reachable(true, common::at(2_000));
    assert!(registry.expire(common::at(4_100)).is_empty());
    assert_eq!(registry.expire(common::at(4_300)), [target.id]);
}

/// Load pattern: an isolated host learns of a removal from a host that reads the store.
///
/// Found by hunt day scale-2 --seed 997519255274.
#[test]
fn a_certain_removal_from_another_host_takes_effect_at_once() {
    let mut registry = traffic::Registry::default();
    let target = common::target("t0", "a1", 5);
    registry.put(target.clone());
    registry.set_store_reachable(false, common::at(0));
    registry.remove(&target.id, true, common::at(1_000));
    assert!(registry.targets().is_empty());
}

/// Load pattern: an isolated host learns of a removal from another isolated host.
///
/// Found by hunt day scale-2 --seed 1042705567732.
#[test]
fn a_certain_removal_is_passed_on_between_isolated_hosts() {
    let target = common::target("t0", "a1", 5);
    let hosts = [(); 2].map(|()| {
        let mut registry = traffic::Registry::default();
        registry.put(target.clone());
        registry.set_store_reachable(false, common::at(0));
        registry
    });
    let [mut first, mut second] = hosts;
    first.remove(&target.id, true, common::at(1_000));
    assert!(first.retained().is_empty());
    let is_certain = !first.retained().contains(&target.id);
    second.remove(&target.id, is_certain, common::at(1_500));
    assert!(second.targets().is_empty());
    let mut third = traffic::Registry::default();
    third.put(target.clone());
    third.set_store_reachable(false, common::at(0));
    third.remove(&target.id, false, common::at(1_000));
    assert_eq!(third.retained(), [target.id]);
}

#[test]
fn a_draining_target_is_not_retained() {
    let mut registry = traffic::Registry::default();
    let mut target = common::target("t0", "a1", 5);
    target.state = traffic::TargetState::Draining;
    registry.put(target.clone());
    registry.set_store_reachable(false, common::at(0));
    registry.remove(&target.id, false, common::at(1_000));
    assert!(registry.targets().is_empty());
}

#[test]
fn an_entry_of_an_earlier_run_is_ignored() {
    let mut registry = traffic::Registry::default();
    let mut target = common::target("t0", "a1", 5);
    target.started_millis = Some(2_000);
    assert!(registry.put(target.clone()));
    target.started_millis = Some(1_000);
    target.state = traffic::TargetState::Draining;
    assert!(!registry.put(target));
    assert_eq!(registry.targets()[0].state, traffic::TargetState::Ready);
}

/// Load pattern: targets leave, and the store returns from a copy that lists them as ready.
#[test]
fn a_target_that_left_before_the_store_returned_is_used_only_when_it_registers_again() {
    for leaves_by_draining in [true, false] {
        let mut registry = traffic::Registry::default();
        let copied = common::target("t0", "a1", 5);
        registry.put(copied.clone());
        if leaves_by_draining {
            let mut draining = copied.clone();
            draining.state = traffic::TargetState::Draining;
            draining.sequence = 2;
            assert!(registry.put(draining));
        } else {
            registry.remove(&copied.id, false, common::at(0));
        }
        registry.restore(common::at(1_000));
        let is_ready = |registry: &traffic::Registry| {
            let targets = registry.targets();
            targets
                .iter()
                .any(|target| target.state == traffic::TargetState::Ready)
        };
        assert!(!registry.put(copied.clone()));
        assert!(!is_ready(&registry));
        assert!(registry.accept_outdated(common::at(7_600)).is_empty());
        let mut again = copied.clone();
        again.sequence = 3;
        assert!(registry.put(again));
        assert!(is_ready(&registry));
        assert!(registry.accept_outdated(common::at(7_800)).is_empty());
    }
}

/// A target that only lost its entry, for example, says nothing new of itself.
#[test]
fn a_target_that_stays_listed_after_the_store_returned_is_used_again() {
    let mut registry = traffic::Registry::default();
    let target = common::target("t0", "a1", 5);
    registry.put(target.clone());
    registry.remove(&target.id, false, common::at(0));
    registry.restore(common::at(1_000));
    assert!(!registry.put(target.clone()));
    assert!(registry.accept_outdated(common::at(7_600)).is_empty());
    assert_eq!(registry.accept_outdated(common::at(7_800)), [target.id]);
    assert_eq!(registry.targets().len(), 1);
}

/// Load pattern: the store is away again soon after its return.
#[test]
fn a_target_that_left_is_not_used_again_because_nothing_could_be_read() {
    let mut registry = traffic::Registry::default();
    let target = common::target("t0", "a1", 5);
    registry.put(target.clone());
    registry.remove(&target.id, true, common::at(0));
    registry.restore(common::at(1_000));
    registry.put(target.clone());
    registry.set_store_reachable(false, common::at(2_000));
    assert!(registry.accept_outdated(common::at(9_000)).is_empty());
    registry.set_store_reachable(true, common::at(10_000));
    assert!(registry.accept_outdated(common::at(16_600)).is_empty());
    assert_eq!(registry.accept_outdated(common::at(16_800)), [target.id]);
}

/// Load pattern: a host wakes up late, reads the copy, and a target leaves right then.
#[test]
fn a_target_that_is_removed_after_the_return_is_not_retained() {
    let mut registry = traffic::Registry::default();
    let target = common::target("t0", "a1", 5);
    registry.put(target.clone());
    registry.restore(common::at(0));
    registry.remove(&target.id, false, common::at(100));
    assert!(registry.targets().is_empty());
}

/// Load pattern: two returns; only the second copy lists a target that is alive.
#[test]
fn a_retained_target_that_a_second_copy_lists_again_stays_in_use() {
    let mut registry = traffic::Registry::default();
    let mut target = common::target("t0", "a1", 5);
    target.sequence = 2;
    registry.put(target.clone());
    registry.restore(common::at(0));
    registry.retain_missing(&target.id);
    registry.restore(common::at(1_000));
    target.sequence = 1;
    registry.put(target);
    assert!(registry.retained().is_empty());
    assert!(registry.expire(common::at(4_000)).is_empty());
    assert_eq!(registry.targets().len(), 1);
}

/// Load pattern: targets join, and the store returns from a copy from before.
#[test]
fn a_target_that_joined_before_the_store_returned_is_retained_for_the_registration_time() {
    let mut registry = traffic::Registry::default();
    let target = common::target("t0", "a1", 5);
    registry.put(target.clone());
    registry.restore(common::at(1_000));
    registry.retain_missing(&target.id);
    assert_eq!(registry.retained(), std::slice::from_ref(&target.id));
    assert!(registry.expire(common::at(3_100)).is_empty());
    assert_eq!(registry.expire(common::at(3_300)), [target.id]);
}

/// Load pattern: a zone is emptied, and the store returns from a copy from before the order.
#[test]
fn a_zone_stays_empty_until_an_order_that_the_store_lost_is_written_again() {
    let zones = |names: &[&str]| names.iter().map(|name| common::zone(name)).collect();
    let mut evacuations = traffic::Evacuations::default();
    let readable = traffic::StoreAccess::Available;
    evacuations.set_listed(zones(&["a1"]));
    evacuations.restore(zones(&["b1"]), common::at(0));
    assert_eq!(evacuations.zones(), zones(&["a1", "b1"]));
    // A second return, before the order was written again.
    evacuations.restore(zones(&[]), common::at(1_000));
    assert_eq!(evacuations.zones(), zones(&["a1", "b1"]));
    evacuations.set_listed(zones(&["a1"]));
    assert!(evacuations.expire(readable, common::at(5_900)).is_empty());
    assert_eq!(
        evacuations.expire(readable, common::at(6_100)),
        zones(&["b1"])
    );
    assert_eq!(evacuations.zones(), zones(&["a1"]));
    evacuations.set_listed(zones(&[]));
    assert_eq!(evacuations.zones(), zones(&[]));
}

#[test]
fn an_order_is_kept_while_the_store_cannot_be_read() {
    let zones: collections::BTreeSet<name::Zone> = [common::zone("a1")].into();
    let mut evacuations = traffic::Evacuations::default();
    evacuations.set_listed(zones.clone());
    evacuations.restore(collections::BTreeSet::new(), common::at(0));
    let away = traffic::StoreAccess::Unavailable;
    assert!(evacuations.expire(away, common::at(8_000)).is_empty());
    let readable = traffic::StoreAccess::Available;
    assert!(evacuations.expire(readable, common::at(12_900)).is_empty());
    assert_eq!(evacuations.expire(readable, common::at(13_100)), zones);
}

#[test]
fn a_zone_is_used_again_once_its_evacuation_is_lifted_after_the_return() {
    let zones = |names: &[&str]| names.iter().map(|name| common::zone(name)).collect();
    let mut evacuations = traffic::Evacuations::default();
    evacuations.set_listed(zones(&["a1"]));
    evacuations.restore(zones(&[]), common::at(0));
    evacuations.set_listed(zones(&["a1"]));
    evacuations.set_listed(zones(&[]));
    assert_eq!(evacuations.zones(), zones(&[]));
}

#[test]
fn entries_are_not_held_back_while_the_store_keeps_its_epoch() {
    let mut registry = traffic::Registry::default();
    let target = common::target("t0", "a1", 5);
    registry.put(target.clone());
    registry.remove(&target.id, false, common::at(0));
    assert!(registry.put(target));
}

fn host_count(fleet: &traffic::Fleet, now: u64, zone: &str) -> usize {
    let zone = common::zone(zone);
    let topology = common::topology();
    let region = topology.region(&zone).cloned();
    let live = fleet.live(common::at(now));
    traffic::choose_hosts(live, &topology, Some(&zone), region.as_ref()).len()
}

/// Load pattern: hosts fail one by one, and callers look for others.
#[test]
fn a_lookup_returns_live_hosts_near_the_caller() {
    let mut fleet = traffic::Fleet::default();
    for (host, zone) in [("h1", "a1"), ("h2", "a1"), ("h3", "a2"), ("h4", "b1")] {
        fleet.apply_report(common::report(host, zone, 1), common::at(0));
    }
    assert_eq!(host_count(&fleet, 100, "a1"), 2);
    assert_eq!(host_count(&fleet, 100, "a2"), 3);
    assert_eq!(host_count(&fleet, 100, "c1"), 4);
    fleet.apply_report(common::report("h4", "b1", 1), common::at(1_900));
    assert_eq!(host_count(&fleet, 2_000, "a1"), 1);
    let mut leaving = common::report("h4", "b1", 1);
    leaving.member.phase = traffic::Phase::Leaving;
    fleet.apply_report(leaving, common::at(2_000));
    assert_eq!(host_count(&fleet, 2_100, "a1"), 0);
}

#[test]
fn a_host_that_is_silent_for_long_is_removed() {
    let mut fleet = traffic::Fleet::default();
    let report = common::report("h1", "a1", 1);
    assert_eq!(
        fleet.apply_report(report.clone(), common::at(0)),
        traffic::MemberChange::Joined
    );
    assert_eq!(
        fleet.apply_report(report.clone(), common::at(100)),
        traffic::MemberChange::Same
    );
    let mut other = report.clone();
    other.member.incarnation = 2;
    assert_eq!(
        fleet.apply_report(other, common::at(200)),
        traffic::MemberChange::Changed
    );
    assert!(fleet.expire(common::at(20_000)).is_empty());
    let removed = fleet
        .expire(common::at(200) + traffic::Fleet::FORGET_TIMEOUT + time::Duration::from_millis(1));
    assert_eq!(removed, [report.member.host]);
}

/// Keys must be distributed over targets in proportion to their slots.
#[test]
fn keys_are_distributed_by_slots() {
    let mut counts: collections::BTreeMap<&str, u32> = collections::BTreeMap::new();
    for n in 0..4_000 {
        let key = traffic::HashKey::new("stock", format!("o{n}").as_bytes());
        let scores =
            [("small", 1.0), ("large", 3.0)].map(|(name, weight)| (key.score(name, weight), name));
        let best = scores
            .into_iter()
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .expect("two");
        *counts.entry(best.1).or_default() += 1;
    }
    assert!((2_850..=3_150).contains(&counts["large"]), "{counts:?}");
}

/// Load pattern: a request that crashes targets is retried at hosts of another build.
#[test]
fn fingerprints_are_the_same_in_every_build() {
    let fingerprint =
        |texts: &[&str]| traffic::fingerprint(texts.iter().map(|text| text.as_bytes()));
    assert_eq!(fingerprint(&["GET", "/a"]), fingerprint(&["GET", "/a"]));
    assert_ne!(fingerprint(&["GET", "/a"]), fingerprint(&["GET/", "a"]));
    assert_ne!(fingerprint(&["a", ""]), fingerprint(&["", "a"]));
    assert_eq!(fingerprint(&["GET", "/stock/17", "acme", ""]), FINGERPRINT);
}

/// Fixed value, because hosts of two builds must agree while a release is rolled out.
const FINGERPRINT: u64 = 11_039_994_791_481_483_373;
