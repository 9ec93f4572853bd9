//! The load view leaves out what must be left out, and no report or fault misleads it.

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::unit;
use skylark_testing as testing;

type Unstructured<'a> = arbtest::arbitrary::Unstructured<'a>;

const ZONES: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLI;

/// Builds three regions of two zones with `count` targets spread over them.
fn catalog(count: usize, drained: Option<usize>) -> catalog::Catalog {
    let mut text = String::from(
        "schema: 1
region: {name: a, zones: [a-1, a-2], delay: 3ms}
---
schema: 1
region: {name: b, zones: [b-1, b-2], delay: 3ms}
---
schema: 1
region: {name: c, zones: [c-1, c-2], delay: 3ms}
---
schema: 1
link: {name: ab, between: [a, b], bandwidth: 4000Mbit/s, delay: 35ms}
---
schema: 1
link: {name: ac, between: [a, c], bandwidth: 4000Mbit/s, delay: 35ms}
---
schema: 1
service: {name: s, routes: [{methods: [GET], path: /s, access: open, idempotent: true}], deadline: 2s, queue: 64, objective: {good: 99.9%, within: 250ms}}
",
    );
    for (number, zone) in (0..count).zip(ZONES.iter().cycle()) {
        let port = 9_000 + number;
        text.extend([format!(
            "---\nschema: 1\ntarget: {{name: t-{number:03}, service: s, zone: {zone}, \
             address: '127.0.0.1:{port}', slots: 5, connections: 330}}\n"
        )]);
    }
    if let Some(number) = drained {
        text.extend([format!(
            "---\nschema: 1\ndrain: {{name: d, subject: {{target: t-{number:03}}}}}\n"
        )]);
    }
    let documents = record::parse(&text).expect("the records are well formed");
    catalog::Catalog::new(unit::Version::new(1), &documents).expect("the records agree")
}

fn service() -> name::Service {
    name::Service::new("s").expect("a name")
}

fn pool(catalog: &catalog::Catalog, earlier: Option<&steer::Pool>, now: u64) -> steer::Pool {
    let zone = name::Zone::new("a-1").expect("a name");
    steer::Pool::new(catalog, &service(), &zone, earlier, at(now))
}

fn at(micros: u64) -> instant::Instant {
    instant::Instant::from_micros(micros)
}

fn seed(number: u64) -> steer::Seed {
    steer::Seed::of(&name::Request::new(&format!("r{number}")).expect("a name"))
}

fn choose(pool: &mut steer::Pool, number: u64, now: u64) -> steer::Choice {
    let ask = steer::TargetQuery::new(seed(number));
    pool.choose(&ask, |_, _| true, at(now)).1
}

/// Takes a random event of a target's life.
fn arbitrary_end(
    u: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<(steer::Completion, steer::LoadReport)> {
    let end = match u.int_in_range(0..=5)? {
        0 => steer::Completion::Shed,
        1 => steer::Completion::Failed,
        2 => steer::Completion::Expired(u.int_in_range(0..=SECOND)?),
        _ => steer::Completion::Answered(u.int_in_range(0..=SECOND)?),
    };
    let word = steer::LoadReport {
        running: u.arbitrary::<bool>()?.then_some(u.int_in_range(0..=20)?),
        is_leaving: u.ratio(1, 20)?,
    };
    Ok((end, word))
}

#[test]
fn a_target_that_is_leaving_by_any_word_gets_no_new_work() {
    testing::check(|u| {
        let count = u.int_in_range(1..=12)?;
        let record = u
            .arbitrary::<bool>()?
            .then_some(u.int_in_range(0..=count - 1)?);
        let mut pool = pool(&catalog(count, record), None, 0);
        let mut running = Vec::new();
        let mut now = 0;
        for number in 0..u.int_in_range(1..=80)? {
            now += u.int_in_range(0..=200 * MILLI)?;
            if u.ratio(1, 8)? {
                let index = u.int_in_range(0..=u32::try_from(count - 1).unwrap_or(0))?;
                let listed =
                    *u.choose(&[steer::HostListing::Leaving, steer::HostListing::Absent])?;
                pool.update_drain(index, |drain| drain.set_list(listed));
            }
            if let steer::Choice::Target(index) = choose(&mut pool, number, now) {
                let target = &pool.targets()[index as usize];
                assert!(!target.drain.is_draining(), "{index} is leaving");
                assert_ne!(Some(index as usize), record, "drained by record");
                pool.start(index, at(now));
                running.push(index);
            }
            if !running.is_empty() && u.ratio(1, 2)? {
                let index = running.swap_remove(u.choose_index(running.len())?);
                let (end, word) = arbitrary_end(u)?;
                pool.finish(index, end, word, at(now));
            }
        }
        Ok(())
    });
}

#[test]
fn every_choice_runs_again_to_the_same_end() {
    testing::check(|u| {
        let mut pool = pool(&catalog(u.int_in_range(0..=14)?, None), None, 0);
        let mut now = 0;
        let to = name::Region::new("b").expect("a name");
        for number in 0..u.int_in_range(1..=60)? {
            now += u.int_in_range(0..=100 * MILLI)?;
            let shifting = steer::ShiftState {
                part: u.int_in_range(0..=steer::WHOLE_BASIS_POINTS)?,
                is_allowed: u.arbitrary()?,
            };
            let shift = steer::RegionShift {
                to: &to,
                state: shifting,
            };
            let ask = steer::TargetQuery::new(seed(number))
                .with_remaining(u.int_in_range(0..=2_000_000)?)
                .with_shift(u.arbitrary::<bool>()?.then_some(shift));
            let allows = u.arbitrary::<bool>()?;
            let (inputs, choice) = pool.choose(&ask, |_, _| allows, at(now));
            assert!(inputs.is_consistent(), "{inputs:?}");
            assert_eq!(inputs.choose(), choice);
            if let steer::Choice::Target(index) = choice {
                pool.start(index, at(now));
                if u.ratio(2, 3)? {
                    let (end, word) = arbitrary_end(u)?;
                    pool.finish(index, end, word, at(now));
                }
            }
        }
        Ok(())
    });
}

#[test]
fn at_most_half_of_the_targets_are_ejected() {
    testing::check(|u| {
        let count: usize = u.int_in_range(1..=12)?;
        let mut pool = pool(&catalog(count, None), None, 0);
        let mut now = 0;
        for _ in 0..u.int_in_range(1..=80)? {
            now += u.int_in_range(0..=500 * MILLI)?;
            let index = u32::try_from(u.choose_index(count)?).unwrap_or(0);
            pool.start(index, at(now));
            pool.finish(
                index,
                steer::Completion::Failed,
                steer::LoadReport::default(),
                at(now),
            );
            let ejected = pool
                .targets()
                .iter()
                .filter(|k| k.outlier.is_ejected(at(now)));
            assert!(ejected.count() * 2 <= count);
            assert_ne!(choose(&mut pool, 1, now), steer::Choice::NoTarget);
        }
        Ok(())
    });
}

#[test]
fn a_failing_target_is_left_out_and_used_again_when_it_works() {
    let mut pool = pool(&catalog(2, None), None, 0);
    for _ in 0..3 {
        pool.start(0, at(0));
        pool.finish(
            0,
            steer::Completion::Failed,
            steer::LoadReport::default(),
            at(0),
        );
    }
    let shares = |pool: &mut steer::Pool, now| {
        (0..200)
            .filter(|n| choose(pool, *n, now) == steer::Choice::Target(0))
            .count()
    };
    assert_eq!(shares(&mut pool, 200 * MILLI), 0, "ejected at once");
    assert!(shares(&mut pool, 2 * SECOND) > 0, "probed after the pause");
    pool.start(0, at(2 * SECOND));
    pool.finish(
        0,
        steer::Completion::Failed,
        steer::LoadReport::default(),
        at(2 * SECOND),
    );
    assert_eq!(
        shares(&mut pool, 3 * SECOND),
        0,
        "a failed probe doubles the pause"
    );
    assert!(shares(&mut pool, 5 * SECOND) > 0, "probed again");
}

#[test]
fn a_target_that_comes_back_is_used_again_after_its_word() {
    let mut pool = pool(&catalog(1, None), None, 0);
    let leaving = steer::LoadReport {
        running: None,
        is_leaving: true,
    };
    pool.start(0, at(0));
    pool.finish(0, steer::Completion::Answered(MILLI), leaving, at(0));
    assert_eq!(choose(&mut pool, 1, MILLI), steer::Choice::NoTarget);
    let hear = |pool: &mut steer::Pool, is_leaving, now| {
        pool.update_drain(0, |drain| drain.update_health(is_leaving, at(now)));
    };
    hear(&mut pool, false, SECOND);
    hear(&mut pool, true, 4 * SECOND);
    hear(&mut pool, false, 7 * SECOND);
    assert_eq!(
        choose(&mut pool, 2, 8 * SECOND),
        steer::Choice::NoTarget,
        "one denial does not count"
    );
    hear(&mut pool, false, 12 * SECOND);
    assert_eq!(choose(&mut pool, 3, 13 * SECOND), steer::Choice::Target(0));
}

/// An operator can bring a target back that said it was leaving.
#[test]
fn the_end_of_a_recorded_drain_ends_the_target_s_word() {
    let mut first = pool(&catalog(1, None), None, 0);
    let leaving = steer::LoadReport {
        running: None,
        is_leaving: true,
    };
    first.start(0, at(0));
    first.finish(0, steer::Completion::Answered(MILLI), leaving, at(0));
    let drained = pool(&catalog(1, Some(0)), Some(&first), SECOND);
    let mut back = pool(&catalog(1, None), Some(&drained), 2 * SECOND);
    assert_eq!(choose(&mut back, 1, 2 * SECOND), steer::Choice::Target(0));
}

/// A target that always reports to be idle while it sheds must not draw the traffic.
#[test]
fn a_target_that_lies_about_its_load_does_not_attract_the_traffic() {
    let honest = share_of_liar(choose);
    let naive = share_of_liar(naive_by_report);
    assert!(naive > 900, "the naive choice sends it {naive} of 1000");
    assert!(honest < 400, "it gets {honest} of 1000");
}

/// Chooses by the last report alone.
fn naive_by_report(pool: &mut steer::Pool, number: u64, now: u64) -> steer::Choice {
    let (inputs, _) = pool.choose(&steer::TargetQuery::new(seed(number)), |_, _| true, at(now));
    let least = inputs.tiers[0]
        .drawn
        .iter()
        .min_by_key(|known| known.reported_load);
    least.map_or(steer::Choice::NoTarget, |known| {
        steer::Choice::Target(known.index)
    })
}

/// Runs 1,000 requests against two targets; target 0 is full, sheds, and reports to be idle.
fn share_of_liar(pick: impl Fn(&mut steer::Pool, u64, u64) -> steer::Choice) -> usize {
    let mut pool = pool(&catalog(7, None), None, 0);
    let mut count = 0;
    for number in 0..1_000 {
        let now = number * 2 * MILLI;
        let steer::Choice::Target(index) = pick(&mut pool, number, now) else {
            continue;
        };
        pool.start(index, at(now));
        let is_liar = index == 0;
        count += usize::from(is_liar);
        let (end, running) = if is_liar {
            (steer::Completion::Shed, 0)
        } else {
            (steer::Completion::Answered(5 * MILLI), 2)
        };
        let word = steer::LoadReport {
            running: Some(running),
            is_leaving: false,
        };
        pool.finish(index, end, word, at(now + MILLI));
    }
    count
}

/// A target that refuses everything, alone in its zone, is asked ever more seldom.
#[test]
fn a_target_that_refuses_everything_is_left_alone() {
    let mut pool = pool(&catalog(6, None), None, 0);
    let mut refusals = 0;
    for number in 0..1_000 {
        let now = number * 100 * MILLI;
        let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
            continue;
        };
        pool.start(index, at(now));
        let is_refusing = index == 0;
        refusals += usize::from(is_refusing);
        let end = if is_refusing {
            steer::Completion::Shed
        } else {
            steer::Completion::Answered(10 * MILLI)
        };
        pool.finish(index, end, steer::LoadReport::default(), at(now));
    }
    assert!((10..80).contains(&refusals), "{refusals} of 1000 in 100 s");
}

/// Targets that wrongly report to be full must not stop the service.
#[test]
fn targets_that_wrongly_report_to_be_full_stay_in_use() {
    let mut pool = pool(&catalog(2, None), None, 0);
    let full = steer::LoadReport {
        running: Some(100),
        is_leaving: false,
    };
    for number in 0..100 {
        let now = number * 10 * MILLI;
        let choice = choose(&mut pool, number, now);
        let steer::Choice::Target(index) = choice else {
            panic!("{choice:?} at request {number}");
        };
        pool.start(index, at(now));
        pool.finish(
            index,
            steer::Completion::Answered(5 * MILLI),
            full,
            at(now + 5 * MILLI),
        );
    }
}

/// Also where it is the only one of the host's zone.
#[test]
fn a_slow_target_gets_less_than_the_fast_ones() {
    for count in [6, 7] {
        let mut pool = pool(&catalog(count, None), None, 0);
        let mut slow = 0;
        for number in 0..3_000 {
            let now = number * 100 * MILLI;
            let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
                continue;
            };
            slow += usize::from(index == 0 && number >= 2_000);
            let time = if index == 0 && number >= 1_000 {
                200 * MILLI
            } else {
                10 * MILLI
            };
            pool.start(index, at(now));
            pool.finish(
                index,
                steer::Completion::Answered(time),
                steer::LoadReport::default(),
                at(now + MILLI),
            );
        }
        assert!((1..50).contains(&slow), "{slow} of 1000, {count} targets");
    }
}

/// Times of a few milliseconds at most say nothing that is worth leaving the zone for.
#[test]
fn a_quick_target_of_the_own_zone_is_kept_although_a_farther_one_is_quicker() {
    let mut pool = pool(&catalog(2, None), None, 0);
    let mut own = 0;
    for number in 0..1_000 {
        let now = number * 10 * MILLI;
        let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
            continue;
        };
        own += usize::from(index == 0);
        let time = if index == 0 {
            2 * MILLI
        } else {
            6 * MILLI + 300
        };
        pool.start(index, at(now));
        let end = steer::Completion::Answered(time);
        pool.finish(index, end, steer::LoadReport::default(), at(now + time));
    }
    assert!(own > 900, "{own} of 1000");
}

/// One late answer may be the network's fault, and costs the own zone nothing.
#[test]
fn one_late_answer_does_not_make_a_target_slow() {
    let mut pool = pool(&catalog(2, None), None, 0);
    let mut own = 0;
    for number in 0..100 {
        let now = number * 10 * MILLI;
        let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
            continue;
        };
        own += usize::from(index == 0);
        let time = if number == 0 { 100 * MILLI } else { MILLI };
        pool.start(index, at(now));
        let end = steer::Completion::Answered(time + u64::from(index) * 6 * MILLI);
        pool.finish(index, end, steer::LoadReport::default(), at(now + time));
    }
    assert!(own > 90, "{own} of 100");
}

/// A time learnt in a bad moment does not refuse tight deadlines for ever.
#[test]
fn tight_deadlines_are_tried_again_after_a_slow_time() {
    let mut pool = pool(&catalog(2, None), None, 0);
    for index in [0, 1] {
        pool.start(index, at(0));
        pool.finish(
            index,
            steer::Completion::Answered(SECOND),
            steer::LoadReport::default(),
            at(SECOND),
        );
    }
    let ask = steer::TargetQuery::new(seed(1)).with_remaining(100_000);
    let choose = |pool: &mut steer::Pool, now| pool.choose(&ask, |_, _| true, at(now)).1;
    assert_eq!(choose(&mut pool, 2 * SECOND), steer::Choice::DeadlineUnmet);
    assert!(matches!(
        choose(&mut pool, 8 * SECOND),
        steer::Choice::Target(_)
    ));
}

#[test]
fn a_new_target_warms_up_before_it_gets_its_full_share() {
    let old = pool(&catalog(1, None), None, 0);
    let mut pool = pool(&catalog(7, None), Some(&old), 0);
    let width = |pool: &mut steer::Pool, now| {
        let (inputs, _) = pool.choose(&steer::TargetQuery::new(seed(1)), |_, _| true, at(now));
        let new = inputs.tiers[0].drawn.iter().find(|known| known.index == 6);
        new.map(steer::Candidate::warm_slots)
    };
    assert_eq!(width(&mut pool, MILLI), Some(1));
    assert_eq!(width(&mut pool, 6 * SECOND), Some(3));
    assert_eq!(width(&mut pool, 10 * SECOND), Some(5));
}

#[test]
fn a_request_is_not_sent_to_the_same_target_twice() {
    testing::check(|u| {
        let mut pool = pool(&catalog(u.int_in_range(1..=12)?, None), None, 0);
        let number = u.arbitrary()?;
        let mut tried = Vec::new();
        for attempt in 1..=steer::RetryBudget::MAX_ATTEMPTS {
            let ask = steer::TargetQuery::new(seed(number)).with_tried(attempt, &tried);
            let (_, choice) = pool.choose(&ask, |_, _| true, at(MILLI));
            if let steer::Choice::Target(index) = choice {
                assert!(!tried.contains(&index));
                tried.push(index);
            }
        }
        Ok(())
    });
}

#[test]
fn other_regions_take_work_only_within_their_budgets() {
    let mut pool = pool(&catalog(12, None), None, 0);
    let mut far = 0;
    for number in 0..200 {
        let ask = steer::TargetQuery::new(seed(number));
        let (_, choice) = pool.choose(&ask, |_, _| false, at(MILLI));
        match choice {
            steer::Choice::Target(index) => pool.start(index, at(MILLI)),
            other => assert_eq!(other, steer::Choice::NoFreeSlot),
        }
        far += pool
            .targets()
            .iter()
            .enumerate()
            .filter(|(i, k)| i % 6 > 1 && k.in_flight() > 0)
            .count();
    }
    assert_eq!(far, 0, "no budget, no work");
    assert!(pool.in_flight() <= 20, "own region's slots bound the work");
    let (_, choice) = pool.choose(&steer::TargetQuery::new(seed(1)), |_, _| true, at(MILLI));
    assert!(matches!(choice, steer::Choice::Target(index) if index % 6 > 1));
}
