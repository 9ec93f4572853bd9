//! Leases when replies are lost or late, and when they are released, fenced or supported.

use std::time;

use skylark_core::instant;
use skylark_core::lease;
use skylark_core::member;
use skylark_core::name;

const LEASE_DURATION: time::Duration = time::Duration::from_secs(4);

fn incarnation(name: &str) -> name::Incarnation {
    name::Incarnation::new(name).expect("valid name")
}

fn elector(name: &str) -> lease::Elector {
    lease::Elector::new(
        incarnation(name),
        lease::Timing {
            duration: LEASE_DURATION,
        },
    )
}

fn at(millis: u64) -> instant::Instant {
    instant::Instant::from_millis(millis)
}

fn send_acquisition(elector: &mut lease::Elector, now: instant::Instant) -> (u64, lease::Row) {
    match elector.decide(&member::Roster::default(), now) {
        lease::Action::Write { version, row } => {
            elector.on_send(version, row.clone(), now);
            (version, row)
        }
        other => panic!("expected a write, not {other:?}"),
    }
}

#[test]
fn a_term_counts_from_before_the_write_was_sent() {
    let mut elector = elector("a");
    elector.on_read(lease::Versioned::default(), at(0), at(0));
    send_acquisition(&mut elector, at(1_000));
    elector.on_written(0);
    assert!(elector.term().is_valid(at(4_990)));
    assert!(!elector.term().is_valid(at(5_000)));
}

#[test]
fn a_lost_reply_is_resolved_by_a_read_and_the_term_counts_from_the_first_attempt() {
    let mut elector = elector("a");
    elector.on_read(lease::Versioned::default(), at(0), at(0));
    let (version, row) = send_acquisition(&mut elector, at(1_000));
    let again = elector.decide(&member::Roster::default(), at(2_000));
    assert_eq!(
        again,
        lease::Action::Write {
            version,
            row: row.clone()
        }
    );
    elector.on_send(version, row.clone(), at(2_000));
    let read_row = lease::Versioned {
        version: version + 1,
        row: Some(row),
    };
    elector.on_read(read_row, at(3_000), at(3_000));
    assert_eq!(elector.term().epoch, 1);
    assert!(elector.term().is_valid(at(4_990)));
    assert!(!elector.term().is_valid(at(5_000)));
}

#[test]
fn a_write_that_lost_to_another_gives_no_term() {
    let mut elector = elector("a");
    elector.on_read(lease::Versioned::default(), at(0), at(0));
    let (version, row) = send_acquisition(&mut elector, at(1_000));
    let other = lease::Row {
        holder: Some(incarnation("b")),
        ..row
    };
    elector.on_read(
        lease::Versioned {
            version: version + 1,
            row: Some(other),
        },
        at(1_100),
        at(1_100),
    );
    assert!(!elector.term().is_valid(at(1_100)));
    assert_eq!(
        elector.decide(&member::Roster::default(), at(1_200)),
        lease::Action::Wait
    );
}

#[test]
fn a_released_lease_is_acquired_at_once_with_a_higher_epoch() {
    let mut elector = elector("a");
    let row = lease::Row {
        epoch: 7,
        holder: None,
        generation: 0,
    };
    elector.on_read(
        lease::Versioned {
            version: 9,
            row: Some(row),
        },
        at(0),
        at(0),
    );
    let (version, row) = send_acquisition(&mut elector, at(1));
    assert_eq!((version, row.epoch), (9, 8));
}

#[test]
fn a_fence_holds_until_the_holder_writes_again() {
    let mut fences = lease::Fences::new();
    assert!(fences.allows("lease", 3));
    fences.fence("lease", 3);
    fences.fence("lease", 2);
    assert!(!fences.allows("lease", 3));
    assert!(fences.allows("lease", 4));
    assert!(fences.allows("other", 3));
}

#[test]
fn a_late_reply_to_an_earlier_write_confirms_nothing() {
    let mut elector = elector("a");
    elector.on_read(lease::Versioned::default(), at(0), at(0));
    let (first, row) = send_acquisition(&mut elector, at(1_000));
    let read_row = lease::Versioned {
        version: first + 1,
        row: Some(row),
    };
    elector.on_read(read_row, at(1_100), at(1_100));
    let (second, _row) = send_acquisition(&mut elector, at(3_000));
    elector.on_written(first);
    assert!(
        !elector.term().is_valid(at(5_000)),
        "version {second} is not confirmed"
    );
    elector.on_written(second);
    assert!(elector.term().is_valid(at(5_000)));
}

#[test]
fn a_contender_asks_for_fences_only_after_it_read_the_row_again() {
    let mut elector = elector("b");
    let row = lease::Row {
        epoch: 1,
        holder: Some(incarnation("a")),
        generation: 0,
    };
    let read_row = lease::Versioned {
        version: 5,
        row: Some(row),
    };
    let roster = member::Roster::default();
    elector.on_read(read_row.clone(), at(0), at(100));
    elector.on_read(read_row.clone(), at(200), at(9_000));
    assert_eq!(elector.decide(&roster, at(9_000)), lease::Action::Wait);
    elector.on_read(read_row, at(2_100), at(2_200));
    assert_eq!(elector.decide(&roster, at(9_000)), lease::Action::Fence(5));
}

fn roster(names: [&str; 3]) -> member::Roster {
    let member = |name: &str| member::Member {
        incarnation: incarnation(name),
        host: name::Host::new(name).expect("valid name"),
        zone: name::Zone::new(name).expect("valid name"),
        steer: "127.0.0.1:1".parse().expect("valid address"),
    };
    member::Roster {
        generation: 7,
        members: names.map(member).to_vec(),
        ..member::Roster::default()
    }
}

/// Returns a holder with two supporters, which first fenced off a version of the row if given.
fn holder_with_support(fenced_version: Option<u64>) -> lease::Elector {
    let roster = roster(["a", "b", "c"]);
    let mut elector = elector("a");
    let mut fences = lease::Fences::new();
    elector.on_read(lease::Versioned::default(), at(0), at(0));
    let lease::Action::Write { version, row } = elector.decide(&roster, at(0)) else {
        panic!("expected a write that acquires the free lease");
    };
    elector.on_send(version, row, at(0));
    elector.on_written(version);
    // The renewal takes effect but its reply is lost: the row is at version 2, the holder knows 1.
    let lease::Action::Write { version, row } = elector.decide(&roster, at(2_000)) else {
        panic!("expected a write that renews the held lease");
    };
    elector.on_send(version, row, at(2_000));
    if let Some(version) = fenced_version {
        fences.fence("lease", version);
    }
    for supporter in ["b", "c"] {
        elector.on_support(
            &incarnation(supporter),
            ("lease", 1),
            &fences,
            &roster,
            at(3_000),
        );
    }
    elector
}

#[test]
fn a_holder_that_fenced_its_own_unconfirmed_renewal_does_not_support_itself() {
    assert!(
        holder_with_support(None).term().is_valid(at(6_900)),
        "all three members support the holder"
    );
    assert!(
        !holder_with_support(Some(2)).term().is_valid(at(4_000)),
        "only two of three members support the holder"
    );
}
