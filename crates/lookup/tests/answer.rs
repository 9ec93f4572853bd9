//! Look-up answers name near hosts first, some of every zone, and never too many.

use std::collections;

use skylark_core::catalog;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_lookup as lookup;
use skylark_wire::control;

const ISSUED: u64 = 1_796_365_000;
const ZONES: [&str; 4] = ["east-a", "east-b", "west-a", "west-b"];

fn catalog() -> catalog::Catalog {
    let text = "schema: 1
region: {name: east, zones: [east-a, east-b], delay: 3ms}
---
schema: 1
region: {name: west, zones: [west-a, west-b], delay: 3ms}
---
schema: 1
link: {name: east-west, between: [east, west], bandwidth: 1000 Mbit/s, delay: 20ms}
";
    let documents = record::parse(text).expect("good records");
    catalog::Catalog::new(unit::Version::new(1), &documents).expect("a catalog")
}

fn host(index: usize) -> control::Host {
    let address = "127.0.0.1:1".parse().expect("an address");
    let text = format!("host-{index:03}");
    control::Host {
        host: name::Host::new(&text).expect("a name"),
        incarnation: name::Incarnation::new(&text).expect("a name"),
        zone: name::Zone::new(ZONES[index % ZONES.len()]).expect("a name"),
        ports: control::Ports {
            entry: address,
            control: address,
            home: address,
            lookup: address,
            steer: address,
        },
        phase: control::Phase::Serving,
    }
}

fn reply(answers: &lookup::Answers, zone: &str, turn: usize) -> lookup::Reply {
    let bytes = answers.get(zone, turn).expect("a known zone");
    serde_json::from_slice(&bytes).expect("a reply")
}

#[test]
fn near_hosts_come_first_and_each_of_them_in_turn() {
    let hosts: Vec<control::Host> = (0..8).map(host).collect();
    let answers = lookup::Answers::new(&catalog(), &hosts, ISSUED);
    for zone in ZONES {
        let mut firsts = collections::BTreeSet::new();
        for turn in 0..4 {
            let reply = reply(&answers, zone, turn);
            let zones: Vec<&str> = reply.hosts.iter().map(|host| host.zone.as_str()).collect();
            assert_eq!(&zones[..2], [zone, zone]);
            assert_eq!(
                zones[2].split('-').next(),
                zone.split('-').next(),
                "{zones:?}"
            );
            assert_eq!(reply.hosts.len(), 8);
            let home = reply.home.expect("a home");
            assert!(
                home.as_str().starts_with(reply.hosts[0].host.as_str()),
                "{home}"
            );
            firsts.insert(home);
        }
        assert_eq!(firsts.len(), 2);
    }
}

#[test]
fn an_answer_stays_small_and_names_every_zone_in_a_large_fleet() {
    let hosts: Vec<control::Host> = (0..790).map(host).collect();
    let answers = lookup::Answers::new(&catalog(), &hosts, ISSUED);
    for turn in [0, 1, 100, 197] {
        let reply = reply(&answers, "east-a", turn);
        assert_eq!(reply.hosts.len(), lookup::MAX_ANSWER_HOSTS);
        let zones: collections::BTreeSet<&name::Zone> =
            reply.hosts.iter().map(|host| &host.zone).collect();
        assert_eq!(zones.len(), ZONES.len());
        let names: collections::BTreeSet<&name::Host> =
            reply.hosts.iter().map(|host| &host.host).collect();
        assert_eq!(names.len(), reply.hosts.len());
    }
}

#[test]
fn hosts_that_leave_or_are_drained_are_not_named() {
    let mut hosts: Vec<control::Host> = (0..8).map(host).collect();
    hosts[0].phase = control::Phase::Leaving;
    let mut catalog = catalog();
    catalog.drains.push(record::Drain {
        name: "d".to_owned(),
        subject: record::Subject::Host(hosts[4].host.clone()),
    });
    let answers = lookup::Answers::new(&catalog, &hosts, ISSUED);
    let reply = reply(&answers, "east-a", 0);
    let names: Vec<&str> = reply.hosts.iter().map(|host| host.host.as_str()).collect();
    assert!(
        !names.contains(&"host-000") && !names.contains(&"host-004"),
        "{names:?}"
    );
    assert_eq!(names.len(), 6);
}
