//! Duration of admission and target choice as accounts and targets grow.

use std::hint;
use std::io;
use std::io::Write as _;
use std::time;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::unit;

use super::error;
use super::options;

const ROUNDS: u64 = 20_000;
const ACCOUNTS: [usize; 4] = [8, 80, 800, 8_000];
const TARGETS: [usize; 3] = [12, 120, 480];
/// Length of the queue while admission is measured.
const QUEUED_REQUESTS: u64 = 32;

/// Mean durations in nanoseconds at one number of accounts and targets.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
struct Point {
    accounts: usize,
    targets: usize,
    choice: u64,
    admission: u64,
}

/// Measures and prints the durations at each size.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn run(options: &options::Options) -> error::Result<()> {
    let sizes = ACCOUNTS
        .iter()
        .flat_map(|accounts| TARGETS.iter().map(|targets| (*accounts, *targets)));
    let points: Vec<Point> = sizes.map(|(a, t)| measure(a, t)).collect();
    let mut out = io::stdout().lock();
    if options.is_json {
        writeln!(out, "{}", serde_json::to_string(&points)?)?;
        return Ok(());
    }
    writeln!(out, "accounts  targets  choice ns  admission ns")?;
    for point in points {
        writeln!(
            out,
            "{:>8}  {:>7}  {:>9}  {:>12}",
            point.accounts, point.targets, point.choice, point.admission
        )?;
    }
    Ok(())
}

fn measure(accounts: usize, targets: usize) -> Point {
    Point {
        accounts,
        targets,
        choice: measure_choice(targets),
        admission: measure_admission(accounts),
    }
}

/// Returns the nanoseconds for a seed, a choice, and the records of start and completion.
fn measure_choice(targets: usize) -> u64 {
    let documents = record::parse(&records(targets)).unwrap_or_default();
    let catalog = catalog::Catalog::new(unit::Version::new(1), &documents).unwrap_or_default();
    let names = name::Service::new("stock").ok();
    let Some((service, zone)) = names.zip(name::Zone::new("a-0").ok()) else {
        return 0;
    };
    let start = instant::Instant::ORIGIN;
    let mut pool = steer::Pool::new(&catalog, &service, &zone, None, start);
    let ids: Vec<name::Request> = request_ids(1_024);
    let started = time::Instant::now();
    for (number, id) in (0..ROUNDS).zip(ids.iter().cycle()) {
        let now = instant::Instant::from_micros(number * 500);
        let query =
            steer::TargetQuery::new(steer::Seed::of(hint::black_box(id))).with_remaining(300_000);
        let (inputs, choice) = pool.choose(&query, |_, _| true, now);
        hint::black_box(inputs);
        if let steer::Choice::Target(index) = choice {
            pool.start(index, now);
            let completion = steer::Completion::Answered(10_000);
            pool.finish(index, completion, steer::LoadReport::default(), now);
        }
    }
    nanos_per_round(started)
}

/// Returns the nanoseconds to enqueue and dequeue while requests of many accounts wait.
fn measure_admission(accounts: usize) -> u64 {
    let names: Vec<Option<name::Account>> = (0..accounts)
        .map(|number| name::Account::new(&format!("account-{number}")).ok())
        .collect();
    let throughput = steer::Throughput {
        concurrency: 5,
        service_time: 100,
        response_time: 100,
    };
    let mut queue = steer::Queue::new(64);
    let now = instant::Instant::ORIGIN;
    let enqueue_request = |queue: &mut steer::Queue<u64>, number: u64| {
        let account_index = usize::try_from(number).unwrap_or(0) * 7_919 % accounts;
        let entry = steer::QueueEntry {
            account: names[account_index].clone(),
            deadline: Some(instant::Instant::from_micros(900_000 + number)),
            item: number,
        };
        hint::black_box(queue.enqueue(entry, throughput, now));
    };
    for number in 0..QUEUED_REQUESTS {
        enqueue_request(&mut queue, number);
    }
    let started = time::Instant::now();
    for number in 0..ROUNDS {
        enqueue_request(&mut queue, QUEUED_REQUESTS + number);
        hint::black_box(queue.dequeue(100, now));
    }
    nanos_per_round(started)
}

fn nanos_per_round(started: time::Instant) -> u64 {
    let nanos = started.elapsed().as_nanos() / u128::from(ROUNDS);
    u64::try_from(nanos).unwrap_or(u64::MAX)
}

fn request_ids(count: usize) -> Vec<name::Request> {
    let id = |number| name::Request::new(&format!("host-1-0123456789abcdef.{number:x}")).ok();
    (0..count).filter_map(id).collect()
}

fn records(targets: usize) -> String {
    let target = |number: usize| {
        let zone = number % 2;
        format!(
            "---\nschema: 1\ntarget: {{name: t-{number:03}, service: stock, zone: a-{zone}, \
             address: '127.0.0.1:{}', slots: 5, connections: 330}}\n",
            9_000 + number
        )
    };
    let targets: String = (0..targets).map(target).collect();
    format!("{SERVICE_RECORD}{targets}")
}

const SERVICE_RECORD: &str = "schema: 1
region: {name: a, zones: [a-0, a-1], delay: 3ms}
---
schema: 1
service:
  name: stock
  routes:
    - {methods: [GET], path: /stock, access: open, idempotent: true}
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}
";
