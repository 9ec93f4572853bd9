//! Summaries and views sent by relays, and replication of tables between hosts.

use std::collections;

use skylark_core::traffic;

use super::common;

const ACCOUNT: u32 = 7;

fn report(host: &str, zone: &str, demand: f32) -> traffic::Report {
    let mut report = common::report(host, zone, 1);
    report.demand.accounts = vec![(ACCOUNT, demand)];
    report.demand.loads = Some(vec![(1, 2)]);
    report
}

fn total(fleet: &traffic::Fleet, own: &str, now: u64) -> f32 {
    let own = common::zone(own);
    let topology = common::topology();
    let max_age = traffic::Fleet::LIVENESS_TIMEOUT;
    let all = fleet.remote_demand(&own, &topology, max_age, common::at(now));
    all.iter()
        .flat_map(|remote| &remote.demand.accounts)
        .map(|(_account, demand)| demand)
        .sum()
}

/// Load pattern: a fleet of many hosts, whose zones exchange summaries only.
#[test]
fn demand_counts_once_whether_reported_by_hosts_or_by_relays() {
    let mut relay = traffic::Fleet::default();
    relay.apply_report(report("b-1", "b1", 10.0), common::at(0));
    let own = report("b-2", "b1", 5.0);
    let summary = relay.summarize(&own, traffic::Scope::Full, true, common::at(100));
    assert_eq!(summary.demand.accounts, [(ACCOUNT, 15.0)]);
    assert_eq!(summary.demand.loads, Some(vec![(1, 4)]));
    assert_eq!(summary.members.len(), 2);

    let mut fleet = traffic::Fleet::default();
    fleet.apply_report(report("a-1", "a1", 3.0), common::at(100));
    fleet.apply_report(report("b-1", "b1", 10.0), common::at(100));
    fleet.apply_summary(summary, common::at(200));
    assert!((total(&fleet, "a1", 300) - 18.0).abs() < 1e-6);
    // The direct reports are newer than the relay's summary, which is too old to be used.
    fleet.apply_report(report("b-1", "b1", 11.0), common::at(900));
    assert!((total(&fleet, "a1", 1_000) - 14.0).abs() < 1e-6);
}

/// Load pattern: a zone's hosts are known through relays, and one of them fails.
#[test]
fn a_relayed_host_times_out_from_when_its_relay_heard_it() {
    let mut relay = traffic::Fleet::default();
    relay.apply_report(report("b-1", "b1", 1.0), common::at(0));
    let mut fleet = traffic::Fleet::default();
    for now in (100..4_000).step_by(500) {
        let own = report("b-2", "b1", 1.0);
        let summary = relay.summarize(&own, traffic::Scope::Full, true, common::at(now));
        fleet.apply_summary(summary, common::at(now));
    }
    let live = |now| -> Vec<String> {
        let members = fleet.live(common::at(now));
        members.map(|member| member.host.to_string()).collect()
    };
    assert_eq!(live(4_000), ["b-2"]);
    assert!(live(6_700).is_empty());
}

/// Load pattern: the first relay of a zone fails.
#[test]
fn two_hosts_of_each_zone_are_relays_on_every_host() {
    let mut fleet = traffic::Fleet::default();
    for host in ["b-1", "b-2", "b-3", "b-4"] {
        fleet.apply_report(report(host, "b1", 1.0), common::at(0));
    }
    let names = |fleet: &traffic::Fleet, now| -> Vec<String> {
        let relays = fleet.remote_relays(&common::zone("a1"), common::at(now));
        let names = relays
            .iter()
            .map(|(_position, relay)| relay.host.to_string());
        names.collect()
    };
    let first = names(&fleet, 100);
    assert_eq!(first.len(), traffic::Fleet::RELAYS_PER_ZONE);
    for host in ["b-1", "b-2", "b-3", "b-4"] {
        if host != first[0] {
            fleet.apply_report(report(host, "b1", 1.0), common::at(1_700));
        }
    }
    let later = names(&fleet, 1_800);
    assert_eq!(later[0], first[1]);
    let member = report(&later[0], "b1", 1.0).member;
    let zone = common::zone("b1");
    assert_eq!(
        fleet.zone_position(&zone, &member.host, common::at(1_800)),
        0
    );
}

/// Load pattern: summaries to other regions are the most expensive ones.
#[test]
fn summaries_to_other_regions_are_less_frequent() {
    let sent = |from, to, is_same_region| {
        let rounds = (0..32).map(traffic::Round);
        rounds
            .filter(|round| round.is_due(from, to, is_same_region))
            .count()
    };
    assert_eq!([sent(0, 0, true), sent(0, 0, false)], [32, 16]);
    assert_eq!([sent(1, 0, true), sent(1, 0, false)], [8, 4]);
    assert_eq!([sent(0, 1, true), sent(0, 1, false)], [8, 4]);
    assert_eq!([sent(1, 1, true), sent(1, 1, false)], [2, 1]);
    assert_eq!([sent(2, 0, true), sent(2, 1, true)], [0, 0]);
}

/// Load pattern: a whole fleet starts, and relays of other regions miss the first messages.
#[test]
fn relays_of_other_regions_learn_of_every_host_in_turn() {
    let mut relay = traffic::Fleet::default();
    let own = report("b-0", "b1", 1.0);
    let mut described = collections::BTreeSet::new();
    for round in 0..64 {
        let now = 250 * u64::from(round);
        for n in 1..=40 {
            relay.apply_report(report(&format!("b-{n}"), "b1", 1.0), common::at(now));
        }
        let schedule = traffic::Round(round);
        // By now no host is described only because it changed recently.
        if round >= 12 && schedule.is_due(0, 1, false) {
            let message = relay.summarize(
                &own,
                schedule.cross_region_scope(),
                false,
                common::at(now + 50),
            );
            described.extend(
                message
                    .members
                    .into_iter()
                    .map(|(member, _age)| member.host),
            );
        }
    }
    assert_eq!(described.len(), 41);
}

/// Load pattern: a host leaves, which other zones must learn from the next summary.
#[test]
fn a_summary_describes_changes_at_once_and_other_hosts_in_turn() {
    let mut relay = traffic::Fleet::default();
    let own = report("b-0", "b1", 1.0);
    let mut described = 0;
    for round in 0..24 {
        let now = 2_000 + 250 * u64::from(round);
        for n in 1..=40 {
            let mut peer = report(&format!("b-{n}"), "b1", 1.0);
            if n == 7 && round >= 8 {
                peer.member.phase = traffic::Phase::Leaving;
            }
            relay.apply_report(peer, common::at(now));
        }
        let message = relay.summarize(
            &own,
            traffic::Round(round).same_region_scope(),
            true,
            common::at(now + 50),
        );
        assert_eq!(message.demand.accounts, [(ACCOUNT, 41.0)]);
        if round == 8 {
            let mut members = message.members.iter();
            assert!(members.any(|(m, _age)| m.phase == traffic::Phase::Leaving));
        }
        if round >= 18 {
            assert!(message.members.len() < 20, "{}", message.members.len());
            described += message.members.len() - 1;
        }
        let lists_ages = !message.ages.is_empty();
        assert_eq!(lists_ages, round % 4 == 0);
    }
    assert!(described > 6, "{described}");
}

fn identity(host: &str, zone: &str) -> traffic::Identity {
    let zone = common::zone(zone);
    let region = common::topology().region(&zone).cloned();
    traffic::Identity {
        host: common::report(host, "a1", 1).member.host,
        region: region.expect("region"),
        zone,
    }
}

/// Load pattern: a host starts that precedes the zone's reader, and compares configurations first.
#[test]
fn a_starting_host_does_not_take_the_place_of_the_zones_reader() {
    let hosts = ["a-1", "a-2", "a-3"];
    for starting in hosts {
        let mut fleet = traffic::Fleet::default();
        for host in hosts {
            let mut report = report(host, "a1", 1.0);
            if host == starting {
                report.member.phase = traffic::Phase::Starting;
            }
            fleet.apply_report(report, common::at(0));
        }
        let reads = |host: &str, phase| {
            !fleet.has_store_reader(&identity(host, "a1"), phase, common::at(100))
        };
        let others = hosts.iter().filter(|host| **host != starting);
        let readers = others.filter(|host| reads(host, traffic::Phase::Ready));
        assert_eq!(readers.count(), 1, "{starting} starts");
    }
}

/// Load pattern: the host of a zone that reads the store loses access to it.
#[test]
fn the_next_host_of_a_zone_reads_the_store_when_the_first_cannot() {
    let mut fleet = traffic::Fleet::default();
    let hosts = ["a-1", "a-2", "a-3"];
    let readers = |fleet: &traffic::Fleet| -> Vec<&str> {
        let mut readers = hosts.to_vec();
        readers.retain(|host| {
            let own = identity(host, "a1");
            !fleet.has_store_reader(&own, traffic::Phase::Ready, common::at(100))
        });
        readers
    };
    for host in hosts {
        fleet.apply_report(report(host, "a1", 1.0), common::at(0));
    }
    let first = readers(&fleet);
    assert_eq!(first.len(), 1);
    let mut lost = report(first[0], "a1", 1.0);
    lost.member.store_access = traffic::StoreAccess::Unavailable;
    fleet.apply_report(lost, common::at(50));
    let both = readers(&fleet);
    assert_eq!(both.len(), 2);
    assert!(both.contains(&first[0]));
}

/// Load pattern: many hosts get each change from one host that reads the store.
#[test]
fn a_replica_that_gets_changes_equals_its_source() {
    arbtest::arbtest(|u| {
        let mut source = traffic::Replica::default();
        let mut follower = traffic::Replica::default();
        let mut version = 0;
        for _step in 0..u.int_in_range(1..=40)? {
            version += u.int_in_range(1..=3_u64)?;
            let key = ["x", "y", "z"][u.choose_index(3)?];
            let value = u.arbitrary::<bool>()?.then_some("v");
            if source.version().is_zero() || u.ratio(1, 5)? {
                let rows = value
                    .map(|_v| common::row(key, version, value))
                    .into_iter()
                    .collect();
                source.apply_snapshot(rows, version.into());
            } else {
                source.apply_changes(vec![common::row(key, version, value)], version.into());
            }
            if u.arbitrary()? {
                match source.changes_since(follower.version()) {
                    traffic::Changes::Delta(rows) => follower.apply_changes(rows, source.version()),
                    traffic::Changes::Snapshot(rows) => {
                        follower.apply_snapshot(rows, source.version())
                    }
                };
                assert!(source.rows().eq(follower.rows()));
                assert!(source.newest_change() <= follower.version());
            }
        }
        Ok(())
    });
}

#[test]
fn a_replica_that_forgot_removals_returns_a_snapshot() {
    let mut source = traffic::Replica::default();
    source.apply_snapshot(vec![common::row("kept", 1, Some("v"))], 1.into());
    for n in 0..2_000 {
        let removed = common::row(&format!("k{n}"), 2 + n, None);
        source.apply_changes(vec![removed], (2 + n).into());
    }
    assert!(
        matches!(source.changes_since(1.into()), traffic::Changes::Snapshot(rows) if rows.len() == 1)
    );
    assert!(
        matches!(source.changes_since(1_999.into()), traffic::Changes::Delta(rows) if rows.len() == 2)
    );
}

/// Returns a relay of zone `a1` with `peers` other hosts and the summaries of two zones.
fn relay(peers: usize, now: u64) -> (traffic::Fleet, traffic::Report) {
    let mut fleet = traffic::Fleet::default();
    for n in 0..peers {
        fleet.apply_report(report(&format!("a-{n}"), "a1", 2.0), common::at(now));
    }
    for (zone, host) in [("a2", "e-1"), ("b1", "b-1")] {
        let other = traffic::Fleet::default();
        let own = report(host, zone, 10.0);
        let summary = other.summarize(&own, traffic::Scope::Full, true, common::at(now));
        fleet.apply_summary(summary, common::at(now));
    }
    let own = report("a-relay", "a1", 5.0);
    fleet.set_own_report(&own);
    (fleet, own)
}

fn view(
    fleet: &traffic::Fleet,
    own: &traffic::Report,
    scope: traffic::Scope,
    now: u64,
) -> traffic::FleetView {
    fleet.view(own, &common::topology(), scope, true, common::at(now))
}

/// Load pattern: a zone of many hosts, each of which reports to its relays only.
#[test]
fn a_view_gives_each_host_the_demand_of_all_others_once() {
    let (relay, own) = relay(30, 0);
    let message = view(&relay, &own, traffic::Scope::Full, 100);
    assert_eq!(message.members.len(), 33);
    let own = report("a-3", "a1", 2.0);
    let mut fleet = traffic::Fleet::new(own.member.host.clone());
    fleet.set_own_report(&own);
    // A direct report of a host in the same zone is already part of the view's sum.
    fleet.apply_report(report("a-7", "a1", 2.0), common::at(100));
    fleet.apply_view(message, common::at(150));
    assert!((total(&fleet, "a1", 200) - (29.0 * 2.0 + 5.0 + 20.0)).abs() < 1e-4);
    assert_eq!(fleet.host_count(common::at(200)), 32);
    let topology = common::topology();
    let max_age = traffic::Fleet::LIVENESS_TIMEOUT;
    let zone = common::zone("a1");
    let region_demand: f32 = fleet
        .remote_demand(&zone, &topology, max_age, common::at(200))
        .iter()
        .filter(|remote| remote.region == topology.region(&zone))
        .flat_map(|remote| &remote.demand.accounts)
        .map(|(_account, demand)| demand)
        .sum();
    assert!((region_demand - (29.0 * 2.0 + 5.0 + 10.0)).abs() < 1e-4);
}

/// Load pattern: hosts of a small zone report to each other directly, which is newer than a view.
#[test]
fn a_view_of_a_small_zone_excludes_the_demand_of_its_hosts() {
    let (relay, own) = relay(3, 0);
    let message = view(&relay, &own, traffic::Scope::Full, 100);
    assert_eq!(message.zone_demand, None);
    let mut fleet = traffic::Fleet::default();
    fleet.apply_report(report("a-1", "a1", 3.0), common::at(100));
    fleet.apply_view(message, common::at(150));
    assert!((total(&fleet, "a1", 200) - 23.0).abs() < 1e-4);
}

/// Load pattern: a fleet of hundreds, in which few hosts change at a time.
#[test]
fn views_describe_changes_at_once_and_other_hosts_in_turn() {
    let (mut relay, own) = relay(180, 0);
    let mut described = collections::BTreeSet::new();
    for round in 0..40 {
        let now = 2_000 + 100 * u64::from(round);
        for n in 0..180 {
            relay.apply_report(report(&format!("a-{n}"), "a1", 2.0), common::at(now));
        }
        let mut leaving = report("a-5", "a1", 2.0);
        leaving.member.phase = traffic::Phase::Leaving;
        relay.apply_report(leaving, common::at(now));
        let message = view(
            &relay,
            &own,
            traffic::Round(round).same_region_scope(),
            now + 50,
        );
        assert!(
            message
                .members
                .iter()
                .any(|(member, _age)| member.host.as_str() == "a-5")
        );
        if round >= 23 {
            assert!(message.members.len() < 40, "{}", message.members.len());
        }
        described.extend(
            message
                .members
                .into_iter()
                .map(|(member, _age)| member.host),
        );
    }
    assert_eq!(described.len(), 183);
}

/// Load pattern: a host of a large zone fails, and views describe the others by ages only.
#[test]
fn hosts_with_a_recent_age_in_a_view_stay_live_and_silent_ones_time_out() {
    let (relay, own) = relay(20, 0);
    let mut fleet = traffic::Fleet::default();
    fleet.apply_view(view(&relay, &own, traffic::Scope::Full, 50), common::at(50));
    let mut later = traffic::Fleet::default();
    for n in 1..20 {
        later.apply_report(report(&format!("a-{n}"), "a1", 2.0), common::at(2_500));
    }
    let mut message = view(&later, &own, traffic::Round(0).same_region_scope(), 2_550);
    message
        .members
        .retain(|(member, _age)| member.host == own.member.host);
    fleet.apply_view(message, common::at(2_550));
    let live = fleet.live(common::at(4_000));
    let live: Vec<&str> = live.map(|member| member.host.as_str()).collect();
    assert_eq!(live.len(), 20, "{live:?}");
    assert!(!live.contains(&"a-0"));
}

/// Load pattern: the relay that sends views to a zone fails.
#[test]
fn the_second_relay_sends_views_while_the_first_is_silent() {
    let hosts = ["a-0", "a-1", "a-2", "a-3"];
    let zone = common::zone("a1");
    let publishers = |fleets: &[traffic::Fleet], now| -> Vec<usize> {
        let is_publisher = |n: &usize| {
            let own = report(hosts[*n], "a1", 1.0).member.host;
            fleets[*n].is_view_publisher(&zone, &own, common::at(now))
        };
        (0..hosts.len()).filter(is_publisher).collect()
    };
    let mut fleets: Vec<traffic::Fleet> = Vec::new();
    for own in hosts {
        let mut fleet = traffic::Fleet::new(report(own, "a1", 1.0).member.host);
        for other in hosts.iter().filter(|other| **other != own) {
            fleet.apply_report(report(other, "a1", 1.0), common::at(0));
        }
        fleets.push(fleet);
    }
    // Before the first view both relays send views.
    assert_eq!(publishers(&fleets, 50).len(), 2);
    let first = (0..hosts.len())
        .find(|n| {
            let own = report(hosts[*n], "a1", 1.0).member.host;
            fleets[*n].zone_position(&zone, &own, common::at(50)) == 0
        })
        .expect("a first relay");
    let own = report(hosts[first], "a1", 1.0);
    let message = view(
        &fleets[first],
        &own,
        traffic::Round(1).same_region_scope(),
        100,
    );
    for (n, fleet) in fleets.iter_mut().enumerate() {
        if n != first {
            fleet.apply_view(message.clone(), common::at(100));
        }
    }
    assert_eq!(publishers(&fleets, 500), [first]);
    assert_eq!(publishers(&fleets, 950).len(), 2);
    let needs_view: Vec<bool> = (0..hosts.len())
        .map(|n| {
            let own = report(hosts[n], "a1", 1.0).member.host;
            fleets[n].is_view_needed(&zone, &own, common::at(950))
        })
        .collect();
    assert_eq!(needs_view.iter().filter(|needs| **needs).count(), 3);
    assert!(!needs_view[first]);
}

/// Load pattern: demand of an account begins in all regions at once, and the shares must follow.
#[test]
fn every_view_has_the_demand_of_other_regions_and_their_last_loads_stay() {
    let (relay, own) = relay(3, 0);
    let message = |round| {
        let schedule = traffic::Round(round);
        let (topology, scope) = (common::topology(), schedule.same_region_scope());
        let has_loads = schedule.has_cross_region_loads();
        relay.view(&own, &topology, scope, has_loads, common::at(1_000))
    };
    let mut fleet = traffic::Fleet::default();
    for (round, now) in [(4, 1_000), (5, 1_250), (6, 1_500), (7, 1_750), (8, 2_000)] {
        let view = message(round);
        let other_region = view
            .region_demand
            .iter()
            .find(|(region, _d)| region.as_str() == "b");
        let (_region, demand) = other_region.expect("the other region");
        assert_eq!(demand.accounts, [(ACCOUNT, 10.0)]);
        assert_eq!(demand.loads.is_some(), round % 4 == 0);
        fleet.apply_view(view, common::at(now));
        let (zone, topology) = (common::zone("a1"), common::topology());
        let max_age = traffic::Fleet::LIVENESS_TIMEOUT;
        let all = fleet.remote_demand(&zone, &topology, max_age, common::at(now + 100));
        let other_region = all
            .iter()
            .find(|remote| remote.region != topology.region(&zone));
        let demand = other_region.expect("the other region").demand;
        assert_eq!(demand.loads, Some(vec![(1, 2)]));
    }
}

/// Load pattern: brief summaries between full ones, as sent to other regions.
#[test]
fn a_brief_summary_keeps_the_previous_loads() {
    let relay = traffic::Fleet::default();
    let own = report("b-1", "b1", 4.0);
    let mut fleet = traffic::Fleet::default();
    for (has_loads, now) in [(true, 0), (false, 500)] {
        let summary = relay.summarize(&own, traffic::Scope::Full, has_loads, common::at(now));
        assert_eq!(summary.demand.loads.is_some(), has_loads);
        fleet.apply_summary(summary, common::at(now));
        let (zone, topology) = (common::zone("a1"), common::topology());
        let max_age = traffic::Fleet::LIVENESS_TIMEOUT;
        let all = fleet.remote_demand(&zone, &topology, max_age, common::at(now + 100));
        assert_eq!(all[0].demand.loads, Some(vec![(1, 2)]));
    }
}

/// Load pattern: a zone of dozens of hosts, whose first relay has a link of low bandwidth.
#[test]
fn a_view_reaches_every_host_of_a_large_zone_once_without_a_host_that_sends_many() {
    const HOSTS: usize = 50;
    let zone = common::zone("a1");
    let names: Vec<String> = (0..HOSTS).map(|n| format!("a-{n}")).collect();
    let mut fleets = Vec::new();
    for own in &names {
        let mut fleet = traffic::Fleet::new(report(own, "a1", 1.0).member.host);
        for other in names.iter().filter(|other| *other != own) {
            fleet.apply_report(report(other, "a1", 1.0), common::at(0));
        }
        fleets.push(fleet);
    }
    let host = |n: usize| report(&names[n], "a1", 1.0).member.host;
    let position = |n: usize| fleets[n].zone_position(&zone, &host(n), common::at(10));
    let first = (0..HOSTS)
        .find(|n| position(*n) == 0)
        .expect("a first relay");
    let message = view(
        &fleets[first],
        &report(&names[first], "a1", 1.0),
        traffic::Scope::Full,
        10,
    );
    for n in (0..HOSTS).filter(|n| *n != first) {
        fleets[n].apply_view(message.clone(), common::at(10));
    }
    let recipients = |n: usize| -> Vec<String> {
        let hosts = fleets[n].view_recipients(&zone, &host(n), common::at(20));
        hosts.iter().map(|member| member.host.to_string()).collect()
    };
    let all: Vec<Vec<String>> = (0..HOSTS).map(recipients).collect();
    assert!(all.iter().all(|hosts| hosts.len() <= 8), "{all:?}");
    let mut reached = all[first].clone();
    for n in (0..HOSTS).filter(|n| *n != first) {
        let gets_from_first = all[first].contains(&names[n]);
        assert!(gets_from_first || all[n].is_empty());
        reached.extend(all[n].iter().cloned());
    }
    reached.sort();
    let mut others: Vec<String> = names
        .iter()
        .filter(|n| **n != names[first])
        .cloned()
        .collect();
    others.sort();
    assert_eq!(reached, others);
}
