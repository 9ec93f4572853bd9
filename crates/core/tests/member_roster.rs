//! Quorums, sealing and the floor version of the roster.

use std::time;

use skylark_core::instant;
use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;

fn incarnation(number: usize) -> name::Incarnation {
    name::Incarnation::new(&format!("process-{number}")).expect("valid name")
}

fn member(number: usize, host: usize) -> member::Member {
    member::Member {
        incarnation: incarnation(number),
        host: name::Host::new(&format!("host-{host}")).expect("valid name"),
        zone: name::Zone::new(&format!("zone-{host}")).expect("valid name"),
        steer: "127.0.0.1:1".parse().expect("valid address"),
    }
}

fn roster(size: usize) -> member::Roster {
    let mut roster = member::Roster::default();
    for number in 0..size {
        roster = roster.with_member(member(number, number), unit::Version::NONE);
        for known in 0..=number {
            roster = roster.with_departed(&incarnation(known), roster.generation);
        }
    }
    roster
}

fn report(number: usize, generation: u64, version: u64) -> member::Report {
    member::Report {
        incarnation: incarnation(number),
        generation,
        version: unit::Version::new(version),
    }
}

#[test]
fn every_read_quorum_meets_every_write_quorum() {
    for size in 1..=12 {
        let roster = roster(size);
        assert!(
            roster.read_quorum() + roster.write_quorum() > size,
            "{size}"
        );
        assert!(
            roster.read_quorum() >= 1 && roster.write_quorum() <= size,
            "{size}"
        );
    }
}

#[test]
fn a_version_is_accepted_only_in_the_settled_generation_it_was_reported_in() {
    let roster = roster(4);
    let version = unit::Version::new(7);
    let now = roster.generation;
    assert!(roster.is_settled());
    assert!(roster.is_accepted(version, &[report(0, now, 7), report(3, now, 8)]));
    assert!(!roster.is_accepted(version, &[report(0, now, 7), report(0, now, 7)]));
    assert!(!roster.is_accepted(version, &[report(0, now, 7), report(1, now - 1, 7)]));
    assert!(!roster.is_accepted(version, &[report(0, now, 7), report(9, now, 7)]));
    assert!(!roster.is_accepted(version, &[report(0, now, 7), report(1, now, 6)]));
    let newer = roster.without_member(&incarnation(1), version);
    let all = [0, 2, 3].map(|n| report(n, newer.generation, 7));
    assert!(
        !newer.is_accepted(version, &all),
        "the earlier roster is not sealed"
    );
    let sealed = newer.with_departed(&incarnation(0), newer.generation);
    assert!(
        !sealed.is_settled(),
        "one of four may be missing from a read quorum"
    );
    let sealed = sealed.with_departed(&incarnation(2), newer.generation);
    assert!(sealed.is_accepted(version, &all));
}

#[test]
fn a_new_process_on_a_host_replaces_the_earlier_one() {
    let roster = roster(3).with_member(member(9, 0), unit::Version::new(4));
    assert!(
        roster.is_settled(),
        "a read quorum of three would need the ended process"
    );
    assert_eq!(roster.floor, unit::Version::new(4));
    assert!(roster.member(&incarnation(0)).is_none());
    let other = roster.with_member(member(10, 7), unit::Version::new(4));
    assert!(
        !other.is_settled(),
        "all four members may still confirm versions to each other"
    );
}

/// Returns one of the members 2, 3 and 4 of five, after they confirmed version 1 to each other.
///
/// Members 0 and 1 accepted version 2; then 1 was removed and 0 lost contact.
fn peers_after_removal(floor: unit::Version) -> member::Node {
    let now = instant::Instant::from_millis(1_000);
    let mut after = roster(5).without_member(&incarnation(1), unit::Version::new(2));
    after.floor = floor;
    let mut nodes = [2, 3, 4].map(|n| member::Node::new(incarnation(n), instant::Instant::ORIGIN));
    for node in &mut nodes {
        node.set_version(unit::Version::new(1));
        node.update_roster(&after);
    }
    let [mut node, second, third] = nodes;
    for peer in [second, third] {
        let reply = peer.answer(&node.ask(), now);
        node.on_reply(now, &reply);
    }
    node
}

#[test]
fn members_below_the_floor_prove_nothing() {
    let now = instant::Instant::from_millis(1_000);
    let without = peers_after_removal(unit::Version::NONE).proof(now);
    assert!(
        without.is_some(),
        "without the floor three of four members prove an outdated version"
    );
    assert_eq!(peers_after_removal(unit::Version::new(2)).proof(now), None);
}

#[test]
fn a_peer_is_silent_if_it_neither_replies_nor_writes_heartbeats() {
    let at = instant::Instant::from_millis;
    let span = time::Duration::from_millis(600);
    let mut detector = member::Detector::new(at(0));
    detector.on_heartbeat(3, at(500));
    assert!(!detector.is_silent(span, at(1_099)));
    detector.on_heartbeat(3, at(1_050));
    assert!(detector.is_silent(span, at(1_100)));
    detector.on_reply(at(1_100));
    assert!(!detector.is_silent(span, at(1_699)));
}

#[test]
fn hosts_declared_stopped_seal_rosters_that_no_member_can_seal() {
    let me = member(9, 9);
    let ended = [member(0, 0).host];
    let with_dead = roster(1).with_member(me.clone(), unit::Version::NONE);
    let known = with_dead.generation;
    let reconfigure = |me: &member::Member, ended: &[name::Host]| {
        member::reconfigure(
            &with_dead,
            me,
            known,
            unit::Version::NONE,
            |_m, _times| false,
            ended,
        )
    };
    assert!(!with_dead.is_settled());
    assert_eq!(
        reconfigure(&me, &[]),
        None,
        "the earlier member may still confirm versions to itself"
    );
    assert!(reconfigure(&me, &ended).expect("a write").is_settled());
    let back = member::Member {
        incarnation: incarnation(10),
        ..member(0, 0)
    };
    assert_eq!(
        reconfigure(&back, &ended),
        None,
        "a host declared stopped does not join"
    );
}
