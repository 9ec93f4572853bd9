//! Cold targets.

use std::time;

use skylark_core::traffic;

use super::common;

/// Load pattern: a target comes back while eight hosts in three regions want it.
#[test]
fn all_hosts_together_keep_the_rate_of_a_cold_target() {
    const ALLOWED: f64 = 15.0 * 1.5 + 5.0;
    let mut target = common::target("t0", "a1", 5);
    target.warmup_left = time::Duration::from_secs(3);
    let zones = ["a1", "a1", "a2", "b1", "b1", "b2", "c1", "c2"];
    let names: Vec<String> = (0..zones.len()).map(|n| format!("h{n}")).collect();
    let mut desks: Vec<common::Dispatcher> = names
        .iter()
        .zip(zones)
        .map(|(name, zone)| {
            let mut desk = common::desk_in(name, zone, std::slice::from_ref(&target));
            for (other, its_zone) in names.iter().zip(zones).filter(|(other, _z)| *other != name) {
                desk.apply_report(common::report(other, its_zone, 1), common::at(0));
            }
            desk.refresh(common::at(0));
            desk
        })
        .collect();
    let mut sends: Vec<u64> = Vec::new();
    for millis in (0..1_700).step_by(2) {
        for desk in &mut desks {
            let now = common::at(millis);
            let ask = common::ask("stock", 2, "o", now);
            if let Some(pick) = common::sent(&desk.place(&ask, now)).cloned() {
                desk.record_result(&ask, &pick, traffic::AttemptResult::Answered(None), now);
                sends.push(millis);
            }
        }
    }
    assert!(sends.len() > 10, "{}", sends.len());
    for start in (0..700).step_by(10) {
        let in_second = sends
            .iter()
            .filter(|at| (start..start + 1_000).contains(*at));
        let count = u32::try_from(in_second.count()).expect("small");
        assert!(f64::from(count) <= ALLOWED, "{count} from {start} ms");
    }
}

/// Load pattern: requests crash what runs them, and come again at any host.
#[test]
fn a_request_that_crashes_targets_is_held_back() {
    let mut suspects = traffic::Crashes::default();
    for n in 0..3_u64 {
        let id = skylark_core::name::Target::new(&format!("t{n}")).expect("target");
        assert!(!suspects.is_quarantined(7, common::at(n * 100)));
        suspects.record_disconnect(7, &id, common::at(n * 100));
        suspects.record_refused(&id, common::at(n * 100 + 50));
    }
    assert!(suspects.is_quarantined(7, common::at(400)));
    assert!(!suspects.is_quarantined(8, common::at(400)));
    assert_eq!(suspects.recent(common::at(400)).len(), 3);
}

/// Load pattern: targets lose answers, and go on running.
#[test]
fn a_lost_answer_is_no_crash() {
    let mut suspects = traffic::Crashes::default();
    for n in 0..10_u64 {
        let id = skylark_core::name::Target::new(&format!("t{n}")).expect("target");
        suspects.record_disconnect(7, &id, common::at(n * 100));
    }
    assert!(!suspects.is_quarantined(7, common::at(1_000)));
}
