//! Tests of the burn rate report against a simulation in steps of one millisecond.

use skylark_core::burn;
use skylark_core::catalog;
use skylark_core::decision;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::timestamp;
use skylark_core::unit;

const RECORDS: &str = "schema: 1
account: {name: small, rate: 3/s, burst: 4}
---
schema: 1
account: {name: large, rate: 900/s, burst: 5}
---
schema: 1
service:
  name: stock
  routes: [{methods: [GET], path: /stock, access: keyed, idempotent: true}]
  deadline: 2s
  queue: 64
  objective: {good: 99%, within: 250ms}
---
schema: 1
service:
  name: orders
  routes: [{methods: [POST], path: /orders, access: keyed, idempotent: false}]
  deadline: 2s
  queue: 64
  objective: {good: 90%, within: 500ms}
";

const START_MILLIS: u64 = 1_000_000;
const RUNS: u64 = 100;
const SEED_BYTES: u64 = 0x1000;

fn catalog() -> catalog::Catalog {
    let documents = record::parse(RECORDS).expect("the records are valid");
    catalog::Catalog::new(unit::Version::new(1), &documents).expect("the records are consistent")
}

fn windows() -> burn::Windows {
    burn::Windows {
        short: unit::HumanDuration::from_millis(400),
        long: unit::HumanDuration::from_millis(2_000),
    }
}

fn served(at: u64, account: &str, latency: u64) -> decision::Decision {
    let id = name::Request::new("r1").expect("a name");
    decision::Decision {
        schema: 1,
        seed: steer::Seed::of(&id),
        id,
        at: timestamp::Timestamp::from_millis(START_MILLIS + at),
        host: name::Host::new("h1").expect("a name"),
        incarnation: name::Incarnation::new("h1-1").expect("a name"),
        version: unit::Version::new(1),
        plan: None,
        service: Some(name::Service::new("stock").expect("a name")),
        account: Some(name::Account::new(account).expect("a name")),
        deadline: Some(2_000_000),
        steps: Vec::new(),
        verdict: decision::Verdict::Served {
            target: name::Target::new("t1").expect("a name"),
            status: 200,
        },
        latency,
        digest: decision::Digest::NONE,
    }
}

fn refused(at: u64, account: &str, kind: kind::ErrorKind) -> decision::Decision {
    let outcome = kind.answer().outcome;
    decision::Decision {
        verdict: decision::Verdict::Refused { kind, outcome },
        ..served(at, account, 50)
    }
}

fn report(decisions: &[decision::Decision], now: u64) -> burn::Report {
    let now = timestamp::Timestamp::from_millis(START_MILLIS + now);
    burn::Report::new(decisions, &catalog(), windows(), now)
}

fn arbitrary(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<decision::Decision> {
    let at = u.int_in_range(0..=3_000)?;
    let account = *u.choose(&["small", "large"])?;
    let any = u.int_in_range(1..=600_000)?;
    let latency = *u.choose(&[any, any, 250_000, 250_001, 500_000, 500_001])?;
    let mut decision = if u.ratio(1, 2)? {
        refused(at, account, *u.choose(&kind::ErrorKind::ALL)?)
    } else {
        served(at, account, latency)
    };
    if let decision::Verdict::Served { status, .. } = &mut decision.verdict {
        *status = *u.choose(&[200, 404, 500, 503])?;
    }
    if u.ratio(1, 3)? {
        decision.service = Some(name::Service::new("orders").expect("a name"));
    }
    if u.ratio(1, 8)? {
        decision.deadline = None;
    }
    Ok(decision)
}

/// Classifies every request of one account with a token bucket refilled each millisecond.
fn simulate(decisions: &[decision::Decision], account: &str) -> Vec<(usize, &'static str)> {
    let (rate, burst) = if account == "small" { (3, 4) } else { (900, 5) };
    let is_own = |decision: &decision::Decision| {
        decision.account.as_ref().map(name::Account::as_str) == Some(account)
    };
    let mut millitokens: u64 = burst * 1_000;
    let mut classified = Vec::new();
    for millis in START_MILLIS..=START_MILLIS + 3_000 {
        millitokens = (millitokens + rate).min(burst * 1_000);
        for (index, decision) in decisions.iter().enumerate() {
            if !is_own(decision) || decision.at.as_millis() != millis {
                continue;
            }
            let has_token = millitokens >= 1_000;
            let (class, is_charged) = classify(decision, has_token);
            if is_charged && has_token {
                millitokens -= 1_000;
            }
            classified.push((index, class));
        }
    }
    classified
}

fn classify(decision: &decision::Decision, has_token: bool) -> (&'static str, bool) {
    let is_orders = decision.service.as_ref().map(name::Service::as_str) == Some("orders");
    let within = if is_orders { 500_000 } else { 250_000 };
    match &decision.verdict {
        decision::Verdict::Served {
            status: 500 | 503, ..
        } => ("failed", true),
        decision::Verdict::Served { .. } => {
            let is_late = decision.deadline.is_some() && decision.latency > within;
            (if is_late { "late" } else { "good" }, true)
        }
        decision::Verdict::Refused { kind, outcome } => {
            let is_charged = *outcome == kind::Outcome::Unknown || kind.as_str() == "over-rate";
            let class = match kind.as_str() {
                "over-rate" if !has_token => "excluded",
                "home-unreachable" | "target-failed" | "timed-out" => "failed",
                "over-rate" | "stale-keys" | "deadline-unmet" | "overloaded" | "no-target"
                | "leaving" | "not-ready" => "refused",
                _ => "excluded",
            };
            (class, is_charged)
        }
    }
}

#[test]
fn the_report_matches_a_millisecond_simulation() {
    for run in 1..=RUNS {
        arbtest::arbtest(check_report).seed(run << 32 | SEED_BYTES);
    }
}

fn check_report(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut decisions = Vec::new();
    for _ in 0..u.int_in_range(1..=60)? {
        decisions.push(arbitrary(u)?);
    }
    let now = u.int_in_range(0..=4_000)?;
    let report = report(&decisions, now);
    for row in &report.rows {
        let account = row.account.as_ref().expect("each row has an account");
        check_row(
            row,
            &simulate(&decisions, account.as_str()),
            &decisions,
            now,
        );
    }
    let total: u64 = report
        .rows
        .iter()
        .map(|r| r.count.total() + r.count.excluded)
        .sum();
    assert_eq!(total, decisions.len() as u64);
    let worst: Vec<f64> = report.rows.iter().map(|row| row.spent).collect();
    assert!(worst.is_sorted_by(|one, other| one >= other), "{worst:?}");
    Ok(())
}

fn check_row(
    row: &burn::Row,
    classified: &[(usize, &'static str)],
    decisions: &[decision::Decision],
    now: u64,
) {
    let own: Vec<(&decision::Decision, &str)> = classified
        .iter()
        .map(|(index, class)| (&decisions[*index], *class))
        .filter(|(decision, _word)| decision.service.as_ref() == Some(&row.service))
        .collect();
    let count = |class: &str| own.iter().filter(|(_, other)| *other == class).count() as u64;
    let found = [
        row.count.good,
        row.count.late,
        row.count.failed,
        row.count.refused,
        row.count.excluded,
    ];
    let expected = ["good", "late", "failed", "refused", "excluded"].map(count);
    assert_eq!(found, expected, "{} {:?}", row.service, row.account);
    let burn = |window: u64| {
        let recent = own.iter().filter(|(decision, class)| {
            decision.at.as_millis() + window >= START_MILLIS + now && *class != "excluded"
        });
        let (bad, all) = recent.fold((0.0, 0.0), |(bad, all), (_, class)| {
            (bad + if *class == "good" { 0.0 } else { 1.0 }, all + 1.0)
        });
        let allowed = if row.service.as_str() == "orders" {
            0.1
        } else {
            0.01
        };
        if all > 0.0 { bad / all / allowed } else { 0.0 }
    };
    assert!(
        (row.short - burn(400)).abs() < 1e-9,
        "{row:?} {}",
        burn(400)
    );
    assert!(
        (row.long - burn(2_000)).abs() < 1e-9,
        "{row:?} {}",
        burn(2_000)
    );
    let mut latencies: Vec<u64> = own
        .iter()
        .filter(|(_, class)| matches!(*class, "good" | "late"))
        .map(|(decision, _)| decision.latency)
        .collect();
    latencies.sort_unstable();
    if count("failed") == 0 && !latencies.is_empty() {
        let below = latencies.iter().filter(|l| **l <= row.latency.p90).count();
        assert!(below * 10 >= latencies.len() * 9, "{row:?}");
        assert!(latencies.contains(&row.latency.p90));
        assert_eq!(row.latency.max, latencies[latencies.len() - 1]);
    }
}

#[test]
fn a_refusal_is_bad_only_within_the_rate() {
    let over = kind::ErrorKind::OverRate;
    let first = report(&[refused(0, "small", over)], 0);
    assert_eq!(first.rows[0].count.refused, 1);
    let burst = (0..4).map(|_| served(0, "small", 10));
    let all: Vec<_> = burst.chain([refused(1, "small", over)]).collect();
    let above_rate = report(&all, 0);
    assert_eq!(above_rate.rows[0].count.refused, 0);
    assert_eq!(above_rate.rows[0].count.excluded, 1);
}

#[test]
fn the_worst_served_account_comes_first_regardless_of_size() {
    let mut decisions: Vec<_> = (0..900).map(|at| served(at, "large", 10)).collect();
    decisions.push(refused(901, "large", kind::ErrorKind::Overloaded));
    decisions.push(served(902, "small", 10));
    decisions.push(served(903, "small", 300_000));
    let report = report(&decisions, 1_000);
    let accounts: Vec<&str> = report
        .rows
        .iter()
        .filter_map(|row| row.account.as_ref().map(name::Account::as_str))
        .collect();
    assert_eq!(accounts, ["small", "large"]);
    assert!((report.rows[0].spent - 50.0).abs() < 1e-9);
    assert!((report.rows[0].short - 50.0).abs() < 1e-9);
}

#[test]
fn requests_for_unknown_services_are_counted_separately() {
    let mut unknown = served(0, "small", 10);
    unknown.service = None;
    let report = report(&[unknown, served(1, "small", 10)], 1);
    assert_eq!(report.unattributed, 1);
    assert_eq!(report.rows.len(), 1);
    assert_eq!(report.series.len(), 1);
}

#[test]
fn no_decisions_make_an_empty_report() {
    let report = report(&[], 0);
    assert_eq!(
        (report.rows.len(), report.series.len(), report.unattributed),
        (0, 0, 0)
    );
}

#[test]
fn only_refusals_that_a_single_bucket_would_admit_are_bad() {
    let over = kind::ErrorKind::OverRate;
    let flood: Vec<_> = (0..100).map(|_| refused(0, "small", over)).collect();
    let count = report(&flood, 0).rows[0].count;
    assert_eq!((count.refused, count.excluded), (4, 96));
}
