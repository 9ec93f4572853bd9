//! Rates of cold targets, and the quarantine of requests that crash targets.

use std::collections;
use std::time;

use skylark_core::traffic;

use super::common;

/// Load pattern: a target returns while eight hosts in three regions have requests for it.
#[test]
fn all_hosts_together_stay_within_the_rate_of_a_cold_target() {
    const ALLOWED: f64 = 15.0 * 1.5 + 5.0;
    let mut target = common::target("t0", "a1", 5);
    target.warmup_left = time::Duration::from_secs(3);
    let zones = ["a1", "a1", "a2", "b1", "b1", "b2", "c1", "c2"];
    let names: Vec<String> = (0..zones.len()).map(|n| format!("h{n}")).collect();
    let mut dispatchers: Vec<common::Dispatcher> = names
        .iter()
        .zip(zones)
        .map(|(name, zone)| {
            let mut dispatcher = common::dispatcher(name, zone, std::slice::from_ref(&target));
            for (other, other_zone) in names.iter().zip(zones).filter(|(other, _z)| *other != name)
            {
                dispatcher.apply_report(common::report(other, other_zone, 1), common::at(0));
            }
            dispatcher.refresh(common::at(0));
            dispatcher
        })
        .collect();
    let mut sent_at: Vec<u64> = Vec::new();
    for millis in (0..1_700).step_by(2) {
        for dispatcher in &mut dispatchers {
            let now = common::at(millis);
            let request = common::request("stock", 2, "o", now);
            if let Some(pick) = common::sent_to(&dispatcher.place(&request, now)).cloned() {
                dispatcher.record_result(
                    &request,
                    &pick,
                    traffic::AttemptResult::Answered(None),
                    now,
                );
                sent_at.push(millis);
            }
        }
    }
    assert!(sent_at.len() > 10, "{}", sent_at.len());
    for start in (0..700).step_by(10) {
        let in_second = sent_at
            .iter()
            .filter(|at| (start..start + 1_000).contains(*at));
        let count = u32::try_from(in_second.count()).expect("small");
        assert!(f64::from(count) <= ALLOWED, "{count} from {start} ms");
    }
}

/// Load pattern: a zone is reopened, and its target, which was cut off, is listed again after that.
#[test]
fn a_target_that_is_listed_again_after_its_zone_was_reopened_is_cold() {
    const ALLOWED: usize = 27;
    let target = common::target("t0", "a1", 5);
    let mut dispatcher = common::dispatcher("h1", "a1", std::slice::from_ref(&target));
    let closed = [common::zone("a1")].into_iter().collect();
    dispatcher.set_closed(&closed, common::at(0));
    dispatcher.set_closed(&collections::BTreeSet::new(), common::at(5_000));
    dispatcher.set_targets(&[], common::at(5_200));
    dispatcher.set_targets(std::slice::from_ref(&target), common::at(5_400));
    let mut sent = 0;
    for millis in (5_400..6_400).step_by(5) {
        let now = common::at(millis);
        let request = common::request("stock", 2, "o", now);
        if let Some(pick) = common::sent_to(&dispatcher.place(&request, now)).cloned() {
            let answered = traffic::AttemptResult::Answered(None);
            dispatcher.record_result(&request, &pick, answered, now);
            sent += 1;
        }
    }
    assert!((1..=ALLOWED).contains(&sent), "{sent} requests in a second");
    let warm = dispatcher.place(
        &common::request("stock", 2, "o", common::at(8_001)),
        common::at(8_001),
    );
    assert!(common::sent_to(&warm).is_some());
}

/// Load pattern: a request crashes each target that runs it and is retried at any host.
#[test]
fn a_request_that_crashes_targets_is_quarantined() {
    let mut crashes = traffic::Crashes::default();
    for n in 0..3_u64 {
        let id = skylark_core::name::Target::new(&format!("t{n}")).expect("target");
        assert!(!crashes.is_quarantined(7, common::at(n * 100)));
        crashes.record_disconnect(7, &id, common::at(n * 100));
        crashes.record_refused(&id, common::at(n * 100 + 50));
    }
    assert!(crashes.is_quarantined(7, common::at(400)));
    assert!(!crashes.is_quarantined(8, common::at(400)));
    assert_eq!(crashes.recent(common::at(400)).len(), 3);
}

/// Load pattern: connections to targets are lost, but the targets go on running.
#[test]
fn a_lost_answer_does_not_count_as_a_crash() {
    let mut crashes = traffic::Crashes::default();
    for n in 0..10_u64 {
        let id = skylark_core::name::Target::new(&format!("t{n}")).expect("target");
        crashes.record_disconnect(7, &id, common::at(n * 100));
    }
    assert!(!crashes.is_quarantined(7, common::at(1_000)));
}
