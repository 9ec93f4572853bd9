//! Tests that the target pool excludes draining and failing targets and resists false reports.

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::unit;
use skylark_testing as testing;

type Unstructured<'a> = arbtest::arbitrary::Unstructured<'a>;

const ZONES: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
const MILLI_MICROS: u64 = 1_000;
const SECOND_MICROS: u64 = 1_000 * MILLI_MICROS;

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
    let query = steer::TargetQuery::new(seed(number));
    pool.choose(&query, |_, _| true, at(now)).1
}

/// Returns a random completion of a request with a load report.
fn arbitrary_completion(
    u: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<(steer::Completion, steer::LoadReport)> {
    let completion = match u.int_in_range(0..=5)? {
        0 => steer::Completion::Shed,
        1 => steer::Completion::Failed,
        2 => steer::Completion::Expired(u.int_in_range(0..=SECOND_MICROS)?),
        _ => steer::Completion::Answered(u.int_in_range(0..=SECOND_MICROS)?),
    };
    let report = steer::LoadReport {
        running: u.arbitrary::<bool>()?.then_some(u.int_in_range(0..=20)?),
        is_leaving: u.ratio(1, 20)?,
    };
    Ok((completion, report))
}

#[test]
fn a_draining_target_gets_no_new_requests() {
    testing::check(|u| {
        let count = u.int_in_range(1..=12)?;
        let record = u
            .arbitrary::<bool>()?
            .then_some(u.int_in_range(0..=count - 1)?);
        let mut pool = pool(&catalog(count, record), None, 0);
        let mut running = Vec::new();
        let mut now = 0;
        for number in 0..u.int_in_range(1..=80)? {
            now += u.int_in_range(0..=200 * MILLI_MICROS)?;
            if u.ratio(1, 8)? {
                let index = u.int_in_range(0..=u32::try_from(count - 1).unwrap_or(0))?;
                let listed =
                    *u.choose(&[steer::HostListing::Leaving, steer::HostListing::Absent])?;
                pool.update_drain(index, |drain| drain.set_list(listed));
            }
            if let steer::Choice::Target(index) = choose(&mut pool, number, now) {
                let target = &pool.targets()[index as usize];
                assert!(!target.drain.is_draining(), "target {index} is draining");
                assert_ne!(
                    Some(index as usize),
                    record,
                    "target is drained by a record"
                );
                pool.start(index, at(now));
                running.push(index);
            }
            if !running.is_empty() && u.ratio(1, 2)? {
                let index = running.swap_remove(u.choose_index(running.len())?);
                let (completion, report) = arbitrary_completion(u)?;
                pool.finish(index, completion, report, at(now));
            }
        }
        Ok(())
    });
}

#[test]
fn every_choice_is_reproducible_from_its_inputs() {
    testing::check(|u| {
        let mut pool = pool(&catalog(u.int_in_range(0..=14)?, None), None, 0);
        let mut now = 0;
        let to = name::Region::new("b").expect("a name");
        for number in 0..u.int_in_range(1..=60)? {
            now += u.int_in_range(0..=100 * MILLI_MICROS)?;
            let shifting = steer::ShiftState {
                part: u.int_in_range(0..=steer::WHOLE_BASIS_POINTS)?,
                is_allowed: u.arbitrary()?,
            };
            let shift = steer::RegionShift {
                to: &to,
                state: shifting,
            };
            let query = steer::TargetQuery::new(seed(number))
                .with_remaining(u.int_in_range(0..=2_000_000)?)
                .with_shift(u.arbitrary::<bool>()?.then_some(shift));
            let allows = u.arbitrary::<bool>()?;
            let (inputs, choice) = pool.choose(&query, |_, _| allows, at(now));
            assert!(inputs.is_consistent(), "{inputs:?}");
            assert_eq!(inputs.choose(), choice);
            if let steer::Choice::Target(index) = choice {
                pool.start(index, at(now));
                if u.ratio(2, 3)? {
                    let (completion, report) = arbitrary_completion(u)?;
                    pool.finish(index, completion, report, at(now));
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
            now += u.int_in_range(0..=500 * MILLI_MICROS)?;
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
                .filter(|status| status.outlier.is_ejected(at(now)));
            assert!(ejected.count() * 2 <= count);
            assert_ne!(choose(&mut pool, 1, now), steer::Choice::NoTarget);
        }
        Ok(())
    });
}

#[test]
fn a_failing_target_is_ejected_and_probed_with_backoff() {
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
    let count_choices = |pool: &mut steer::Pool, now| {
        (0..200)
            .filter(|n| choose(pool, *n, now) == steer::Choice::Target(0))
            .count()
    };
    assert_eq!(
        count_choices(&mut pool, 200 * MILLI_MICROS),
        0,
        "ejected after three failures"
    );
    assert!(
        count_choices(&mut pool, 2 * SECOND_MICROS) > 0,
        "probed after the first ejection"
    );
    pool.start(0, at(2 * SECOND_MICROS));
    pool.finish(
        0,
        steer::Completion::Failed,
        steer::LoadReport::default(),
        at(2 * SECOND_MICROS),
    );
    assert_eq!(
        count_choices(&mut pool, 3 * SECOND_MICROS),
        0,
        "a failed probe doubles the ejection"
    );
    assert!(
        count_choices(&mut pool, 5 * SECOND_MICROS) > 0,
        "probed after the second ejection"
    );
}

#[test]
fn health_checks_clear_an_announced_drain() {
    let mut pool = pool(&catalog(1, None), None, 0);
    let leaving = steer::LoadReport {
        running: None,
        is_leaving: true,
    };
    pool.start(0, at(0));
    pool.finish(0, steer::Completion::Answered(MILLI_MICROS), leaving, at(0));
    assert_eq!(choose(&mut pool, 1, MILLI_MICROS), steer::Choice::NoTarget);
    let record_health = |pool: &mut steer::Pool, is_leaving, now| {
        pool.update_drain(0, |drain| drain.update_health(is_leaving, at(now)));
    };
    record_health(&mut pool, false, SECOND_MICROS);
    record_health(&mut pool, true, 4 * SECOND_MICROS);
    record_health(&mut pool, false, 7 * SECOND_MICROS);
    assert_eq!(
        choose(&mut pool, 2, 8 * SECOND_MICROS),
        steer::Choice::NoTarget,
        "an announcement restarts the clear delay"
    );
    record_health(&mut pool, false, 12 * SECOND_MICROS);
    assert_eq!(
        choose(&mut pool, 3, 13 * SECOND_MICROS),
        steer::Choice::Target(0)
    );
}

/// An operator must be able to bring back a target that announced a drain.
#[test]
fn the_end_of_a_recorded_drain_clears_the_announcement() {
    let mut first = pool(&catalog(1, None), None, 0);
    let leaving = steer::LoadReport {
        running: None,
        is_leaving: true,
    };
    first.start(0, at(0));
    first.finish(0, steer::Completion::Answered(MILLI_MICROS), leaving, at(0));
    let drained = pool(&catalog(1, Some(0)), Some(&first), SECOND_MICROS);
    let mut back = pool(&catalog(1, None), Some(&drained), 2 * SECOND_MICROS);
    assert_eq!(
        choose(&mut back, 1, 2 * SECOND_MICROS),
        steer::Choice::Target(0)
    );
}

/// A target that sheds requests but always reports no load must not attract the traffic.
#[test]
fn a_target_with_false_load_reports_does_not_attract_the_traffic() {
    let selected = count_false_reporter(choose);
    let naive = count_false_reporter(choose_by_report);
    assert!(
        naive > 900,
        "a choice by report alone sends it {naive} of 1000 requests"
    );
    assert!(selected < 400, "it gets {selected} of 1000 requests");
}

/// Chooses by the last load report alone, as the reference.
fn choose_by_report(pool: &mut steer::Pool, number: u64, now: u64) -> steer::Choice {
    let (inputs, _) = pool.choose(&steer::TargetQuery::new(seed(number)), |_, _| true, at(now));
    let least = inputs.tiers[0]
        .drawn
        .iter()
        .min_by_key(|candidate| candidate.reported_load);
    least.map_or(steer::Choice::NoTarget, |candidate| {
        steer::Choice::Target(candidate.index)
    })
}

/// Returns how many of 1,000 requests go to target 0 of two, which sheds and reports no load.
fn count_false_reporter(choose: impl Fn(&mut steer::Pool, u64, u64) -> steer::Choice) -> usize {
    let mut pool = pool(&catalog(7, None), None, 0);
    let mut count = 0;
    for number in 0..1_000 {
        let now = number * 2 * MILLI_MICROS;
        let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
            continue;
        };
        pool.start(index, at(now));
        let is_false_reporter = index == 0;
        count += usize::from(is_false_reporter);
        let (completion, running) = if is_false_reporter {
            (steer::Completion::Shed, 0)
        } else {
            (steer::Completion::Answered(5 * MILLI_MICROS), 2)
        };
        let report = steer::LoadReport {
            running: Some(running),
            is_leaving: false,
        };
        pool.finish(index, completion, report, at(now + MILLI_MICROS));
    }
    count
}

/// The only target of a zone sheds everything, so the pauses between requests to it must grow.
#[test]
fn a_target_that_sheds_everything_gets_few_requests() {
    let mut pool = pool(&catalog(6, None), None, 0);
    let mut sheds = 0;
    for number in 0..1_000 {
        let now = number * 100 * MILLI_MICROS;
        let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
            continue;
        };
        pool.start(index, at(now));
        let is_shedding = index == 0;
        sheds += usize::from(is_shedding);
        let completion = if is_shedding {
            steer::Completion::Shed
        } else {
            steer::Completion::Answered(10 * MILLI_MICROS)
        };
        pool.finish(index, completion, steer::LoadReport::default(), at(now));
    }
    assert!(
        (10..80).contains(&sheds),
        "{sheds} of 1000 requests in 100 s were shed"
    );
}

/// Targets that wrongly report to be full must stay in use, or the service would stop.
#[test]
fn targets_that_wrongly_report_to_be_full_stay_in_use() {
    let mut pool = pool(&catalog(2, None), None, 0);
    let full = steer::LoadReport {
        running: Some(100),
        is_leaving: false,
    };
    for number in 0..100 {
        let now = number * 10 * MILLI_MICROS;
        let choice = choose(&mut pool, number, now);
        let steer::Choice::Target(index) = choice else {
            panic!("{choice:?} at request {number}");
        };
        pool.start(index, at(now));
        pool.finish(
            index,
            steer::Completion::Answered(5 * MILLI_MICROS),
            full,
            at(now + 5 * MILLI_MICROS),
        );
    }
}

/// Covers a slow target beside others in the zone, and one that is alone in the zone.
#[test]
fn a_slow_target_gets_fewer_requests_than_fast_ones() {
    for count in [6, 7] {
        let mut pool = pool(&catalog(count, None), None, 0);
        let mut slow = 0;
        for number in 0..3_000 {
            let now = number * 100 * MILLI_MICROS;
            let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
                continue;
            };
            slow += usize::from(index == 0 && number >= 2_000);
            let time = if index == 0 && number >= 1_000 {
                200 * MILLI_MICROS
            } else {
                10 * MILLI_MICROS
            };
            pool.start(index, at(now));
            pool.finish(
                index,
                steer::Completion::Answered(time),
                steer::LoadReport::default(),
                at(now + MILLI_MICROS),
            );
        }
        assert!(
            (1..50).contains(&slow),
            "{slow} of 1000 requests with {count} targets"
        );
    }
}

/// A difference of a few milliseconds must not send requests to another zone.
#[test]
fn a_fast_target_in_the_own_zone_is_preferred_to_a_faster_remote_one() {
    let mut pool = pool(&catalog(2, None), None, 0);
    let mut own = 0;
    for number in 0..1_000 {
        let now = number * 10 * MILLI_MICROS;
        let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
            continue;
        };
        own += usize::from(index == 0);
        let time = if index == 0 {
            2 * MILLI_MICROS
        } else {
            6 * MILLI_MICROS + 300
        };
        pool.start(index, at(now));
        let completion = steer::Completion::Answered(time);
        pool.finish(
            index,
            completion,
            steer::LoadReport::default(),
            at(now + time),
        );
    }
    assert!(own > 900, "{own} of 1000");
}

/// One slow response may be caused by the network, so the own zone must keep its requests.
#[test]
fn one_slow_response_does_not_mark_a_target_as_slow() {
    let mut pool = pool(&catalog(2, None), None, 0);
    let mut own = 0;
    for number in 0..100 {
        let now = number * 10 * MILLI_MICROS;
        let steer::Choice::Target(index) = choose(&mut pool, number, now) else {
            continue;
        };
        own += usize::from(index == 0);
        let time = if number == 0 {
            100 * MILLI_MICROS
        } else {
            MILLI_MICROS
        };
        pool.start(index, at(now));
        let completion = steer::Completion::Answered(time + u64::from(index) * 6 * MILLI_MICROS);
        pool.finish(
            index,
            completion,
            steer::LoadReport::default(),
            at(now + time),
        );
    }
    assert!(own > 90, "{own} of 100");
}

/// Service times of a slow period must not refuse tight deadlines for ever.
#[test]
fn tight_deadlines_are_accepted_again_after_a_slow_period() {
    let mut pool = pool(&catalog(2, None), None, 0);
    for index in [0, 1] {
        pool.start(index, at(0));
        pool.finish(
            index,
            steer::Completion::Answered(SECOND_MICROS),
            steer::LoadReport::default(),
            at(SECOND_MICROS),
        );
    }
    let query = steer::TargetQuery::new(seed(1)).with_remaining(100_000);
    let choose = |pool: &mut steer::Pool, now| pool.choose(&query, |_, _| true, at(now)).1;
    assert_eq!(
        choose(&mut pool, 2 * SECOND_MICROS),
        steer::Choice::DeadlineUnmet
    );
    assert!(matches!(
        choose(&mut pool, 8 * SECOND_MICROS),
        steer::Choice::Target(_)
    ));
}

#[test]
fn a_new_target_reaches_its_full_slots_by_slow_start() {
    let old = pool(&catalog(1, None), None, 0);
    let mut pool = pool(&catalog(7, None), Some(&old), 0);
    let warm_slots = |pool: &mut steer::Pool, now| {
        let (inputs, _) = pool.choose(&steer::TargetQuery::new(seed(1)), |_, _| true, at(now));
        let new = inputs.tiers[0]
            .drawn
            .iter()
            .find(|candidate| candidate.index == 6);
        new.map(steer::Candidate::warm_slots)
    };
    assert_eq!(warm_slots(&mut pool, MILLI_MICROS), Some(1));
    assert_eq!(warm_slots(&mut pool, 6 * SECOND_MICROS), Some(3));
    assert_eq!(warm_slots(&mut pool, 10 * SECOND_MICROS), Some(5));
}

#[test]
fn a_request_is_not_sent_to_the_same_target_twice() {
    testing::check(|u| {
        let mut pool = pool(&catalog(u.int_in_range(1..=12)?, None), None, 0);
        let number = u.arbitrary()?;
        let mut tried = Vec::new();
        for attempt in 1..=steer::RetryBudget::MAX_ATTEMPTS {
            let query = steer::TargetQuery::new(seed(number)).with_tried(attempt, &tried);
            let (_, choice) = pool.choose(&query, |_, _| true, at(MILLI_MICROS));
            if let steer::Choice::Target(index) = choice {
                assert!(!tried.contains(&index));
                tried.push(index);
            }
        }
        Ok(())
    });
}

#[test]
fn other_regions_get_requests_only_within_their_budgets() {
    let mut pool = pool(&catalog(12, None), None, 0);
    let mut remote = 0;
    for number in 0..200 {
        let query = steer::TargetQuery::new(seed(number));
        let (_, choice) = pool.choose(&query, |_, _| false, at(MILLI_MICROS));
        match choice {
            steer::Choice::Target(index) => pool.start(index, at(MILLI_MICROS)),
            other => assert_eq!(other, steer::Choice::NoFreeSlot),
        }
        remote += pool
            .targets()
            .iter()
            .enumerate()
            .filter(|(i, status)| i % 6 > 1 && status.in_flight() > 0)
            .count();
    }
    assert_eq!(remote, 0, "other regions get no requests without a budget");
    assert!(
        pool.in_flight() <= 20,
        "the slots of the own region bound its requests"
    );
    let (_, choice) = pool.choose(
        &steer::TargetQuery::new(seed(1)),
        |_, _| true,
        at(MILLI_MICROS),
    );
    assert!(matches!(choice, steer::Choice::Target(index) if index % 6 > 1));
}
