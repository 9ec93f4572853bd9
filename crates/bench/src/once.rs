//! Cost of the ledger of idempotency keys as the remembered keys grow.

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

const SIZES: [u64; 4] = [1_000, 10_000, 100_000, 450_000];
const START_SECONDS: u64 = 1_765_000_000;
const ISSUE_SPAN_SECONDS: u64 = 900;
const BODY_BYTES: usize = 256;

/// One measured size; times are nanoseconds a call, memory is bytes a key.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
struct Point {
    keys: u64,
    read_key: u128,
    print: u128,
    begin: u128,
    finish: u128,
    replay: u128,
    guard: u128,
    memory: u64,
}

/// Measures and prints the cost at each size.
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
    for p in points {
        writeln!(
            out,
            "{:>6}  {:>8}  {:>5}  {:>5}  {:>6}  {:>6}  {:>8}  {:>11}",
            p.keys, p.read_key, p.print, p.begin, p.finish, p.replay, p.guard, p.memory
        )?;
    }
    Ok(())
}

fn measure(keys: u64) -> Option<Point> {
    let home = name::Incarnation::new("kol-ghat-1-4f2a").ok()?;
    let texts: Vec<String> = (0..keys).map(|number| text(&home, number)).collect();
    let account = name::Account::new("ghat-masters").ok()?;
    let body = vec![b'x'; BODY_BYTES];
    let now = instant::Instant::ORIGIN;
    let (read, read_key) = timed(&texts, |text| idempotency::Key::new(text).ok());
    let read: Vec<idempotency::Key> = read.into_iter().flatten().collect();
    let (prints, print) = timed(&read, |key| {
        idempotency::Fingerprint::new(Some(&account), "POST", key.as_str(), hint::black_box(&body))
    });
    let requests: Vec<(idempotency::Key, idempotency::Fingerprint)> =
        read.into_iter().zip(prints).collect();
    let origin = timestamp::Timestamp::from_millis((START_SECONDS + ISSUE_SPAN_SECONDS) * 1_000);
    let mut ledger = idempotency::Ledger::new(limits(), origin);
    let (answers, begin) = timed(&requests, |(key, print)| ledger.begin(now, key, *print));
    let answer = sync::Arc::new(idempotency::Response {
        target: name::Target::new("order-desk-kol-ghat-1").ok()?,
        status: 200,
        fields: Vec::new(),
        body: Vec::new(),
    });
    let mut permits: Vec<Option<idempotency::Permit>> = answers.into_iter().map(permit).collect();
    permits.reverse();
    let (_entries, finish) = timed(&requests, |_request| {
        let fate = idempotency::FinalState::Answered(sync::Arc::clone(&answer));
        permits
            .pop()
            .flatten()
            .and_then(|permit| ledger.finish(permit, fate))
    });
    let (_replays, replay) = timed(&requests, |(key, print)| ledger.begin(now, key, *print));
    Some(Point {
        keys,
        read_key,
        print,
        begin,
        finish,
        replay,
        guard: guard(&home, &requests),
        memory: u64::try_from(ledger.key_bytes()).unwrap_or(u64::MAX) / keys,
    })
}

/// Returns the cost of entering and leaving the quarantine.
fn guard(
    home: &name::Incarnation,
    requests: &[(idempotency::Key, idempotency::Fingerprint)],
) -> u128 {
    let mut ward = quarantine::Breaker::new(quarantine::Limits::default(), home);
    let now = instant::Instant::ORIGIN;
    let (_passes, guard) = timed(requests, |(_key, print)| {
        let pass = ward.admit(now, *print);
        ward.finish(now, *print, quarantine::RunOutcome::Answered);
        pass
    });
    guard
}

fn limits() -> idempotency::Limits {
    idempotency::Limits {
        retention: time::Duration::from_secs(2 * ISSUE_SPAN_SECONDS),
        ..idempotency::Limits::default()
    }
}

/// Returns a key; issue times are spread over the retention.
fn text(home: &name::Incarnation, number: u64) -> String {
    let issued = START_SECONDS + number % ISSUE_SPAN_SECONDS;
    format!("{}.{number:032x}", idempotency::Home::new(home, issued))
}

fn permit(begin: idempotency::Disposition) -> Option<idempotency::Permit> {
    match begin {
        idempotency::Disposition::Start(permit) => Some(permit),
        _ => None,
    }
}

/// Runs a call for each item and returns the results with the nanoseconds a call.
fn timed<T, R>(items: &[T], mut call: impl FnMut(&T) -> R) -> (Vec<R>, u128) {
    let mut results = Vec::with_capacity(items.len());
    let start = time::Instant::now();
    for item in items {
        results.push(call(hint::black_box(item)));
    }
    let nanos = start.elapsed().as_nanos() / items.len().max(1) as u128;
    (results, nanos)
}
