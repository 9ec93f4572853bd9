//! Divided budgets against one naive bucket, over schedules of faults.

mod naive;
mod world;

use std::cell;

const SCHEDULES: u64 = 200;
const SIZE: u64 = 64;

/// Runs a schedule on a fixed number of seeds and adds up what came of it.
fn survey(schedule: impl Fn(u64) -> world::Tally) -> world::Tally {
    let sum = cell::Cell::new(world::Tally::default());
    for number in 0..SCHEDULES {
        arbtest::arbtest(|u| {
            let tally = schedule(u.arbitrary()?);
            sum.set(sum.get().plus(tally));
            Ok(())
        })
        .seed((number << 32) | SIZE);
    }
    sum.get()
}

#[test]
fn faults_admit_nothing_that_one_bucket_refuses() {
    let sum = survey(|seed| world::World::new(seed, 4, world::Faults::All).run(8_000, None));
    assert_eq!(sum.excess, 0, "{sum:?}");
    assert!(sum.admitted > 100_000, "{sum:?}");
    assert!(sum.owners > 2 * SCHEDULES, "{sum:?}");
    assert!(sum.funded > 4 * SCHEDULES, "{sum:?}");
}

#[test]
fn changed_records_admit_nothing_that_the_larger_bucket_refuses() {
    let sum = survey(|seed| world::World::new(seed, 4, world::Faults::All).run(8_000, Some(3_000)));
    assert_eq!(sum.excess, 0, "{sum:?}");
    assert!(sum.admitted > 100_000, "{sum:?}");
}

#[test]
fn load_below_the_rate_is_admitted_whole_without_faults() {
    let sum = survey(|seed| world::World::new(seed, 4, world::Faults::None).run(8_000, None));
    assert_eq!(sum.excess, 0, "{sum:?}");
}
