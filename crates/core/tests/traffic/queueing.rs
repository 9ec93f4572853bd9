//! Queueing and refusal of requests, and the retry budget.

use std::time;

use skylark_core::kind;
use skylark_core::traffic;

use super::common;

fn overloaded_dispatcher(now: u64) -> common::Dispatcher {
    let targets = [common::target("t0", "a1", 2)];
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    for n in 0..40 {
        let request = common::request("pay", 0, &format!("o{n}"), common::at(now));
        let _placed = dispatcher.place(&request, common::at(now));
    }
    dispatcher
}

/// Load pattern: more requests than the targets can run. A refusal must come within an eighth of
/// the objective.
#[test]
fn a_request_without_room_is_refused_early() {
    let mut dispatcher = overloaded_dispatcher(0);
    let request = common::request("stock", 2, "o", common::at(0));
    let traffic::Placement::Wait(until) = dispatcher.place(&request, common::at(0)) else {
        panic!("there is no room");
    };
    assert!(until.since(common::at(0)) <= common::OBJECTIVE / 8);
    assert!(dispatcher.enqueue(request, until, 1).is_none());
    assert!(dispatcher.has_waiting());
    let dequeued = dispatcher.dequeue(until);
    let [one] = &*dequeued else {
        panic!("one request waited");
    };
    let traffic::Placement::Refuse(refusal) = &one.placement else {
        panic!("there is still no room");
    };
    assert_eq!(refusal.kind, kind::ErrorKind::Overloaded);
    assert!(refusal.pause > time::Duration::ZERO);
    assert!(!dispatcher.has_waiting());
}

/// Load pattern: many requests are refused at once. Their retry delays must differ.
#[test]
fn retry_delays_of_refused_callers_are_spread() {
    let dispatcher = overloaded_dispatcher(0);
    let pauses: std::collections::BTreeSet<time::Duration> = (0..50)
        .map(|n| {
            let now = common::at(n);
            let request = common::request("stock", 2, "o", now);
            dispatcher
                .refusal(&request, kind::ErrorKind::Overloaded, now)
                .pause
        })
        .collect();
    assert!(pauses.len() > 40, "{}", pauses.len());
    let (first, last) = (pauses.first().expect("one"), pauses.last().expect("one"));
    assert!(*last > *first + common::OBJECTIVE / 2);
}

/// Load pattern: urgent and less urgent requests wait for the same targets.
#[test]
fn urgent_requests_leave_the_queue_first() {
    let mut dispatcher = overloaded_dispatcher(0);
    let until = common::at(30);
    for (priority, name) in [(2, "stock"), (0, "pay"), (2, "stock"), (0, "pay")] {
        let request = common::request(name, priority, "o", common::at(0));
        assert!(
            dispatcher
                .enqueue(request, until, u32::from(priority))
                .is_none()
        );
    }
    let order: Vec<u32> = dispatcher
        .dequeue(until)
        .into_iter()
        .map(|dequeued| dequeued.item)
        .collect();
    assert_eq!(order, [0, 0, 2, 2]);
}

/// Load pattern: less urgent requests fill a service that urgent requests need as well.
#[test]
fn less_urgent_requests_leave_room_for_urgent_ones() {
    let count = |name: &str, priority: u8| {
        let targets = [common::target("t0", "a1", 4)];
        let mut dispatcher = common::dispatcher("h1", "a1", &targets);
        // Both kinds are warm and fast, so that only the priority makes a difference.
        for n in 0..200 {
            let now = common::at(n * 200);
            let request = common::request(name, priority, "o", now);
            if let Some(pick) = common::sent_to(&dispatcher.place(&request, now)).cloned() {
                let end = common::at(n * 200 + 150);
                dispatcher.record_result(
                    &request,
                    &pick,
                    traffic::AttemptResult::Answered(None),
                    end,
                );
            }
        }
        let now = common::at(50_000);
        dispatcher.refresh(now);
        (0..40)
            .filter(|_n| {
                let request = common::request(name, priority, "o", now);
                common::sent_to(&dispatcher.place(&request, now)).is_some()
            })
            .count()
    };
    let (urgent, other) = (count("pay", 0), count("stock", 2));
    assert!(other < urgent, "{other} of {urgent}");
    assert!(other >= 4, "{other}");
}

/// Load pattern: the queue is full. The least urgent request must be evicted and refused.
#[test]
fn a_full_queue_evicts_the_least_urgent_request() {
    let mut dispatcher = overloaded_dispatcher(0);
    let until = common::at(30);
    let mut evicted = Vec::new();
    for n in 0..70 {
        let request = common::request("stock", 2, "o", common::at(0));
        evicted.extend(dispatcher.enqueue(request, until, n));
    }
    assert_eq!(evicted.len(), 6);
    let request = common::request("pay", 0, "o", common::at(0));
    let least_urgent = dispatcher
        .enqueue(request, until, 100)
        .expect("the queue is full");
    assert_eq!(least_urgent.request.priority(), 2);
    assert!(matches!(
        least_urgent.placement,
        traffic::Placement::Refuse(_)
    ));
}

/// Load pattern: the deadline of a request is too near for an answer. It must be refused at once.
#[test]
fn a_request_that_cannot_be_answered_in_time_is_not_sent() {
    let targets = [common::target("t0", "a1", 5)];
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    let mut request = common::request("stock", 2, "o", common::at(0));
    request.deadline = common::at(5);
    assert!(matches!(
        dispatcher.place(&request, common::at(0)),
        traffic::Placement::Refuse(_)
    ));
}

/// Load pattern: a whole service fails. Retries must stay within the budget of all hosts.
#[test]
fn retries_stay_within_the_budget_of_all_hosts() {
    const HOSTS: u32 = 8;
    const REQUESTS: u32 = 1_000;
    let mut retries = 0;
    for _host in 0..HOSTS {
        let mut budget = traffic::RetryBudget::new(0.2, 56.0, HOSTS);
        for _request in 0..REQUESTS {
            budget.deposit();
            retries += u32::from(budget.withdraw());
        }
    }
    let max_retries = 0.2 * f64::from(HOSTS * REQUESTS) + 56.0;
    assert!(
        f64::from(retries) <= max_retries,
        "{retries} of {max_retries}"
    );
    assert!(
        f64::from(retries) >= max_retries / 2.0,
        "{retries} of {max_retries}"
    );
}
