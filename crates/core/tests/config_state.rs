//! Configuration state, freshness proofs and the outcome of conditional writes.

use std::collections;
use std::time;

use skylark_core::config;
use skylark_core::instant;
use skylark_core::record;
use skylark_core::unit;
use skylark_testing as testing;

fn change(version: u64, write: &str) -> record::Change {
    record::Change {
        version: unit::Version::new(version),
        write: write.to_owned(),
        put: vec![account(version % 3, version)],
        removed: vec![format!("account/name-{}", (version + 1) % 3)],
    }
}

fn account(name: u64, rate: u64) -> record::Document {
    let account = serde_json::json!({
        "name": format!("name-{name}"),
        "rate": format!("{rate}/s"),
        "burst": 1,
    });
    let document = serde_json::json!({ "schema": 1, "account": account });
    serde_json::from_value(document).expect("a valid record")
}

/// Returns the records of a version, by applying all changes in order (reference model).
fn replay(version: u64) -> Vec<record::Document> {
    let mut documents = collections::BTreeMap::new();
    for version in 1..=version {
        let change = change(version, "w");
        for id in &change.removed {
            documents.remove(id);
        }
        for document in change.put {
            documents.insert(document.id().expect("one kind"), document);
        }
    }
    documents.into_values().collect()
}

#[test]
fn offers_in_any_order_give_the_records_of_a_rising_version() {
    testing::check(|u| {
        let mut state = config::State::new();
        let mut before = unit::Version::NONE;
        for _offer in 0..u.int_in_range(0..=40)? {
            let version = u.int_in_range(1..=12)?;
            if u.ratio(1, 4)? {
                state.replace(unit::Version::new(version), &replay(version));
            } else {
                state.apply(&change(version, "w"));
            }
            assert!(state.version() >= before);
            before = state.version();
            let documents: Vec<record::Document> = state.documents().cloned().collect();
            assert_eq!(documents, replay(before.get()));
        }
        Ok(())
    });
}

#[test]
fn kept_changes_bring_a_peer_up_to_date_or_are_withheld() {
    testing::check(|u| {
        let mut state = config::State::new();
        let start = u.int_in_range(1..=5)?;
        let end = start + u.int_in_range(0..=300)?;
        state.replace(unit::Version::new(start), &replay(start));
        for version in start + 1..=end {
            assert_eq!(state.apply(&change(version, "w")), config::Effect::Applied);
        }
        let behind = u.int_in_range(1..=end)?;
        let mut peer = config::State::new();
        peer.replace(unit::Version::new(behind), &replay(behind));
        let Some(changes) = state.changes_after(peer.version()) else {
            let kept = u64::try_from(config::MAX_KEPT_CHANGES).expect("small");
            assert!(behind < start || end - behind > kept);
            return Ok(());
        };
        for change in &changes {
            assert_eq!(peer.apply(change), config::Effect::Applied);
        }
        assert_eq!(peer.version(), state.version());
        Ok(())
    });
}

#[test]
fn state_is_ready_once_the_newest_observed_version_is_in_force() {
    let mut state = config::State::new();
    assert!(!state.is_ready(), "no version was observed yet");
    state.observe_version(unit::Version::new(2));
    state.apply(&change(1, "w"));
    assert!(!state.is_ready());
    assert_eq!(state.apply(&change(3, "w")), config::Effect::Gap);
    assert!(!state.is_ready());
    state.replace(unit::Version::new(3), &replay(3));
    assert!(state.is_ready());
}

#[test]
fn relayed_proof_is_never_fresher_than_its_source() {
    testing::check(|u| {
        let mut now = u.int_in_range(0..=10_000_000_u64)?;
        let first = now;
        let hops = [0; 4].map(|_zero| 0_u64);
        let mut proof = Some(config::Proof::new(unit::Version::new(1), instant(now)));
        for _hop in hops {
            let asked = now + u.int_in_range(0..=5_000_000)?;
            let answered = asked + u.int_in_range(0..=5_000_000)?;
            let age = proof.map(|p| p.age(instant(answered)));
            let relayed = age
                .and_then(|age| config::Proof::relayed(unit::Version::new(1), instant(asked), age));
            assert!(
                relayed.is_none_or(|p| p.at <= instant(first)),
                "{relayed:?}"
            );
            proof = relayed;
            now = answered;
        }
        Ok(())
    });
}

fn instant(micros: u64) -> instant::Instant {
    instant::Instant::from_micros(micros)
}

#[test]
fn proof_older_than_the_receivers_time_origin_is_dropped() {
    let age = time::Duration::from_mins(1);
    let asked = instant::Instant::from_millis(1_000);
    assert_eq!(
        config::Proof::relayed(unit::Version::new(1), asked, age),
        None
    );
}

#[test]
fn version_is_fresh_only_if_proven_and_within_the_bound() {
    let at = instant::Instant::from_millis;
    let bound = time::Duration::from_secs(5);
    let proof = config::Proof::new(unit::Version::new(3), at(1_000));
    assert!(proof.is_fresh(unit::Version::new(3), bound, at(5_999)));
    assert!(proof.is_fresh(unit::Version::new(4), bound, at(5_999)));
    assert!(!proof.is_fresh(unit::Version::new(3), bound, at(6_000)));
    assert!(!proof.is_fresh(unit::Version::new(2), bound, at(1_001)));
}

/// A store whose commits race, and may arrive late or more than once.
#[derive(Default)]
struct Table {
    changes: Vec<record::Change>,
}

impl Table {
    fn commit(&mut self, write: &config::Write) -> bool {
        let is_next = self.changes.len() as u64 == write.base.get();
        if is_next {
            self.changes.push(change(write.version().get(), &write.id));
        }
        is_next
    }

    fn change(&self, write: &config::Write) -> Option<&record::Change> {
        let index = usize::try_from(write.base.get()).expect("small");
        self.changes.get(index)
    }
}

#[test]
fn write_without_an_answer_takes_effect_once_and_its_outcome_is_final() {
    testing::check(|u| {
        let mut table = Table::default();
        let base = unit::Version::new(table.changes.len() as u64);
        let writes = ["a", "b", "c"].map(|id| config::Write::new(id, base));
        let mut known = collections::BTreeMap::new();
        for _step in 0..u.int_in_range(3..=30)? {
            let write = &writes[u.choose_index(writes.len())?];
            if u.ratio(1, 2)? {
                table.commit(write);
            }
            let outcome = write.outcome(table.change(write));
            if outcome != config::WriteOutcome::Unknown {
                let first = *known.entry(write.id.clone()).or_insert(outcome);
                assert_eq!(first, outcome, "a known outcome never changes");
            }
            let other = writes[u.choose_index(writes.len())?].clone();
            table.commit(&config::Write::new(&other.id, other.base));
        }
        let committed = table.changes.first().map(|c| c.write.clone());
        for write in &writes {
            let is_committed = committed.as_ref() == Some(&write.id);
            let outcome = write.outcome(table.change(write));
            assert_eq!(
                outcome == config::WriteOutcome::Applied(write.version()),
                is_committed
            );
        }
        assert!(
            table.changes.len() <= 1,
            "at most one of the racing writes takes effect"
        );
        Ok(())
    });
}
