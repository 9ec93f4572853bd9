//! The parts of a divided budget: holder, owner, shares and claims one by one.

use std::time;

use skylark_core::budget;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

const SCHEDULES: u64 = 2_000;
const SIZE: u64 = 256;

fn at(millis: u64) -> instant::Instant {
    instant::Instant::from_millis(millis)
}

fn whole(rate: u64, burst: u64) -> budget::Limit {
    budget::Limit::of_requests(unit::Rate::per_second(rate), burst)
}

fn holder(name: &str) -> budget::Limiter {
    let name = name::Incarnation::new(name).expect("name");
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
    let tenure = lease::Term::new(1, at(60_000));
    let timing = budget::Timing::default();
    let mut owner = budget::Owner::new(tenure, reading(budget::Share::NONE, 60_000), timing);
    owner.set_limit(0, whole(rate, burst), at(0));
    owner.set_limit(1, whole(rate, burst), at(0));
    owner
}

fn charge(line: usize) -> budget::Charge {
    budget::Charge {
        index: line,
        amount: budget::Amount::TOKEN,
    }
}

fn is_admitted(holder: &mut budget::Limiter, lines: &[usize], now: instant::Instant) -> bool {
    let charges: Vec<budget::Charge> = lines.iter().map(|line| charge(*line)).collect();
    holder.admit(&charges, record::Shortage::Ask, now) == budget::Verdict::Admit
}

fn count(holder: &mut budget::Limiter, line: usize, now: instant::Instant) -> usize {
    (0..1_000)
        .filter(|_| is_admitted(holder, &[line], now))
        .count()
}

/// Returns an owner and a holder that knows it and is short of tokens.
fn pair() -> (budget::Owner, budget::Limiter) {
    let mut owner = owner(100, 50);
    let mut holder = holder("one");
    holder.set_limit(0, whole(100, 50), at(0));
    holder.set_limit(1, whole(100, 50), at(0));
    let ask = holder.poll(at(1_000)).expect("ask");
    let answer = owner.answer(&ask, at(1_001)).expect("answer");
    holder.apply_reply(&answer, at(1_002));
    assert!(!is_admitted(&mut holder, &[0], at(1_002)));
    (owner, holder)
}

#[test]
fn a_refused_request_charges_none_of_its_budgets() {
    let mut holder = holder("one");
    holder.set_limit(0, whole(10, 10), at(0));
    holder.set_limit(1, whole(10, 2), at(0));
    holder.set_share(budget::Share::WHOLE, at(0));
    let now = at(3_000);
    for _ in 0..20 {
        let _verdict = holder.admit(
            &[charge(0), charge(1), charge(1), charge(1)],
            record::Shortage::Ask,
            now,
        );
    }
    assert_eq!(count(&mut holder, 1, now), 2);
    assert_eq!(count(&mut holder, 0, now), 10);
}

#[test]
fn an_answer_is_banked_once_and_only_to_the_newest_ask() {
    let (mut owner, mut holder) = pair();
    let first = holder.poll(at(1_003)).expect("ask");
    let late = owner.answer(&first, at(1_004)).expect("answer");
    let second = holder.poll(at(1_300)).expect("ask after the timeout");
    holder.apply_reply(&late, at(1_301));
    assert_eq!(count(&mut holder, 0, at(1_301)), 0);
    let answer = owner.answer(&second, at(1_302)).expect("answer");
    let tokens = answer.grants[0].tokens.as_micros() / 1_000_000;
    assert!(tokens > 0);
    holder.apply_reply(&answer, at(1_303));
    holder.apply_reply(&answer, at(1_304));
    let admitted = count(&mut holder, 0, at(1_304));
    assert_eq!(admitted, usize::try_from(tokens).expect("small"));
}

#[test]
fn an_ask_is_answered_once() {
    let (mut owner, mut holder) = pair();
    let ask = holder.poll(at(1_003)).expect("ask");
    assert!(owner.answer(&ask, at(1_004)).is_some());
    assert!(owner.answer(&ask, at(1_005)).is_none());
}

#[test]
fn an_owner_answers_only_in_its_tenure() {
    let (mut owner, mut holder) = pair();
    let ask = holder.poll(at(1_003)).expect("ask");
    assert!(owner.answer(&ask, at(60_000)).is_none());
}

#[test]
fn lent_tokens_live_from_before_the_ask_was_sent() {
    let (mut owner, mut holder) = pair();
    let ask = holder.poll(at(1_003)).expect("ask");
    let answer = owner.answer(&ask, at(1_004)).expect("answer");
    holder.apply_reply(&answer, at(1_200));
    assert!(is_admitted(&mut holder, &[0], at(1_990)));
    assert!(!is_admitted(&mut holder, &[0], at(2_010)));
}

#[test]
fn a_loan_ends_for_its_holder_before_it_ends_for_the_owner() {
    for number in 0..SCHEDULES {
        arbtest::arbtest(|u| {
            let timing = budget::Timing {
                max_drift_ppm: u.int_in_range(0..=100_000)?,
                ..budget::Timing::default()
            };
            let span = time::Duration::from_micros(u.int_in_range(0..=100_000_000)?);
            let slow = u128::from(1_000_000 - timing.max_drift_ppm);
            let fast = u128::from(1_000_000 + timing.max_drift_ppm);
            let holder = timing.shorten_for_drift(span).as_micros() * 1_000_000 / slow;
            let owner = span.as_micros() * 1_000_000 / fast;
            assert!(holder <= owner, "{timing:?} {span:?}");
            let sure = timing.lengthen_for_drift(span).as_micros() * 1_000_000 / fast;
            assert!(sure >= span.as_micros() * 1_000_000 / slow);
            Ok(())
        })
        .seed((number << 32) | SIZE);
    }
}

#[test]
fn loans_beyond_a_part_that_has_shrunk_expire() {
    let (mut owner, mut holder) = pair();
    let ask = holder.poll(at(1_003)).expect("ask");
    holder.apply_reply(&owner.answer(&ask, at(1_004)).expect("answer"), at(1_005));
    let tenure = lease::Term::new(1, at(60_000));
    owner.renew(tenure, reading(budget::Share::WHOLE, 70_000), at(1_006));
    for millis in (1_110..3_500).step_by(110) {
        let Some(ask) = holder.poll(at(millis)) else {
            continue;
        };
        let answer = owner.answer(&ask, at(millis)).expect("answer");
        holder.apply_reply(&answer, at(millis + 1));
        assert!(
            answer
                .grants
                .iter()
                .all(|grant| grant.tokens == budget::Amount::ZERO)
        );
    }
    assert!(!is_admitted(&mut holder, &[0], at(3_500)));
}

#[test]
fn a_frozen_holder_gives_its_slots_up() {
    let mut holder = holder("one");
    holder.set_limit(0, whole(10, 10), at(0));
    holder.set_share(budget::Share::WHOLE, at(0));
    assert!(is_admitted(&mut holder, &[0], at(4_000)));
    assert!(!is_admitted(&mut holder, &[0], at(9_000)));
}

#[test]
fn fresh_slots_start_without_tokens() {
    let mut holder = holder("one");
    holder.set_limit(0, whole(10, 10), at(0));
    holder.set_share(budget::Share::WHOLE, at(4_000));
    assert_eq!(count(&mut holder, 0, at(4_000)), 0);
}

#[test]
fn tokens_on_their_way_to_the_owner_count_against_the_slots_burst() {
    let mut holder = holder("one");
    holder.set_limit(0, whole(100, 40), at(0));
    holder.set_share(budget::Share::WHOLE, at(0));
    let ask = holder.poll(at(100)).expect("ask");
    let hello = budget::Reply {
        epoch: 1,
        seq: ask.seq,
        grants: Vec::new(),
        low: Vec::new(),
    };
    holder.apply_reply(&hello, at(101));
    let ask = holder.poll(at(1_000)).expect("ask");
    let needy = budget::Reply {
        seq: ask.seq,
        low: vec![budget::LowBudget {
            budget: 0,
            is_scarce: false,
        }],
        ..hello
    };
    holder.apply_reply(&needy, at(1_001));
    let mut freed = budget::Amount::ZERO;
    for millis in (1_300..4_000).step_by(300) {
        let ask = holder.poll(at(millis)).expect("ask");
        let reports = ask.reports.iter().map(|report| report.passed_on);
        freed = reports.fold(freed, budget::Amount::max);
    }
    assert!(freed >= budget::Amount::from_tokens(5), "{freed}");
    let left = u64::try_from(count(&mut holder, 0, at(4_000))).expect("small");
    let sum = freed.saturating_add(budget::Amount::from_tokens(left));
    assert!(sum <= budget::Amount::from_tokens(40), "{freed} and {left}");
}

#[test]
fn an_owner_with_an_old_reading_counts_every_slot_as_claimed() {
    let tenure = lease::Term::new(1, at(60_000));
    let reading = budget::Reading {
        claimed: budget::Share::NONE,
        limit: budget::Share::WHOLE,
        until: at(5_000),
    };
    let mut owner = budget::Owner::new(tenure, reading, budget::Timing::default());
    owner.set_limit(0, whole(100, 50), at(0));
    owner.renew(tenure, reading, at(1));
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
        let ask = budget::Request {
            holder: name::Incarnation::new("one").expect("name"),
            epoch: 1,
            seq,
            reports: vec![report],
        };
        owner.answer(&ask, at(now)).expect("answer").grants[0].tokens
    };
    assert_eq!(lend(1, 4_999), budget::Amount::TOKEN);
    assert_eq!(lend(2, 5_000), budget::Amount::ZERO);
}

#[test]
fn parts_under_two_versions_stay_within_the_larger() {
    for number in 0..SCHEDULES {
        arbtest::arbtest(|u| {
            let timing = budget::Timing {
                max_drift_ppm: 0,
                ..budget::Timing::default()
            };
            let zones = u.int_in_range(1..=9)?;
            let slots = u.int_in_range(1..=12)?;
            let mut claimed = budget::Share::NONE;
            let wholes = [
                whole(u.int_in_range(0..=9_999)?, u.int_in_range(0..=9_999)?),
                whole(u.int_in_range(0..=9_999)?, u.int_in_range(0..=9_999)?),
            ];
            let mut rates = 0;
            let mut bursts = 0;
            let mut add = |part: budget::Limit| {
                rates += part.rate.as_micros();
                bursts += part.burst.as_micros();
            };
            for _ in 0..u.int_in_range(0..=zones * slots)? {
                let points = u.int_in_range(0..=10_000)?;
                let reserve = unit::Percent::from_basis_points(points);
                let plan = budget::Reserve {
                    percent: reserve,
                    zones,
                    slots,
                };
                claimed = claimed.plus(plan.share());
                add(plan
                    .share()
                    .of(wholes[usize::from(u.arbitrary::<bool>()?)], &timing));
            }
            add(claimed
                .complement()
                .of(wholes[usize::from(u.arbitrary::<bool>()?)], &timing));
            assert!(rates <= wholes[0].rate.max(wholes[1].rate).as_micros());
            assert!(bursts <= wholes[0].burst.max(wholes[1].burst).as_micros());
            Ok(())
        })
        .seed((number << 32) | SIZE);
    }
}

fn plan() -> budget::Reserve {
    budget::Reserve {
        percent: unit::Percent::from_basis_points(5_000),
        zones: 2,
        slots: 2,
    }
}

fn claim() -> budget::Claim {
    budget::Claim::new(
        name::Host::new("h").expect("name"),
        name::Incarnation::new("h-1").expect("name"),
        name::Zone::new("z").expect("name"),
        2,
    )
}

#[test]
fn a_claim_whose_answer_was_lost_is_resolved_by_reading_back() {
    let timing = budget::Timing::default();
    let mut claim = claim();
    claim.on_event(budget::Event::Read(&[]), &plan(), &timing, at(0));
    let budget::Step::Write(slots) = claim.next_step(at(0)) else {
        panic!("no write");
    };
    claim.on_event(budget::Event::Unanswered, &plan(), &timing, at(1));
    assert_eq!(claim.next_step(at(1)), budget::Step::Read);
    claim.on_event(budget::Event::Read(&slots), &plan(), &timing, at(2));
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
    claim.on_event(budget::Event::Read(&[]), &plan(), &timing, at(0));
    let budget::Step::Write(slots) = claim.next_step(at(0)) else {
        panic!("no write");
    };
    claim.on_event(budget::Event::Unanswered, &plan(), &timing, at(1));
    claim.on_event(budget::Event::Read(&[]), &plan(), &timing, at(2));
    assert_eq!(claim.next_step(at(2)), budget::Step::Write(slots.clone()));
    claim.on_event(budget::Event::Conflict, &plan(), &timing, at(3));
    claim.on_event(budget::Event::Read(&slots), &plan(), &timing, at(4));
    assert_eq!(
        claim.next_step(at(4)),
        budget::Step::Wait(at(4) + timing.settling_delay())
    );
}

#[test]
fn a_forfeit_claim_settles_anew() {
    let timing = budget::Timing::default();
    let mut claim = claim();
    claim.on_event(budget::Event::Read(&[]), &plan(), &timing, at(0));
    let budget::Step::Write(slots) = claim.next_step(at(0)) else {
        panic!("no write");
    };
    claim.on_event(budget::Event::Written, &plan(), &timing, at(1));
    claim.on_event(budget::Event::Forfeited, &plan(), &timing, at(9_000));
    assert_eq!(claim.next_step(at(9_000)), budget::Step::Read);
    claim.on_event(budget::Event::Read(&slots), &plan(), &timing, at(9_001));
    let settled = at(9_001) + timing.settling_delay();
    assert_eq!(claim.next_step(at(9_002)), budget::Step::Wait(settled));
}

#[test]
fn a_slot_is_freed_only_after_its_frozen_holder_would_give_it_up() {
    let timing = budget::Timing::default();
    assert!(!budget::Slot::is_reclaimable(
        at(0),
        &timing,
        at(0) + timing.max_pause
    ));
    let bound = timing.lengthen_for_drift(timing.max_pause) + time::Duration::from_micros(1);
    assert!(budget::Slot::is_reclaimable(at(0), &timing, at(0) + bound));
}
