//! Tests the order, the number and the choice of entry hosts in look-up answers.

use std::collections;

use skylark_core::catalog;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_lookup as lookup;
use skylark_wire::control;

const ISSUED_SECONDS: u64 = 1_796_365_000;
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
    let documents = record::parse(text).expect("valid records");
    catalog::Catalog::new(unit::Version::new(1), &documents).expect("valid catalog")
}

fn host(index: usize) -> control::Host {
    let address = "127.0.0.1:1".parse().expect("valid address");
    let text = format!("host-{index:03}");
    control::Host {
        host: name::Host::new(&text).expect("valid name"),
        incarnation: name::Incarnation::new(&text).expect("valid name"),
        zone: name::Zone::new(ZONES[index % ZONES.len()]).expect("valid name"),
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

fn reply(answers: &lookup::Answers, zone: &str, rotation: usize) -> lookup::Reply {
    let bytes = answers.get(zone, rotation).expect("known zone");
    serde_json::from_slice(&bytes).expect("valid reply")
}

#[test]
fn nearest_hosts_come_first_in_rotation() {
    let hosts: Vec<control::Host> = (0..8).map(host).collect();
    let answers = lookup::Answers::new(&catalog(), &hosts, ISSUED_SECONDS);
    for zone in ZONES {
        let mut firsts = collections::BTreeSet::new();
        for rotation in 0..4 {
            let reply = reply(&answers, zone, rotation);
            let zones: Vec<&str> = reply.hosts.iter().map(|host| host.zone.as_str()).collect();
            assert_eq!(&zones[..2], [zone, zone]);
            assert_eq!(
                zones[2].split('-').next(),
                zone.split('-').next(),
                "{zones:?}"
            );
            assert_eq!(reply.hosts.len(), 8);
            let home = reply.home.expect("home in the reply");
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
fn answer_size_is_bounded_and_covers_every_zone_in_a_large_fleet() {
    let hosts: Vec<control::Host> = (0..790).map(host).collect();
    let answers = lookup::Answers::new(&catalog(), &hosts, ISSUED_SECONDS);
    for rotation in [0, 1, 100, 197] {
        let reply = reply(&answers, "east-a", rotation);
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
fn leaving_or_drained_hosts_are_left_out() {
    let mut hosts: Vec<control::Host> = (0..8).map(host).collect();
    hosts[0].phase = control::Phase::Leaving;
    let mut catalog = catalog();
    catalog.drains.push(record::Drain {
        name: "d".to_owned(),
        subject: record::Subject::Host(hosts[4].host.clone()),
    });
    let answers = lookup::Answers::new(&catalog, &hosts, ISSUED_SECONDS);
    let reply = reply(&answers, "east-a", 0);
    let names: Vec<&str> = reply.hosts.iter().map(|host| host.host.as_str()).collect();
    assert!(
        !names.contains(&"host-000") && !names.contains(&"host-004"),
        "{names:?}"
    );
    assert_eq!(names.len(), 6);
}
