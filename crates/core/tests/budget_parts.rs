//! Distributed budgets: the limiter, owner, shares and claims, each on its own.

use std::time;

use skylark_core::budget;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

const SCHEDULES: u64 = 2_000;
/// Size of the random input of one schedule, in bytes.
const INPUT_BYTES: u64 = 256;

fn at(millis: u64) -> instant::Instant {
    instant::Instant::from_millis(millis)
}

fn limit(rate: u64, burst: u64) -> budget::Limit {
    budget::Limit::of_requests(unit::Rate::per_second(rate), burst)
}

fn limiter(name: &str) -> budget::Limiter {
    let name = name::Incarnation::new(name).expect("valid name");
    budget::Limiter::new(name, budget::Timing::default(), at(0))
}

fn reading(claimed: budget::Share, until: u64) -> budget::Reading {
    budget::Reading {
        claimed,
        limit: claimed,
        until: at(until),
    }
}

fn owner(rate: u64, burst: u64) -> budget::Owner {
    let term = lease::Term::new(1, at(60_000));
    let timing = budget::Timing::default();
    let mut owner = budget::Owner::new(term, reading(budget::Share::NONE, 60_000), timing);
    owner.set_limit(0, limit(rate, burst), at(0));
    owner.set_limit(1, limit(rate, burst), at(0));
    owner
}

fn charge(index: usize) -> budget::Charge {
    budget::Charge {
        index,
        amount: budget::Amount::TOKEN,
    }
}

fn is_admitted(limiter: &mut budget::Limiter, indices: &[usize], now: instant::Instant) -> bool {
    let charges: Vec<budget::Charge> = indices.iter().map(|index| charge(*index)).collect();
    limiter.admit(&charges, record::Shortage::Ask, now) == budget::Verdict::Admit
}

fn count_admitted(limiter: &mut budget::Limiter, index: usize, now: instant::Instant) -> usize {
    (0..1_000)
        .filter(|_| is_admitted(limiter, &[index], now))
        .count()
}

/// Returns an owner, and a limiter that has joined its epoch and lacks tokens.
fn owner_and_limiter() -> (budget::Owner, budget::Limiter) {
    let mut owner = owner(100, 50);
    let mut limiter = limiter("one");
    limiter.set_limit(0, limit(100, 50), at(0));
    limiter.set_limit(1, limit(100, 50), at(0));
    let request = limiter.poll(at(1_000)).expect("request");
    let reply = owner.answer(&request, at(1_001)).expect("reply");
    limiter.apply_reply(&reply, at(1_002));
    assert!(!is_admitted(&mut limiter, &[0], at(1_002)));
    (owner, limiter)
}

#[test]
fn a_refused_request_charges_none_of_its_budgets() {
    let mut limiter = limiter("one");
    limiter.set_limit(0, limit(10, 10), at(0));
    limiter.set_limit(1, limit(10, 2), at(0));
    limiter.set_share(budget::Share::WHOLE, at(0));
    let now = at(3_000);
    for _ in 0..20 {
        let _verdict = limiter.admit(
            &[charge(0), charge(1), charge(1), charge(1)],
            record::Shortage::Ask,
            now,
        );
    }
    assert_eq!(count_admitted(&mut limiter, 1, now), 2);
    assert_eq!(count_admitted(&mut limiter, 0, now), 10);
}

#[test]
fn a_reply_is_applied_once_and_only_to_the_newest_request() {
    let (mut owner, mut limiter) = owner_and_limiter();
    let first_request = limiter.poll(at(1_003)).expect("request");
    let late_reply = owner.answer(&first_request, at(1_004)).expect("reply");
    let second_request = limiter.poll(at(1_300)).expect("request after the time-out");
    limiter.apply_reply(&late_reply, at(1_301));
    assert_eq!(count_admitted(&mut limiter, 0, at(1_301)), 0);
    let reply = owner.answer(&second_request, at(1_302)).expect("reply");
    let tokens = reply.grants[0].tokens.as_micros() / 1_000_000;
    assert!(tokens > 0);
    limiter.apply_reply(&reply, at(1_303));
    limiter.apply_reply(&reply, at(1_304));
    let admitted = count_admitted(&mut limiter, 0, at(1_304));
    assert_eq!(admitted, usize::try_from(tokens).expect("fits"));
}

#[test]
fn a_request_is_answered_once() {
    let (mut owner, mut limiter) = owner_and_limiter();
    let request = limiter.poll(at(1_003)).expect("request");
    assert!(owner.answer(&request, at(1_004)).is_some());
    assert!(owner.answer(&request, at(1_005)).is_none());
}

#[test]
fn an_owner_answers_only_in_its_term() {
    let (mut owner, mut limiter) = owner_and_limiter();
    let request = limiter.poll(at(1_003)).expect("request");
    assert!(owner.answer(&request, at(60_000)).is_none());
}

#[test]
fn lent_tokens_expire_counted_from_before_the_request_was_sent() {
    let (mut owner, mut limiter) = owner_and_limiter();
    let request = limiter.poll(at(1_003)).expect("request");
    let reply = owner.answer(&request, at(1_004)).expect("reply");
    limiter.apply_reply(&reply, at(1_200));
    assert!(is_admitted(&mut limiter, &[0], at(1_990)));
    assert!(!is_admitted(&mut limiter, &[0], at(2_010)));
}

#[test]
fn a_loan_ends_for_its_limiter_before_it_ends_for_the_owner() {
    for number in 0..SCHEDULES {
        arbtest::arbtest(|u| {
            let timing = budget::Timing {
                max_drift_ppm: u.int_in_range(0..=100_000)?,
                ..budget::Timing::default()
            };
            let span = time::Duration::from_micros(u.int_in_range(0..=100_000_000)?);
            let slow = u128::from(1_000_000 - timing.max_drift_ppm);
            let fast = u128::from(1_000_000 + timing.max_drift_ppm);
            let limiter = timing.shorten_for_drift(span).as_micros() * 1_000_000 / slow;
            let owner = span.as_micros() * 1_000_000 / fast;
            assert!(limiter <= owner, "{timing:?} {span:?}");
            let sure = timing.lengthen_for_drift(span).as_micros() * 1_000_000 / fast;
            assert!(sure >= span.as_micros() * 1_000_000 / slow);
            Ok(())
        })
        .seed((number << 32) | INPUT_BYTES);
    }
}

#[test]
fn loans_above_a_reduced_limit_expire() {
    let (mut owner, mut limiter) = owner_and_limiter();
    let request = limiter.poll(at(1_003)).expect("request");
    limiter.apply_reply(
        &owner.answer(&request, at(1_004)).expect("reply"),
        at(1_005),
    );
    let term = lease::Term::new(1, at(60_000));
    owner.renew(term, reading(budget::Share::WHOLE, 70_000), at(1_006));
    for millis in (1_110..3_500).step_by(110) {
        let Some(request) = limiter.poll(at(millis)) else {
            continue;
        };
        let reply = owner.answer(&request, at(millis)).expect("reply");
        limiter.apply_reply(&reply, at(millis + 1));
        assert!(
            reply
                .grants
                .iter()
                .all(|grant| grant.tokens == budget::Amount::ZERO)
        );
    }
    assert!(!is_admitted(&mut limiter, &[0], at(3_500)));
}

#[test]
fn a_frozen_limiter_gives_up_its_slots() {
    let mut limiter = limiter("one");
    limiter.set_limit(0, limit(10, 10), at(0));
    limiter.set_share(budget::Share::WHOLE, at(0));
    assert!(is_admitted(&mut limiter, &[0], at(4_000)));
    assert!(!is_admitted(&mut limiter, &[0], at(9_000)));
}

#[test]
fn new_slots_start_without_tokens() {
    let mut limiter = limiter("one");
    limiter.set_limit(0, limit(10, 10), at(0));
    limiter.set_share(budget::Share::WHOLE, at(4_000));
    assert_eq!(count_admitted(&mut limiter, 0, at(4_000)), 0);
}

#[test]
fn tokens_in_transit_to_the_owner_count_against_the_slots_burst() {
    let mut limiter = limiter("one");
    limiter.set_limit(0, limit(100, 40), at(0));
    limiter.set_share(budget::Share::WHOLE, at(0));
    let request = limiter.poll(at(100)).expect("request");
    let empty_reply = budget::Reply {
        epoch: 1,
        seq: request.seq,
        grants: Vec::new(),
        low: Vec::new(),
    };
    limiter.apply_reply(&empty_reply, at(101));
    let request = limiter.poll(at(1_000)).expect("request");
    let low_reply = budget::Reply {
        seq: request.seq,
        low: vec![budget::LowBudget {
            budget: 0,
            is_scarce: false,
        }],
        ..empty_reply
    };
    limiter.apply_reply(&low_reply, at(1_001));
    let mut passed_on = budget::Amount::ZERO;
    for millis in (1_300..4_000).step_by(300) {
        let request = limiter.poll(at(millis)).expect("request");
        let reports = request.reports.iter().map(|report| report.passed_on);
        passed_on = reports.fold(passed_on, budget::Amount::max);
    }
    assert!(passed_on >= budget::Amount::from_tokens(5), "{passed_on}");
    let left = u64::try_from(count_admitted(&mut limiter, 0, at(4_000))).expect("fits");
    let sum = passed_on.saturating_add(budget::Amount::from_tokens(left));
    assert!(
        sum <= budget::Amount::from_tokens(40),
        "{passed_on} and {left}"
    );
}

#[test]
fn an_owner_with_an_old_reading_counts_every_slot_as_claimed() {
    let term = lease::Term::new(1, at(60_000));
    let reading = budget::Reading {
        claimed: budget::Share::NONE,
        limit: budget::Share::WHOLE,
        until: at(5_000),
    };
    let mut owner = budget::Owner::new(term, reading, budget::Timing::default());
    owner.set_limit(0, limit(100, 50), at(0));
    owner.renew(term, reading, at(1));
    let mut lend = |seq: u64, now: u64| {
        let report = budget::Report {
            budget: 0,
            unspent: budget::Amount::ZERO,
            spent: budget::Amount::ZERO,
            passed_on: budget::Amount::ZERO,
            missing: budget::Amount::TOKEN,
            want: budget::Amount::ZERO,
            demand: budget::Amount::ZERO,
        };
        let request = budget::Request {
            limiter: name::Incarnation::new("one").expect("valid name"),
            epoch: 1,
            seq,
            reports: vec![report],
        };
        owner.answer(&request, at(now)).expect("reply").grants[0].tokens
    };
    assert_eq!(lend(1, 4_999), budget::Amount::TOKEN);
    assert_eq!(lend(2, 5_000), budget::Amount::ZERO);
}

#[test]
fn shares_of_two_versions_stay_within_the_larger_limit() {
    for number in 0..SCHEDULES {
        arbtest::arbtest(|u| {
            let timing = budget::Timing {
                max_drift_ppm: 0,
                ..budget::Timing::default()
            };
            let zones = u.int_in_range(1..=9)?;
            let slots = u.int_in_range(1..=12)?;
            let mut claimed = budget::Share::NONE;
            let versions = [
                limit(u.int_in_range(0..=9_999)?, u.int_in_range(0..=9_999)?),
                limit(u.int_in_range(0..=9_999)?, u.int_in_range(0..=9_999)?),
            ];
            let mut rates = 0;
            let mut bursts = 0;
            let mut add = |part: budget::Limit| {
                rates += part.rate.as_micros();
                bursts += part.burst.as_micros();
            };
            for _ in 0..u.int_in_range(0..=zones * slots)? {
                let points = u.int_in_range(0..=10_000)?;
                let percent = unit::Percent::from_basis_points(points);
                let reserve = budget::Reserve {
                    percent,
                    zones,
                    slots,
                };
                claimed = claimed.plus(reserve.share());
                add(reserve
                    .share()
                    .of(versions[usize::from(u.arbitrary::<bool>()?)], &timing));
            }
            add(claimed
                .complement()
                .of(versions[usize::from(u.arbitrary::<bool>()?)], &timing));
            assert!(rates <= versions[0].rate.max(versions[1].rate).as_micros());
            assert!(bursts <= versions[0].burst.max(versions[1].burst).as_micros());
            Ok(())
        })
        .seed((number << 32) | INPUT_BYTES);
    }
}

fn reserve() -> budget::Reserve {
    budget::Reserve {
        percent: unit::Percent::from_basis_points(5_000),
        zones: 2,
        slots: 2,
    }
}

fn claim() -> budget::Claim {
    budget::Claim::new(
        name::Host::new("h").expect("valid name"),
        name::Incarnation::new("h-1").expect("valid name"),
        name::Zone::new("z").expect("valid name"),
        2,
    )
}

#[test]
fn a_claim_without_a_reply_is_resolved_by_reading_the_rows() {
    let timing = budget::Timing::default();
    let mut claim = claim();
    claim.on_event(budget::Event::Read(&[]), &reserve(), &timing, at(0));
    let budget::Step::Write(slots) = claim.next_step(at(0)) else {
        panic!("expected a write");
    };
    claim.on_event(budget::Event::Unanswered, &reserve(), &timing, at(1));
    assert_eq!(claim.next_step(at(1)), budget::Step::Read);
    claim.on_event(budget::Event::Read(&slots), &reserve(), &timing, at(2));
    let settled = at(2) + timing.settling_delay();
    assert_eq!(claim.next_step(at(3)), budget::Step::Wait(settled));
    let share = budget::Slot::total_share(&slots);
    assert_eq!(claim.next_step(settled), budget::Step::Spend(share));
    assert_eq!(claim.next_step(settled), budget::Step::Done);
}

#[test]
fn a_claim_that_a_late_write_completed_takes_no_second_set_of_slots() {
    let timing = budget::Timing::default();
    let mut claim = claim();
    claim.on_event(budget::Event::Read(&[]), &reserve(), &timing, at(0));
    let budget::Step::Write(slots) = claim.next_step(at(0)) else {
        panic!("expected a write");
    };
    claim.on_event(budget::Event::Unanswered, &reserve(), &timing, at(1));
    claim.on_event(budget::Event::Read(&[]), &reserve(), &timing, at(2));
    assert_eq!(claim.next_step(at(2)), budget::Step::Write(slots.clone()));
    claim.on_event(budget::Event::Conflict, &reserve(), &timing, at(3));
    claim.on_event(budget::Event::Read(&slots), &reserve(), &timing, at(4));
    assert_eq!(
        claim.next_step(at(4)),
        budget::Step::Wait(at(4) + timing.settling_delay())
    );
}

#[test]
fn a_forfeited_claim_waits_for_the_settling_delay_again() {
    let timing = budget::Timing::default();
    let mut claim = claim();
    claim.on_event(budget::Event::Read(&[]), &reserve(), &timing, at(0));
    let budget::Step::Write(slots) = claim.next_step(at(0)) else {
        panic!("expected a write");
    };
    claim.on_event(budget::Event::Written, &reserve(), &timing, at(1));
    claim.on_event(budget::Event::Forfeited, &reserve(), &timing, at(9_000));
    assert_eq!(claim.next_step(at(9_000)), budget::Step::Read);
    claim.on_event(budget::Event::Read(&slots), &reserve(), &timing, at(9_001));
    let settled = at(9_001) + timing.settling_delay();
    assert_eq!(claim.next_step(at(9_002)), budget::Step::Wait(settled));
}

#[test]
fn a_slot_is_freed_only_after_its_frozen_process_would_give_it_up() {
    let timing = budget::Timing::default();
    assert!(!budget::Slot::is_reclaimable(
        at(0),
        &timing,
        at(0) + timing.max_pause
    ));
    let bound = timing.lengthen_for_drift(timing.max_pause) + time::Duration::from_micros(1);
    assert!(budget::Slot::is_reclaimable(at(0), &timing, at(0) + bound));
}
