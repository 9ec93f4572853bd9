//! Lost answers, late answers and returns of a lease.

use std::time;

use skylark_core::instant;
use skylark_core::lease;
use skylark_core::member;
use skylark_core::name;

const LENGTH: time::Duration = time::Duration::from_secs(4);

fn life(name: &str) -> name::Incarnation {
    name::Incarnation::new(name).expect("a good name")
}

fn seat(name: &str) -> lease::Elector {
    lease::Elector::new(life(name), lease::Timing { duration: LENGTH })
}

fn at(millis: u64) -> instant::Instant {
    instant::Instant::from_millis(millis)
}

fn take(seat: &mut lease::Elector, now: instant::Instant) -> (u64, lease::Row) {
    match seat.decide(&member::Roster::default(), now) {
        lease::Action::Write { version, row } => {
            seat.on_send(version, row.clone(), now);
            (version, row)
        }
        other => panic!("expected a write, not {other:?}"),
    }
}

#[test]
fn a_tenure_counts_from_before_the_write_was_sent() {
    let mut seat = seat("a");
    seat.on_read(lease::Versioned::default(), at(0), at(0));
    take(&mut seat, at(1_000));
    seat.on_written(0);
    assert!(seat.term().is_valid(at(4_990)));
    assert!(!seat.term().is_valid(at(5_000)));
}

#[test]
fn a_lost_answer_is_read_back_and_counts_from_the_first_sending() {
    let mut seat = seat("a");
    seat.on_read(lease::Versioned::default(), at(0), at(0));
    let (version, row) = take(&mut seat, at(1_000));
    let again = seat.decide(&member::Roster::default(), at(2_000));
    assert_eq!(
        again,
        lease::Action::Write {
            version,
            row: row.clone()
        }
    );
    seat.on_send(version, row.clone(), at(2_000));
    let seen = lease::Versioned {
        version: version + 1,
        row: Some(row),
    };
    seat.on_read(seen, at(3_000), at(3_000));
    assert_eq!(seat.term().epoch, 1);
    assert!(seat.term().is_valid(at(4_990)));
    assert!(!seat.term().is_valid(at(5_000)));
}

#[test]
fn a_write_that_another_came_before_gives_no_tenure() {
    let mut seat = seat("a");
    seat.on_read(lease::Versioned::default(), at(0), at(0));
    let (version, row) = take(&mut seat, at(1_000));
    let other = lease::Row {
        holder: Some(life("b")),
        ..row
    };
    seat.on_read(
        lease::Versioned {
            version: version + 1,
            row: Some(other),
        },
        at(1_100),
        at(1_100),
    );
    assert!(!seat.term().is_valid(at(1_100)));
    assert_eq!(
        seat.decide(&member::Roster::default(), at(1_200)),
        lease::Action::Wait
    );
}

#[test]
fn a_lease_that_was_given_back_is_taken_at_once_with_a_higher_epoch() {
    let mut seat = seat("a");
    let row = lease::Row {
        epoch: 7,
        holder: None,
        generation: 0,
    };
    seat.on_read(
        lease::Versioned {
            version: 9,
            row: Some(row),
        },
        at(0),
        at(0),
    );
    let (version, row) = take(&mut seat, at(1));
    assert_eq!((version, row.epoch), (9, 8));
}

#[test]
fn a_bar_holds_until_the_holder_writes_again() {
    let mut bars = lease::Fences::new();
    assert!(bars.allows("lease", 3));
    bars.fence("lease", 3);
    bars.fence("lease", 2);
    assert!(!bars.allows("lease", 3));
    assert!(bars.allows("lease", 4));
    assert!(bars.allows("other", 3));
}

#[test]
fn a_late_answer_to_an_earlier_write_confirms_nothing() {
    let mut seat = seat("a");
    seat.on_read(lease::Versioned::default(), at(0), at(0));
    let (first, row) = take(&mut seat, at(1_000));
    let seen = lease::Versioned {
        version: first + 1,
        row: Some(row),
    };
    seat.on_read(seen, at(1_100), at(1_100));
    let (second, _row) = take(&mut seat, at(3_000));
    seat.on_written(first);
    assert!(
        !seat.term().is_valid(at(5_000)),
        "version {second} is not confirmed"
    );
    seat.on_written(second);
    assert!(seat.term().is_valid(at(5_000)));
}

#[test]
fn a_claimant_asks_for_bars_only_when_it_read_the_row_again() {
    let mut seat = seat("b");
    let row = lease::Row {
        epoch: 1,
        holder: Some(life("a")),
        generation: 0,
    };
    let seen = lease::Versioned {
        version: 5,
        row: Some(row),
    };
    let roster = member::Roster::default();
    seat.on_read(seen.clone(), at(0), at(100));
    seat.on_read(seen.clone(), at(200), at(9_000));
    assert_eq!(seat.decide(&roster, at(9_000)), lease::Action::Wait);
    seat.on_read(seen, at(2_100), at(2_200));
    assert_eq!(seat.decide(&roster, at(9_000)), lease::Action::Fence(5));
}

fn roster(names: [&str; 3]) -> member::Roster {
    let member = |name: &str| member::Member {
        incarnation: life(name),
        host: name::Host::new(name).expect("a good name"),
        zone: name::Zone::new(name).expect("a good name"),
        steer: "127.0.0.1:1".parse().expect("a good address"),
    };
    member::Roster {
        generation: 7,
        members: names.map(member).to_vec(),
        ..member::Roster::default()
    }
}

/// Returns the holder after helpers answered, and after it barred a version of the row itself.
fn helped(barred: Option<u64>) -> lease::Elector {
    let roster = roster(["a", "b", "c"]);
    let mut seat = seat("a");
    let mut bars = lease::Fences::new();
    seat.on_read(lease::Versioned::default(), at(0), at(0));
    let lease::Action::Write { version, row } = seat.decide(&roster, at(0)) else {
        panic!("a free lease is taken");
    };
    seat.on_send(version, row, at(0));
    seat.on_written(version);
    // The renewal takes effect, but its answer is lost: the row is at 2, not known here.
    let lease::Action::Write { version, row } = seat.decide(&roster, at(2_000)) else {
        panic!("a held lease is renewed");
    };
    seat.on_send(version, row, at(2_000));
    if let Some(version) = barred {
        bars.fence("lease", version);
    }
    for helper in ["b", "c"] {
        seat.on_support(&life(helper), ("lease", 1), &bars, &roster, at(3_000));
    }
    seat
}

#[test]
fn a_holder_that_barred_its_own_unknown_renewal_does_not_help_itself() {
    assert!(
        helped(None).term().is_valid(at(6_900)),
        "helped by all three"
    );
    assert!(
        !helped(Some(2)).term().is_valid(at(4_000)),
        "only two of three help"
    );
}
