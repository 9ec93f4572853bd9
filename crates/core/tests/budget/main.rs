//! Distributed budgets compared with one reference bucket, over random faults.

mod reference;
mod world;

use std::cell;

const SCHEDULES: u64 = 200;
/// Size of the random input of one schedule, in bytes.
const INPUT_BYTES: u64 = 64;

/// Runs a schedule with a fixed number of seeds and returns the sum of its counts.
fn sum_tallies(schedule: impl Fn(u64) -> world::Tally) -> world::Tally {
    let sum = cell::Cell::new(world::Tally::default());
    for number in 0..SCHEDULES {
        arbtest::arbtest(|u| {
            let tally = schedule(u.arbitrary()?);
            sum.set(sum.get().plus(tally));
            Ok(())
        })
        .seed((number << 32) | INPUT_BYTES);
    }
    sum.get()
}

#[test]
fn no_fault_admits_more_than_one_bucket_would() {
    let sum = sum_tallies(|seed| world::World::new(seed, 4, world::Faults::All).run(8_000, None));
    assert_eq!(sum.overadmitted, 0, "{sum:?}");
    assert!(sum.admitted > 100_000, "{sum:?}");
    assert!(sum.owner_changes > 2 * SCHEDULES, "{sum:?}");
    assert!(sum.slot_activations > 4 * SCHEDULES, "{sum:?}");
}

#[test]
fn changed_limits_admit_no_more_than_the_larger_bucket_would() {
    let sum =
        sum_tallies(|seed| world::World::new(seed, 4, world::Faults::All).run(8_000, Some(3_000)));
    assert_eq!(sum.overadmitted, 0, "{sum:?}");
    assert!(sum.admitted > 100_000, "{sum:?}");
}

#[test]
fn load_below_the_rate_is_within_the_budget_without_faults() {
    let sum = sum_tallies(|seed| world::World::new(seed, 4, world::Faults::None).run(8_000, None));
    assert_eq!(sum.overadmitted, 0, "{sum:?}");
}
