//! Cost of the ledger of idempotency keys as the number of stored keys grows.

use std::hint;
use std::io;
use std::io::Write as _;
use std::sync;
use std::time;

use skylark_core::idempotency;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::quarantine;
use skylark_core::timestamp;

use super::error;
use super::options;

/// Numbers of keys.
const SIZES: [u64; 4] = [1_000, 10_000, 100_000, 450_000];
const START_SECONDS: u64 = 1_765_000_000;
const ISSUE_PERIOD_SECONDS: u64 = 900;
const BODY_BYTES: usize = 256;

/// Measurements at one number of keys; times are nanoseconds per call, memory is bytes per key.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
struct Point {
    keys: u64,
    read_key: u128,
    #[serde(rename = "print")]
    fingerprint: u128,
    begin: u128,
    finish: u128,
    replay: u128,
    guard: u128,
    memory: u64,
}

/// Measures and prints the cost at each number of keys.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn run(options: &options::Options) -> error::Result<()> {
    let points: Vec<Point> = SIZES.iter().filter_map(|keys| measure(*keys)).collect();
    let mut out = io::stdout().lock();
    if options.is_json {
        writeln!(out, "{}", serde_json::to_string(&points)?)?;
        return Ok(());
    }
    writeln!(
        out,
        "  keys  read key  print  begin  finish  replay  guard ns  bytes a key"
    )?;
    for point in points {
        writeln!(
            out,
            "{:>6}  {:>8}  {:>5}  {:>5}  {:>6}  {:>6}  {:>8}  {:>11}",
            point.keys,
            point.read_key,
            point.fingerprint,
            point.begin,
            point.finish,
            point.replay,
            point.guard,
            point.memory
        )?;
    }
    Ok(())
}

fn measure(keys: u64) -> Option<Point> {
    let home = name::Incarnation::new("kol-ghat-1-4f2a").ok()?;
    let texts: Vec<String> = (0..keys).map(|number| key_text(&home, number)).collect();
    let account = name::Account::new("ghat-masters").ok()?;
    let body = vec![b'x'; BODY_BYTES];
    let now = instant::Instant::ORIGIN;
    let (read, read_key) = timed(&texts, |text| idempotency::Key::new(text).ok());
    let read: Vec<idempotency::Key> = read.into_iter().flatten().collect();
    let (fingerprints, fingerprint) = timed(&read, |key| {
        idempotency::Fingerprint::new(Some(&account), "POST", key.as_str(), hint::black_box(&body))
    });
    let requests: Vec<(idempotency::Key, idempotency::Fingerprint)> =
        read.into_iter().zip(fingerprints).collect();
    let origin = timestamp::Timestamp::from_millis((START_SECONDS + ISSUE_PERIOD_SECONDS) * 1_000);
    let mut ledger = idempotency::Ledger::new(limits(), origin);
    let (dispositions, begin) = timed(&requests, |(key, fingerprint)| {
        ledger.begin(now, key, *fingerprint)
    });
    let response = sync::Arc::new(idempotency::Response {
        target: name::Target::new("order-desk-kol-ghat-1").ok()?,
        status: 200,
        fields: Vec::new(),
        body: Vec::new(),
    });
    let mut permits: Vec<Option<idempotency::Permit>> =
        dispositions.into_iter().map(started_permit).collect();
    permits.reverse();
    let (_entries, finish) = timed(&requests, |_request| {
        let final_state = idempotency::FinalState::Answered(sync::Arc::clone(&response));
        permits
            .pop()
            .flatten()
            .and_then(|permit| ledger.finish(permit, final_state))
    });
    let (_replays, replay) = timed(&requests, |(key, fingerprint)| {
        ledger.begin(now, key, *fingerprint)
    });
    Some(Point {
        keys,
        read_key,
        fingerprint,
        begin,
        finish,
        replay,
        guard: guard(&home, &requests),
        memory: u64::try_from(ledger.key_bytes()).unwrap_or(u64::MAX) / keys,
    })
}

/// Returns the nanoseconds to pass a request through the quarantine breaker.
fn guard(
    home: &name::Incarnation,
    requests: &[(idempotency::Key, idempotency::Fingerprint)],
) -> u128 {
    let mut breaker = quarantine::Breaker::new(quarantine::Limits::default(), home);
    let now = instant::Instant::ORIGIN;
    let (_admissions, guard) = timed(requests, |(_key, fingerprint)| {
        let admission = breaker.admit(now, *fingerprint);
        breaker.finish(now, *fingerprint, quarantine::RunOutcome::Answered);
        admission
    });
    guard
}

fn limits() -> idempotency::Limits {
    idempotency::Limits {
        retention: time::Duration::from_secs(2 * ISSUE_PERIOD_SECONDS),
        ..idempotency::Limits::default()
    }
}

/// Returns the text of a key; issue times are spread over half the retention.
fn key_text(home: &name::Incarnation, number: u64) -> String {
    let issued = START_SECONDS + number % ISSUE_PERIOD_SECONDS;
    format!("{}.{number:032x}", idempotency::Home::new(home, issued))
}

fn started_permit(disposition: idempotency::Disposition) -> Option<idempotency::Permit> {
    match disposition {
        idempotency::Disposition::Start(permit) => Some(permit),
        _ => None,
    }
}

/// Calls `call` for each item and returns the results with the mean nanoseconds per call.
fn timed<T, R>(items: &[T], mut call: impl FnMut(&T) -> R) -> (Vec<R>, u128) {
    let mut results = Vec::with_capacity(items.len());
    let start = time::Instant::now();
    for item in items {
        results.push(call(hint::black_box(item)));
    }
    let nanos = start.elapsed().as_nanos() / items.len().max(1) as u128;
    (results, nanos)
}
