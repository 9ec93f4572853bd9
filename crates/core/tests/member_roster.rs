//! Quorums, sealing and the floor of the roster.

use std::time;

use skylark_core::instant;
use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;

fn life(number: usize) -> name::Incarnation {
    name::Incarnation::new(&format!("life-{number}")).expect("a good name")
}

fn seat(number: usize, host: usize) -> member::Member {
    member::Member {
        incarnation: life(number),
        host: name::Host::new(&format!("host-{host}")).expect("a good name"),
        zone: name::Zone::new(&format!("zone-{host}")).expect("a good name"),
        steer: "127.0.0.1:1".parse().expect("a good address"),
    }
}

fn roster(size: usize) -> member::Roster {
    let mut roster = member::Roster::default();
    for number in 0..size {
        roster = roster.with_member(seat(number, number), unit::Version::NONE);
        for known in 0..=number {
            roster = roster.with_departed(&life(known), roster.generation);
        }
    }
    roster
}

fn report(number: usize, generation: u64, version: u64) -> member::Report {
    member::Report {
        incarnation: life(number),
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
    let newer = roster.without_member(&life(1), version);
    let all = [0, 2, 3].map(|n| report(n, newer.generation, 7));
    assert!(
        !newer.is_accepted(version, &all),
        "the earlier roster is not sealed"
    );
    let sealed = newer.with_departed(&life(0), newer.generation);
    assert!(
        !sealed.is_settled(),
        "one of four may be missing from a read quorum"
    );
    let sealed = sealed.with_departed(&life(2), newer.generation);
    assert!(sealed.is_accepted(version, &all));
}

#[test]
fn a_new_life_on_a_host_strikes_out_the_life_before() {
    let roster = roster(3).with_member(seat(9, 0), unit::Version::new(4));
    assert!(
        roster.is_settled(),
        "no three of three can vouch without the ended life"
    );
    assert_eq!(roster.floor, unit::Version::new(4));
    assert!(roster.member(&life(0)).is_none());
    let other = roster.with_member(seat(10, 7), unit::Version::new(4));
    assert!(
        !other.is_settled(),
        "all four may still vouch for each other"
    );
}

/// Five members; 0 and 1 accept version 2, then 1 is removed and 0 is cut off.
fn remaining(floor: unit::Version) -> member::Node {
    let now = instant::Instant::from_millis(1_000);
    let mut after = roster(5).without_member(&life(1), unit::Version::new(2));
    after.floor = floor;
    let mut nodes = [2, 3, 4].map(|n| member::Node::new(life(n), instant::Instant::ORIGIN));
    for node in &mut nodes {
        node.set_version(unit::Version::new(1));
        node.update_roster(&after);
    }
    let [mut node, second, third] = nodes;
    for peer in [second, third] {
        let answer = peer.answer(&node.ask(), now);
        node.on_answer(now, &answer);
    }
    node
}

#[test]
fn members_below_the_floor_prove_nothing() {
    let now = instant::Instant::from_millis(1_000);
    let without = remaining(unit::Version::NONE).proof(now);
    assert!(
        without.is_some(),
        "without the floor three of four prove the withdrawn key valid"
    );
    assert_eq!(remaining(unit::Version::new(2)).proof(now), None);
}

#[test]
fn a_silent_peer_is_one_that_neither_answers_nor_beats() {
    let at = instant::Instant::from_millis;
    let span = time::Duration::from_millis(600);
    let mut watch = member::Detector::new(at(0));
    watch.on_heartbeat(3, at(500));
    assert!(!watch.is_silent(span, at(1_099)));
    watch.on_heartbeat(3, at(1_050));
    assert!(watch.is_silent(span, at(1_100)));
    watch.on_answer(at(1_100));
    assert!(!watch.is_silent(span, at(1_699)));
}

#[test]
fn hosts_that_ended_for_good_seal_the_rosters_that_nobody_else_can() {
    let me = seat(9, 9);
    let ended = [seat(0, 0).host];
    let dead = roster(1).with_member(me.clone(), unit::Version::NONE);
    let known = dead.generation;
    let keep = |me: &member::Member, ended: &[name::Host]| {
        member::reconfigure(
            &dead,
            me,
            known,
            unit::Version::NONE,
            |_m, _times| false,
            ended,
        )
    };
    assert!(!dead.is_settled());
    assert_eq!(
        keep(&me, &[]),
        None,
        "the one member of before may still vouch for itself"
    );
    assert!(keep(&me, &ended).expect("a write").is_settled());
    let back = member::Member {
        incarnation: life(10),
        ..seat(0, 0)
    };
    assert_eq!(keep(&back, &ended), None, "a host that ended does not join");
}
