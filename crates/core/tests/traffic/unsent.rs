//! Places at targets, tokens and retries of requests that are not sent after all.

use std::time;

use skylark_core::traffic;

use super::common;

const UNSENT: traffic::AttemptResult = traffic::AttemptResult::Unsent;

/// Places requests until one finds no target; returns those that did, with their places.
fn place_all(
    dispatcher: &mut common::Dispatcher,
    now: u64,
) -> Vec<(traffic::Request, traffic::Pick)> {
    let now = common::at(now);
    let placed = (0..1_000).map_while(|n| {
        let request = common::request("pay", 0, &format!("o{n}"), now);
        let placement = dispatcher.place(&request, now);
        Some((request, common::sent_to(&placement)?.clone()))
    });
    placed.collect()
}

/// Load pattern: callers leave with places at all targets, which must be free at once.
#[test]
fn a_place_that_is_not_used_is_free_again() {
    let targets = [common::target("t0", "a1", 2), common::target("t1", "a1", 2)];
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    let placed = place_all(&mut dispatcher, 0);
    assert!(placed.len() >= 4, "{}", placed.len());
    for (request, pick) in &placed {
        dispatcher.record_result(request, pick, UNSENT, common::at(5_000));
    }
    let (owed, silent) = dispatcher.owed_answers(common::at(5_000));
    assert_eq!((owed, silent.len()), (0, 0));
    assert_eq!(place_all(&mut dispatcher, 5_000).len(), placed.len());
}

/// Load pattern: callers leave with places at a cold target, whose rate must stay available.
#[test]
fn a_place_that_is_not_used_returns_its_token_of_a_cold_target() {
    let mut target = common::target("t0", "a1", 5);
    target.warmup_left = time::Duration::from_secs(3);
    let mut dispatcher = common::dispatcher("h1", "a1", std::slice::from_ref(&target));
    let placed = place_all(&mut dispatcher, 1_000);
    assert!((1..5).contains(&placed.len()), "{}", placed.len());
    for (request, pick) in &placed {
        dispatcher.record_result(request, pick, UNSENT, common::at(1_000));
    }
    assert_eq!(place_all(&mut dispatcher, 1_000).len(), placed.len());
}

/// Load pattern: callers leave with places at a target that names a limit.
#[test]
fn a_place_that_is_not_used_returns_its_token_of_a_limited_target() {
    let targets = [common::target("t0", "a1", 5)];
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    let limits = dispatcher.limits_mut();
    assert!(limits.observe(&targets[0].id, Some(4.0), common::at(0)));
    dispatcher.refresh(common::at(0));
    let placed = place_all(&mut dispatcher, 2_000);
    assert!((1..5).contains(&placed.len()), "{}", placed.len());
    for (request, pick) in &placed {
        dispatcher.record_result(request, pick, UNSENT, common::at(2_000));
    }
    assert_eq!(place_all(&mut dispatcher, 2_000).len(), placed.len());
}

/// Load pattern: retries are allowed, but their requests find no place or lose their callers.
#[test]
fn a_retry_that_is_not_sent_stays_in_the_budget() {
    let targets = [common::target("t0", "a1", 5)];
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    let service = common::service();
    let mut taken = 0;
    while dispatcher.take_retry(&service) {
        taken += 1;
    }
    for _retry in 0..taken {
        dispatcher.return_retry(&service);
    }
    let again = (0..100).take_while(|_n| dispatcher.take_retry(&service));
    assert_eq!(again.count(), taken);
    for _retry in 0..2 * taken {
        dispatcher.return_retry(&service);
    }
    let most = (0..100).take_while(|_n| dispatcher.take_retry(&service));
    assert_eq!(most.count(), taken, "the budget does not grow");
}

/// Load pattern: the end of a request is never recorded. Its target must not stay silent for good.
#[test]
fn a_request_without_an_end_counts_no_longer_than_its_deadline_and_a_margin() {
    let targets = [common::target("t0", "a1", 5)];
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    let request = common::request("stock", 2, "o", common::at(0));
    assert!(common::sent_to(&dispatcher.place(&request, common::at(0))).is_some());
    dispatcher.refresh(common::at(5_900));
    assert_eq!(dispatcher.owed_answers(common::at(5_900)).1.len(), 1);
    assert_eq!(dispatcher.overdue(), 0);
    dispatcher.refresh(common::at(6_100));
    let (owed, silent) = dispatcher.owed_answers(common::at(6_100));
    assert_eq!((owed, silent.len(), dispatcher.overdue()), (0, 0, 1));
}
