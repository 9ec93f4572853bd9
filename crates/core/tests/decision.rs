//! Tests that a replay reproduces an unchanged decision record and detects a changed one.

use skylark_core::catalog;
use skylark_core::decision;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::timestamp;
use skylark_core::unit;
use skylark_testing as testing;

const RECORDS: &str = "schema: 1
region: {name: khulna, zones: [khu-rupsa], delay: 3ms}
---
schema: 1
account: {name: guild, rate: 100/s, burst: 200}
---
schema: 1
service:
  name: stock
  routes:
    - {methods: [GET], path: /stock, access: keyed, idempotent: true}
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}
---
schema: 1
target: {name: stock-1, service: stock, zone: khu-rupsa, address: '127.0.0.1:9001', slots: 5, connections: 330}
---
schema: 1
target: {name: stock-2, service: stock, zone: khu-rupsa, address: '127.0.0.1:9002', slots: 3, connections: 330}
---
schema: 1
target: {name: stock-3, service: stock, zone: khu-rupsa, address: '127.0.0.1:9003', slots: 8, connections: 330}
";

const SLOTS: [u32; 3] = [5, 3, 8];

fn catalog() -> catalog::Catalog {
    let documents = record::parse(RECORDS).expect("the records are well formed");
    catalog::Catalog::new(unit::Version::new(7), &documents).expect("the records are consistent")
}

/// Returns the record that an entry host would write, from arbitrary loads.
fn arbitrary_decision(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<decision::Decision> {
    let number: u32 = u.arbitrary()?;
    let id = name::Request::new(&format!("r{number}")).expect("a name");
    let seed = steer::Seed::of(&id);
    let remaining = u.int_in_range(1_000..=2_000_000)?;
    let mut inputs = steer::Inputs::new(seed, 1, remaining);
    let mut tier = steer::Tier {
        usable: 3,
        delay: 500,
        is_allowed: true,
        ..steer::Tier::default()
    };
    for position in seed.positions(1, tier.number, tier.usable) {
        tier.drawn.push(steer::Candidate {
            index: position,
            position,
            slots: SLOTS[position as usize],
            in_flight: u.int_in_range(0..=8)?,
            reported_load: u.int_in_range(0..=8)?,
            age: u.int_in_range(0..=3_000_000)?,
            service_time: u.int_in_range(1_000..=50_000)?,
            failure_rate: u.int_in_range(0..=10_000)?,
            shed_rate: u.int_in_range(0..=10_000)?,
            warmth: u.int_in_range(1_000..=10_000)?,
            is_slow: u.arbitrary()?,
            is_tried: false,
        });
    }
    inputs.tiers.push(tier);
    let choice = inputs.choose();
    let mut steps = vec![decision::Step::Choose {
        inputs: Box::new(inputs),
        choice,
    }];
    let verdict = match choice {
        steer::Choice::Target(index) => {
            let target = name::Target::new(&format!("stock-{}", index + 1)).expect("a name");
            steps.push(decision::Step::Send {
                target: target.clone(),
                end: decision::SendResult::Answered(200),
                time: 4_000,
            });
            decision::Verdict::Served {
                target,
                status: 200,
            }
        }
        steer::Choice::NoFreeSlot => refused(kind::ErrorKind::Overloaded),
        steer::Choice::DeadlineUnmet => refused(kind::ErrorKind::DeadlineUnmet),
        steer::Choice::NoTarget => refused(kind::ErrorKind::NoTarget),
    };
    Ok(decision_record(id, seed, steps, verdict))
}

fn refused(kind: kind::ErrorKind) -> decision::Verdict {
    decision::Verdict::Refused {
        kind,
        outcome: kind::Outcome::NotRun,
    }
}

fn decision_record(
    id: name::Request,
    seed: steer::Seed,
    steps: Vec<decision::Step>,
    verdict: decision::Verdict,
) -> decision::Decision {
    decision::Decision {
        schema: decision::Decision::SCHEMA,
        id,
        at: timestamp::Timestamp::from_millis(1_000),
        host: name::Host::new("entry-1").expect("a name"),
        incarnation: name::Incarnation::new("entry-1-1").expect("a name"),
        version: unit::Version::new(7),
        plan: None,
        service: name::Service::new("stock").ok(),
        account: name::Account::new("guild").ok(),
        seed,
        deadline: Some(2_000_000),
        steps,
        verdict,
        latency: 4_200,
        digest: decision::Digest::NONE,
    }
    .with_digest()
}

#[test]
fn an_unchanged_decision_is_reproduced_after_serialization() {
    let catalog = catalog();
    testing::check(|u| {
        let decision = arbitrary_decision(u)?;
        let text = serde_json::to_string(&decision).expect("a record can be serialized");
        let parsed: decision::Decision =
            serde_json::from_str(&text).expect("a record can be parsed");
        assert_eq!(parsed, decision);
        assert_eq!(parsed.replay(&catalog), decision::Replay::Same, "{text}");
        Ok(())
    });
}

#[test]
fn a_changed_record_differs() {
    let catalog = catalog();
    testing::check(|u| {
        let decision = arbitrary_decision(u)?;
        let mut changed = decision.clone();
        match u.int_in_range(0..=4)? {
            0 => changed.latency += 1,
            1 => changed.account = None,
            2 => changed.verdict = refused(kind::ErrorKind::OverRate),
            3 => changed.id = name::Request::new("another").expect("a name"),
            _ => changed.steps.clear(),
        }
        assert_differs(&changed, &catalog);
        Ok(())
    });
}

/// A changed record with a matching digest must be detected by the replay of its steps.
#[test]
fn a_changed_record_with_a_new_digest_differs() {
    let catalog = catalog();
    testing::check(|u| {
        let mut changed = arbitrary_decision(u)?;
        let Some(decision::Step::Choose { inputs, choice }) = changed.steps.first_mut() else {
            unreachable!("the first step is a choice");
        };
        match u.int_in_range(0..=4)? {
            0 => {
                *choice = match choice {
                    steer::Choice::Target(index) => steer::Choice::Target((*index + 1) % 3),
                    _ => steer::Choice::Target(0),
                };
            }
            1 => inputs.seed = steer::Seed::new(inputs.seed.get() ^ 1),
            2 => inputs.tiers[0].drawn[0].slots += 1,
            3 => inputs.tiers[0].drawn.swap(0, 1),
            _ => inputs.tiers[0].usable -= 1,
        }
        assert_differs(&changed.with_digest(), &catalog);
        Ok(())
    });
}

#[test]
fn a_choice_of_a_drained_target_differs() {
    let drain = "---\nschema: 1\ndrain: {name: d, subject: {target: stock-1}}\n";
    let documents =
        record::parse(&format!("{RECORDS}{drain}")).expect("the records are well formed");
    let drained = catalog::Catalog::new(unit::Version::new(7), &documents)
        .expect("the records are consistent");
    testing::check(|u| {
        assert_differs(&arbitrary_decision(u)?, &drained);
        Ok(())
    });
}

#[test]
fn records_of_another_version_are_reported() {
    let mut other = catalog();
    other.version = unit::Version::new(8);
    testing::check(|u| {
        let replay = arbitrary_decision(u)?.replay(&other);
        assert!(matches!(replay, decision::Replay::OtherVersion { .. }));
        Ok(())
    });
}

#[test]
fn a_record_of_schema_one_stays_readable() {
    let parsed: decision::Decision =
        serde_json::from_str(include_str!("data/decision-1.json")).expect("schema 1 can be parsed");
    assert_eq!(parsed.schema, 1);
    assert_eq!(parsed.replay(&catalog()), decision::Replay::Same);
}

fn assert_differs(changed: &decision::Decision, catalog: &catalog::Catalog) {
    let replay = changed.replay(catalog);
    assert!(
        matches!(replay, decision::Replay::Differs(_)),
        "{replay:?} for {changed:?}"
    );
}
