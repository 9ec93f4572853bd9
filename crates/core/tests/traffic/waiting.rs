//! Who waits, who is refused, and when.

use std::time;

use skylark_core::kind;
use skylark_core::traffic;

use super::common;

fn full_desk(now: u64) -> common::Dispatcher {
    let targets = [common::target("t0", "a1", 2)];
    let mut desk = common::desk_in("h1", "a1", &targets);
    for n in 0..40 {
        let ask = common::ask("pay", 0, &format!("o{n}"), common::at(now));
        let _placed = desk.place(&ask, common::at(now));
    }
    desk
}

/// Load pattern: more than the targets can take. A refusal comes before an eighth of the objective.
#[test]
fn a_request_without_room_is_refused_early() {
    let mut desk = full_desk(0);
    let ask = common::ask("stock", 2, "o", common::at(0));
    let traffic::Placement::Wait(until) = desk.place(&ask, common::at(0)) else {
        panic!("there is no room");
    };
    assert!(until.since(common::at(0)) <= common::OBJECTIVE / 8);
    assert!(desk.enqueue(ask, until, 1).is_none());
    assert!(desk.has_waiting());
    let woken = desk.dequeue(until);
    let [one] = &*woken else {
        panic!("one waited");
    };
    let traffic::Placement::Refuse(refusal) = &one.placement else {
        panic!("there is still no room");
    };
    assert_eq!(refusal.kind, kind::ErrorKind::Overloaded);
    assert!(refusal.pause > time::Duration::ZERO);
    assert!(!desk.has_waiting());
}

/// Load pattern: many are refused at once. They are told to come back at different times.
#[test]
fn refused_callers_come_back_spread() {
    let desk = full_desk(0);
    let pauses: std::collections::BTreeSet<time::Duration> = (0..50)
        .map(|n| {
            let now = common::at(n);
            let ask = common::ask("stock", 2, "o", now);
            desk.refusal(&ask, kind::ErrorKind::Overloaded, now).pause
        })
        .collect();
    assert!(pauses.len() > 40, "{}", pauses.len());
    let (first, last) = (pauses.first().expect("one"), pauses.last().expect("one"));
    assert!(*last > *first + common::OBJECTIVE / 2);
}

/// Load pattern: urgent and less urgent requests wait for the same targets.
#[test]
fn the_urgent_leave_the_line_first() {
    let mut desk = full_desk(0);
    let until = common::at(30);
    for (rank, name) in [(2, "stock"), (0, "pay"), (2, "stock"), (0, "pay")] {
        let ask = common::ask(name, rank, "o", common::at(0));
        assert!(desk.enqueue(ask, until, u32::from(rank)).is_none());
    }
    let order: Vec<u32> = desk
        .dequeue(until)
        .into_iter()
        .map(|woken| woken.item)
        .collect();
    assert_eq!(order, [0, 0, 2, 2]);
}

/// Load pattern: less urgent work fills a service that urgent requests need too.
#[test]
fn less_urgent_requests_leave_room_for_urgent_ones() {
    let count = |name: &str, rank: u8| {
        let targets = [common::target("t0", "a1", 4)];
        let mut desk = common::desk_in("h1", "a1", &targets);
        // Both kinds are warm and quick, so that only the rank makes a difference.
        for n in 0..200 {
            let now = common::at(n * 200);
            let ask = common::ask(name, rank, "o", now);
            if let Some(pick) = common::sent(&desk.place(&ask, now)).cloned() {
                let end = common::at(n * 200 + 150);
                desk.record_result(&ask, &pick, traffic::AttemptResult::Answered(None), end);
            }
        }
        let now = common::at(50_000);
        desk.refresh(now);
        (0..40)
            .filter(|_n| {
                let ask = common::ask(name, rank, "o", now);
                common::sent(&desk.place(&ask, now)).is_some()
            })
            .count()
    };
    let (urgent, other) = (count("pay", 0), count("stock", 2));
    assert!(other < urgent, "{other} of {urgent}");
    assert!(other >= 4, "{other}");
}

/// Load pattern: the line is full; the least urgent is pushed out and told so.
#[test]
fn a_full_line_pushes_out_the_least_urgent() {
    let mut desk = full_desk(0);
    let until = common::at(30);
    let mut out = Vec::new();
    for n in 0..70 {
        let ask = common::ask("stock", 2, "o", common::at(0));
        out.extend(desk.enqueue(ask, until, n));
    }
    assert_eq!(out.len(), 6);
    let ask = common::ask("pay", 0, "o", common::at(0));
    let pushed = desk.enqueue(ask, until, 100).expect("the line is full");
    assert_eq!(pushed.request.priority(), 2);
    assert!(matches!(pushed.placement, traffic::Placement::Refuse(_)));
}

/// Load pattern: the caller's time is nearly over. It is told at once.
#[test]
fn what_cannot_be_answered_in_time_is_not_sent() {
    let targets = [common::target("t0", "a1", 5)];
    let mut desk = common::desk_in("h1", "a1", &targets);
    let mut ask = common::ask("stock", 2, "o", common::at(0));
    ask.deadline = common::at(5);
    assert!(matches!(
        desk.place(&ask, common::at(0)),
        traffic::Placement::Refuse(_)
    ));
}

/// Load pattern: a service fails as a whole. Second sends stay within the fleet's budget.
#[test]
fn second_sends_stay_within_the_budget_of_all_hosts() {
    const HOSTS: u32 = 8;
    const REQUESTS: u32 = 1_000;
    let mut sends = 0;
    for _host in 0..HOSTS {
        let mut repeats = traffic::RetryBudget::new(0.2, 56.0, HOSTS);
        for _request in 0..REQUESTS {
            repeats.deposit();
            sends += u32::from(repeats.withdraw());
        }
    }
    let most = 0.2 * f64::from(HOSTS * REQUESTS) + 56.0;
    assert!(f64::from(sends) <= most, "{sends} of {most}");
    assert!(f64::from(sends) >= most / 2.0, "{sends} of {most}");
}
