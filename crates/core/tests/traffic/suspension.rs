//! A process that was paused, or whose machine was suspended.

use std::time;

use skylark_core::traffic;

use super::common;

const fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

#[test]
fn a_paused_process_serves_nothing_before_it_has_evidence() {
    for pause in [3, 6, 12] {
        let mut suspension = traffic::Suspension::default();
        assert_eq!(suspension.observe(common::at(0), seconds(100)), None);
        let asked_before = common::at(900);
        let woken = 1_000 + pause * 1_000;
        let gap = suspension.observe(common::at(woken), seconds(101 + pause));
        assert_eq!(gap, Some(seconds(1 + pause)));
        assert!(suspension.is_catching_up(common::at(woken)));
        suspension.record_evidence(asked_before);
        assert!(
            suspension.is_catching_up(common::at(woken)),
            "an answer from before"
        );
        suspension.record_evidence(common::at(woken + 1));
        assert!(!suspension.is_catching_up(common::at(woken + 2)));
    }
}

#[test]
fn a_suspended_machine_is_noticed_although_its_clock_stood_still() {
    let mut suspension = traffic::Suspension::default();
    suspension.observe(common::at(0), seconds(100));
    let gap = suspension.observe(common::at(250), seconds(106));
    assert_eq!(gap, Some(seconds(6)));
    assert!(suspension.is_catching_up(common::at(250)));
}

#[test]
fn a_host_that_reaches_nobody_serves_again_after_a_second() {
    let mut suspension = traffic::Suspension::default();
    suspension.observe(common::at(0), seconds(100));
    suspension.observe(common::at(6_000), seconds(106));
    assert!(suspension.is_catching_up(common::at(6_999)));
    assert!(!suspension.is_catching_up(common::at(7_000)));
    assert!(suspension.lacks_evidence());
    suspension.record_evidence(common::at(7_100));
    assert!(!suspension.lacks_evidence());
}

/// A request's time limit may lapse in a suspension.
#[test]
fn a_suspension_since_an_instant_is_remembered_after_the_evidence() {
    let mut suspension = traffic::Suspension::default();
    suspension.observe(common::at(0), seconds(100));
    assert!(!suspension.has_ended_since(common::at(0)));
    suspension.observe(common::at(6_000), seconds(106));
    suspension.record_evidence(common::at(6_010));
    assert!(!suspension.is_catching_up(common::at(6_020)));
    assert!(suspension.has_ended_since(common::at(900)));
    assert!(!suspension.has_ended_since(common::at(6_010)));
}

#[test]
fn a_busy_process_is_not_taken_for_a_suspended_one() {
    let mut suspension = traffic::Suspension::default();
    for n in 0..20 {
        let gap = suspension.observe(
            common::at(1_500 * n),
            time::Duration::from_millis(1_500 * n),
        );
        assert_eq!(gap, None);
        assert!(!suspension.is_catching_up(common::at(1_500 * n)));
    }
}
