//! Sums of zones, passed on by relays, and changes of tables between hosts.

use skylark_core::traffic;

use super::common;

const ACCOUNT: u32 = 7;

fn report(host: &str, zone: &str, demand: f32) -> traffic::Report {
    let mut report = common::report(host, zone, 1);
    report.demand.accounts = vec![(ACCOUNT, demand)];
    report.demand.loads = vec![(1, 2)];
    report
}

fn total(fleet: &traffic::Fleet, own: &str, now: u64) -> f32 {
    let own = common::zone(own);
    let all = fleet.demands(&own, traffic::Fleet::SILENCE, common::at(now));
    all.flat_map(|(_zone, demand)| &demand.accounts)
        .map(|(_account, demand)| demand)
        .sum()
}

/// Load pattern: a fleet of many hosts, whose zones tell each other sums only.
#[test]
fn demand_counts_once_whether_told_by_hosts_or_by_relays() {
    let mut relay = traffic::Fleet::default();
    relay.hear(report("b-1", "b1", 10.0), common::at(0));
    let own = report("b-2", "b1", 5.0);
    let summary = relay.summarize(&own, common::at(100));
    assert_eq!(summary.demand.accounts, [(ACCOUNT, 15.0)]);
    assert_eq!(summary.demand.loads, [(1, 4)]);
    assert_eq!(summary.members.len(), 2);

    let mut fleet = traffic::Fleet::default();
    fleet.hear(report("a-1", "a1", 3.0), common::at(100));
    fleet.hear(report("b-1", "b1", 10.0), common::at(100));
    fleet.hear_summary(summary, common::at(200));
    assert!((total(&fleet, "a1", 300) - 18.0).abs() < 1e-6);
    // The hosts told more lately than their relay: its sum is too old to be used.
    fleet.hear(report("b-1", "b1", 11.0), common::at(900));
    assert!((total(&fleet, "a1", 1_000) - 14.0).abs() < 1e-6);
}

/// Load pattern: a zone's hosts are heard through relays, and one of them dies.
#[test]
fn a_host_that_relays_tell_of_counts_from_when_it_was_heard() {
    let mut relay = traffic::Fleet::default();
    relay.hear(report("b-1", "b1", 1.0), common::at(0));
    let mut fleet = traffic::Fleet::default();
    for now in (100..4_000).step_by(500) {
        let own = report("b-2", "b1", 1.0);
        fleet.hear_summary(relay.summarize(&own, common::at(now)), common::at(now));
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
fn two_hosts_of_each_zone_are_relays_and_all_agree() {
    let mut fleet = traffic::Fleet::default();
    for host in ["b-1", "b-2", "b-3", "b-4"] {
        fleet.hear(report(host, "b1", 1.0), common::at(0));
    }
    let names = |fleet: &traffic::Fleet, now| -> Vec<String> {
        let relays = fleet.relays(&common::zone("a1"), common::at(now));
        relays.iter().map(|relay| relay.host.to_string()).collect()
    };
    let first = names(&fleet, 100);
    assert_eq!(first.len(), traffic::Fleet::RELAYS);
    for host in ["b-1", "b-2", "b-3", "b-4"] {
        if host != first[0] {
            fleet.hear(report(host, "b1", 1.0), common::at(1_700));
        }
    }
    let later = names(&fleet, 1_800);
    assert_eq!(later[0], first[1]);
    let member = report(&later[0], "b1", 1.0).member;
    let zone = common::zone("b1");
    assert_eq!(fleet.place_in(&zone, &member.host, common::at(1_800)), 0);
}

/// Load pattern: summaries to other regions cost most and come less often, news comes at once.
#[test]
fn relays_tell_far_zones_less_often_but_news_at_once() {
    let sent = |place, is_near| {
        let rounds = (0..8).map(traffic::Cadence::Round);
        rounds.filter(|round| round.is_due(place, is_near)).count()
    };
    assert_eq!([sent(0, true), sent(0, false)], [8, 4]);
    assert_eq!([sent(1, true), sent(1, false)], [4, 2]);
    assert_eq!(sent(2, true), 0);
    assert!(traffic::Cadence::News.is_due(1, false));
    assert!(!traffic::Cadence::News.is_due(2, true));
}

/// Load pattern: the host of a zone that reads the store loses it.
#[test]
fn the_next_host_of_a_zone_reads_when_the_first_cannot() {
    let mut fleet = traffic::Fleet::default();
    let hosts = ["a-1", "a-2", "a-3"];
    let zone = common::zone("a1");
    let readers = |fleet: &traffic::Fleet| -> Vec<&str> {
        let mut readers = hosts.to_vec();
        readers.retain(|host| {
            let host = common::report(host, "a1", 1).member.host;
            !fleet.has_reader(&zone, &host, common::at(100))
        });
        readers
    };
    for host in hosts {
        fleet.hear(report(host, "a1", 1.0), common::at(0));
    }
    let first = readers(&fleet);
    assert_eq!(first.len(), 1);
    let mut lost = report(first[0], "a1", 1.0);
    lost.member.store = traffic::StoreAccess::Lost;
    fleet.hear(lost, common::at(50));
    let both = readers(&fleet);
    assert_eq!(both.len(), 2);
    assert!(both.contains(&first[0]));
}

/// Load pattern: many hosts hear of each change from one that reads the store.
#[test]
fn a_copy_that_is_fed_by_changes_equals_the_one_that_feeds_it() {
    arbtest::arbtest(|u| {
        let mut reader = traffic::Mirror::default();
        let mut hearer = traffic::Mirror::default();
        let mut version = 0;
        for _step in 0..u.int_in_range(1..=40)? {
            version += u.int_in_range(1..=3_u64)?;
            let key = ["x", "y", "z"][u.choose_index(3)?];
            let value = u.arbitrary::<bool>()?.then_some("v");
            if reader.version() == 0 || u.ratio(1, 5)? {
                let rows = value
                    .map(|_v| common::row(key, version, value))
                    .into_iter()
                    .collect();
                reader.replace(rows, version);
            } else {
                reader.change(vec![common::row(key, version, value)], version);
            }
            if u.arbitrary()? {
                match reader.changes(hearer.version()) {
                    traffic::Changes::Since(rows) => hearer.change(rows, reader.version()),
                    traffic::Changes::Whole(rows) => hearer.replace(rows, reader.version()),
                };
                assert!(reader.rows().eq(hearer.rows()));
                assert!(reader.changed() <= hearer.version());
            }
        }
        Ok(())
    });
}

#[test]
fn a_copy_that_has_forgotten_removals_gives_all_rows() {
    let mut reader = traffic::Mirror::default();
    reader.replace(vec![common::row("kept", 1, Some("v"))], 1);
    for n in 0..2_000 {
        reader.change(vec![common::row(&format!("k{n}"), 2 + n, None)], 2 + n);
    }
    assert!(matches!(reader.changes(1), traffic::Changes::Whole(rows) if rows.len() == 1));
    assert!(matches!(reader.changes(1_999), traffic::Changes::Since(rows) if rows.len() == 2));
}
