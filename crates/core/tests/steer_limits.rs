//! Retries, shifts and switches stay within their bounds, and do not flap.

use std::collections;
use std::time;

use skylark_core::instant;
use skylark_core::steer;
use skylark_testing as testing;

const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLI;

fn at(micros: u64) -> instant::Instant {
    instant::Instant::from_micros(micros)
}

/// A fault of all targets costs a small part of the load, where retrying twice trebles it.
#[test]
fn further_attempts_stay_a_small_part_of_the_successes() {
    testing::check(|u| {
        let mut retry = steer::RetryBudget::new(at(0));
        let (mut now, mut successes, mut granted, mut naive) = (0, 0, 0, 0);
        for _ in 0..u.int_in_range(1..=2_000)? {
            now += u.int_in_range(0..=20 * MILLI)?;
            if u.ratio(1, 2)? {
                retry.record_success();
                successes += 1;
            } else {
                naive += 2;
                granted += u64::from(retry.take(at(now)));
            }
            let millis = steer::RetryBudget::MAX_SAVED * 1_000
                + successes * steer::RetryBudget::RETRIES_PER_THOUSAND
                + now / MILLI * steer::RetryBudget::RETRIES_PER_SECOND;
            assert!(
                granted * 1_000 <= millis,
                "{granted} granted, naive {naive}"
            );
        }
        Ok(())
    });
}

#[test]
fn good_times_save_up_no_more_than_the_bound() {
    let mut retry = steer::RetryBudget::new(at(0));
    for _ in 0..10_000 {
        retry.record_success();
    }
    let at_once = (0..1_000).filter(|_| retry.take(at(0))).count();
    assert_eq!(at_once as u64, steer::RetryBudget::MAX_SAVED);
}

#[test]
fn a_host_with_little_traffic_can_still_try_again() {
    let mut retry = steer::RetryBudget::new(at(0));
    let at_once = (0..1_000).filter(|_| retry.take(at(0))).count();
    assert_eq!(at_once as u64, steer::RetryBudget::MAX_SAVED);
    assert!(!retry.take(at(SECOND / 2)));
    assert!(retry.take(at(2 * SECOND)));
}

/// Splits a cap among hosts, and counts what all of them let through.
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
            now += u.int_in_range(0..=5 * MILLI)?;
            let host = u.choose_index(granted.len())?;
            let has_room = granted[host].has_token(at(now));
            let is_taken = granted[host].take(at(now));
            assert_eq!(has_room, is_taken);
            if is_taken {
                taken.push_back(now);
            }
            while taken.front().is_some_and(|first| first + SECOND <= now) {
                taken.pop_front();
            }
            let count = taken.len() as u64;
            assert!(count <= cap + hosts, "{count} in a second, cap {cap}");
        }
        Ok(())
    });
}

#[test]
fn a_lower_grant_takes_effect_at_once() {
    let mut allowance = steer::Allowance::new(100, 5, at(0));
    assert!((0..5).all(|_| allowance.take(at(SECOND))));
    let mut allowance = allowance.with_rate(0, at(SECOND));
    assert!(!allowance.take(at(10 * SECOND)));
}

const BAND: steer::Thresholds = steer::Thresholds {
    on: 8_000,
    off: 6_000,
    dwell: time::Duration::from_secs(5),
    stale: time::Duration::from_secs(15),
};

/// A level that swings around the switching point, with noise.
fn swinging(second: u64, noise: i64) -> u32 {
    let swing = [
        0, 700, 1_200, 1_400, 1_200, 700, 0, -700, -1_200, -1_400, -1_200, -700,
    ];
    let phase = usize::try_from(second % 12).unwrap_or(0);
    u32::try_from(7_500 + swing[phase] + noise).unwrap_or(0)
}

#[test]
fn a_swinging_measurement_does_not_make_the_switch_flap() {
    testing::check(|u| {
        let mut switch = steer::Hysteresis::new(BAND);
        let lag: u64 = u.int_in_range(0..=5)?;
        let (mut changes, mut naive, mut was_over) = (0, 0, false);
        for second in lag..300 {
            let level = swinging(second - lag, u.int_in_range(-600..=600)?);
            let was_on = switch.is_on();
            let measure = steer::Measurement {
                level,
                at: at((second - lag) * SECOND),
            };
            changes += u32::from(switch.update(Some(measure), at(second * SECOND)) != was_on);
            let is_over = level >= BAND.on;
            naive += u32::from(is_over != was_over);
            was_over = is_over;
        }
        assert!(naive > 20, "the naive switch changes {naive} times");
        assert!(changes <= 1, "{changes} changes, naive {naive}");
        Ok(())
    });
}

#[test]
fn a_lasting_change_is_followed_and_a_silence_changes_nothing() {
    let mut switch = steer::Hysteresis::new(BAND);
    let high = |second| {
        Some(steer::Measurement {
            level: 9_000,
            at: at(second * SECOND),
        })
    };
    let low = |second| {
        Some(steer::Measurement {
            level: 1_000,
            at: at(second * SECOND),
        })
    };
    assert!(!switch.update(high(0), at(0)));
    assert!(switch.update(high(5), at(5 * SECOND)));
    for second in 6..60 {
        assert!(switch.update(None, at(second * SECOND)), "silence holds");
    }
    assert!(switch.update(low(60), at(90 * SECOND)), "old news holds");
    assert!(switch.update(low(90), at(90 * SECOND)));
    assert!(!switch.update(low(95), at(95 * SECOND)));
}

#[test]
fn a_shift_grows_in_steps_up_to_its_goal_and_holds_without_measurements() {
    testing::check(|u| {
        let goal: u32 = u.int_in_range(1..=10_000)?;
        let mut ramp = steer::Ramp::new(goal, at(0));
        let (mut part, mut stepped) = (0, 0);
        for second in 1..u.int_in_range(2..=200)? {
            let now = at(second * SECOND);
            let load = u.ratio(2, 3)?.then_some(steer::Measurement {
                level: u.int_in_range(0..=10_000)?,
                at: at(second.saturating_sub(u.int_in_range(0..=30)?) * SECOND),
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

/// Two regions that shed onto each other by lagging measurements settle instead of swinging.
#[test]
fn two_regions_do_not_swing_against_each_other() {
    let naive = swings(|moved, level| if level > 8_000 { moved + 2_000 } else { 0 });
    let mut switch = steer::Hysteresis::new(BAND);
    let mut second = 0;
    let ours = swings(|_, level| {
        let measure = steer::Measurement {
            level,
            at: at(second * SECOND),
        };
        second += 1;
        if switch.update(Some(measure), at(second * SECOND)) {
            2_000
        } else {
            0
        }
    });
    assert!(naive > 20, "the naive rule swings {naive} times");
    assert!(ours <= 1, "{ours} swings");
}

/// Counts the changes of the part moved away from a busy region that is measured 4 s late.
fn swings(mut rule: impl FnMut(u32, u32) -> u32) -> u32 {
    let mut seen = collections::VecDeque::from([9_000; 4]);
    let (mut moved, mut changes) = (0, 0);
    for _ in 0..120 {
        let level = seen.pop_front().unwrap_or(0);
        let next = rule(moved, level).min(4_000);
        changes += u32::from(next != moved);
        moved = next;
        seen.push_back(9_000 - moved);
    }
    changes
}
