//! Tests that retry budgets, traffic shifts and hysteresis switches keep their bounds.

use std::collections;
use std::time;

use skylark_core::instant;
use skylark_core::steer;
use skylark_testing as testing;

const MILLI_MICROS: u64 = 1_000;
const SECOND_MICROS: u64 = 1_000 * MILLI_MICROS;

fn at(micros: u64) -> instant::Instant {
    instant::Instant::from_micros(micros)
}

/// When all targets fail, retries add a small fraction of the load; two per request would treble it.
#[test]
fn retries_stay_a_small_fraction_of_successes() {
    testing::check(|u| {
        let mut retry = steer::RetryBudget::new(at(0));
        let (mut now, mut successes, mut granted, mut naive) = (0, 0, 0, 0);
        for _ in 0..u.int_in_range(1..=2_000)? {
            now += u.int_in_range(0..=20 * MILLI_MICROS)?;
            if u.ratio(1, 2)? {
                retry.record_success();
                successes += 1;
            } else {
                naive += 2;
                granted += u64::from(retry.take(at(now)));
            }
            let millis = steer::RetryBudget::MAX_SAVED * 1_000
                + successes * steer::RetryBudget::RETRIES_PER_THOUSAND
                + now / MILLI_MICROS * steer::RetryBudget::RETRIES_PER_SECOND;
            assert!(
                granted * 1_000 <= millis,
                "{granted} retries granted, {naive} without a budget"
            );
        }
        Ok(())
    });
}

#[test]
fn successes_save_no_more_than_the_maximum() {
    let mut retry = steer::RetryBudget::new(at(0));
    for _ in 0..10_000 {
        retry.record_success();
    }
    let at_once = (0..1_000).filter(|_| retry.take(at(0))).count();
    assert_eq!(at_once as u64, steer::RetryBudget::MAX_SAVED);
}

#[test]
fn a_host_with_little_traffic_can_still_retry() {
    let mut retry = steer::RetryBudget::new(at(0));
    let at_once = (0..1_000).filter(|_| retry.take(at(0))).count();
    assert_eq!(at_once as u64, steer::RetryBudget::MAX_SAVED);
    assert!(!retry.take(at(SECOND_MICROS / 2)));
    assert!(retry.take(at(2 * SECOND_MICROS)));
}

/// The shares of a cap must not add up to more than the cap over all hosts.
#[test]
fn a_shift_never_exceeds_its_cap_over_all_hosts() {
    testing::check(|u| {
        let hosts: u64 = u.int_in_range(1..=11)?;
        let cap: u64 = u.int_in_range(hosts..=1_000)?;
        let share = cap / hosts;
        let mut granted =
            vec![steer::Allowance::new(share, 1, at(0)); usize::try_from(hosts).unwrap_or(1)];
        let mut taken = collections::VecDeque::new();
        let mut now = 0;
        for _ in 0..u.int_in_range(1..=2_000)? {
            now += u.int_in_range(0..=5 * MILLI_MICROS)?;
            let host = u.choose_index(granted.len())?;
            let has_room = granted[host].has_token(at(now));
            let is_taken = granted[host].take(at(now));
            assert_eq!(has_room, is_taken);
            if is_taken {
                taken.push_back(now);
            }
            while taken
                .front()
                .is_some_and(|first| first + SECOND_MICROS <= now)
            {
                taken.pop_front();
            }
            let count = taken.len() as u64;
            assert!(count <= cap + hosts, "{count} in a second, cap {cap}");
        }
        Ok(())
    });
}

#[test]
fn a_lower_rate_takes_effect_at_once() {
    let mut allowance = steer::Allowance::new(100, 5, at(0));
    assert!((0..5).all(|_| allowance.take(at(SECOND_MICROS))));
    let mut allowance = allowance.with_rate(0, at(SECOND_MICROS));
    assert!(!allowance.take(at(10 * SECOND_MICROS)));
}

const THRESHOLDS: steer::Thresholds = steer::Thresholds {
    on: 8_000,
    off: 6_000,
    dwell: time::Duration::from_secs(5),
    stale: time::Duration::from_secs(15),
};

/// Returns a level that oscillates around the switching point, with noise.
fn oscillating_level(second: u64, noise: i64) -> u32 {
    let offsets = [
        0, 700, 1_200, 1_400, 1_200, 700, 0, -700, -1_200, -1_400, -1_200, -700,
    ];
    let phase = usize::try_from(second % 12).unwrap_or(0);
    u32::try_from(7_500 + offsets[phase] + noise).unwrap_or(0)
}

#[test]
fn an_oscillating_measurement_does_not_make_the_switch_flap() {
    testing::check(|u| {
        let mut switch = steer::Hysteresis::new(THRESHOLDS);
        let lag: u64 = u.int_in_range(0..=5)?;
        let (mut changes, mut naive, mut was_over) = (0, 0, false);
        for second in lag..300 {
            let level = oscillating_level(second - lag, u.int_in_range(-600..=600)?);
            let was_on = switch.is_on();
            let measure = steer::Measurement {
                level,
                at: at((second - lag) * SECOND_MICROS),
            };
            changes +=
                u32::from(switch.update(Some(measure), at(second * SECOND_MICROS)) != was_on);
            let is_over = level >= THRESHOLDS.on;
            naive += u32::from(is_over != was_over);
            was_over = is_over;
        }
        assert!(
            naive > 20,
            "a switch without hysteresis changes {naive} times"
        );
        assert!(
            changes <= 1,
            "{changes} changes, {naive} without hysteresis"
        );
        Ok(())
    });
}

#[test]
fn a_lasting_change_switches_and_missing_measurements_change_nothing() {
    let mut switch = steer::Hysteresis::new(THRESHOLDS);
    let high = |second| {
        Some(steer::Measurement {
            level: 9_000,
            at: at(second * SECOND_MICROS),
        })
    };
    let low = |second| {
        Some(steer::Measurement {
            level: 1_000,
            at: at(second * SECOND_MICROS),
        })
    };
    assert!(!switch.update(high(0), at(0)));
    assert!(switch.update(high(5), at(5 * SECOND_MICROS)));
    for second in 6..60 {
        assert!(
            switch.update(None, at(second * SECOND_MICROS)),
            "missing measurements keep the state"
        );
    }
    assert!(
        switch.update(low(60), at(90 * SECOND_MICROS)),
        "a stale measurement keeps the state"
    );
    assert!(switch.update(low(90), at(90 * SECOND_MICROS)));
    assert!(!switch.update(low(95), at(95 * SECOND_MICROS)));
}

#[test]
fn a_shift_grows_in_steps_up_to_its_goal_and_holds_without_measurements() {
    testing::check(|u| {
        let goal: u32 = u.int_in_range(1..=10_000)?;
        let mut ramp = steer::Ramp::new(goal, at(0));
        let (mut part, mut stepped) = (0, 0);
        for second in 1..u.int_in_range(2..=200)? {
            let now = at(second * SECOND_MICROS);
            let load = u.ratio(2, 3)?.then_some(steer::Measurement {
                level: u.int_in_range(0..=10_000)?,
                at: at(second.saturating_sub(u.int_in_range(0..=30)?) * SECOND_MICROS),
            });
            let next = ramp.update(load, now);
            assert!(next <= goal);
            if next != part {
                assert!(load.is_some(), "a step without a measurement");
                assert!(
                    second - stepped >= 10,
                    "a step after {} s",
                    second - stepped
                );
                assert!(next.abs_diff(part) <= goal.div_ceil(10));
                stepped = second;
            }
            part = next;
        }
        Ok(())
    });
}

/// Regions that shift load to each other by delayed measurements must settle.
#[test]
fn two_regions_do_not_oscillate() {
    let naive = count_changes(|moved, level| if level > 8_000 { moved + 2_000 } else { 0 });
    let mut switch = steer::Hysteresis::new(THRESHOLDS);
    let mut second = 0;
    let changes = count_changes(|_, level| {
        let measure = steer::Measurement {
            level,
            at: at(second * SECOND_MICROS),
        };
        second += 1;
        if switch.update(Some(measure), at(second * SECOND_MICROS)) {
            2_000
        } else {
            0
        }
    });
    assert!(
        naive > 20,
        "a rule without hysteresis changes {naive} times"
    );
    assert!(changes <= 1, "{changes} changes");
}

/// Counts the changes of the fraction that leaves a busy region, measured with a delay of 4 s.
fn count_changes(mut rule: impl FnMut(u32, u32) -> u32) -> u32 {
    let mut delayed_levels = collections::VecDeque::from([9_000; 4]);
    let (mut moved, mut changes) = (0, 0);
    for _ in 0..120 {
        let level = delayed_levels.pop_front().unwrap_or(0);
        let next = rule(moved, level).min(4_000);
        changes += u32::from(next != moved);
        moved = next;
        delayed_levels.push_back(9_000 - moved);
    }
    changes
}
