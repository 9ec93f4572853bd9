//! Open-loop load generator: sends each request when due, however late earlier responses are.
//!
//! Latency counts from the due time, so slow responses are not hidden by later requests that
//! wait for them (coordinated omission).

use std::hint;
use std::sync;
use std::thread;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_wire::header;
use tokio::sync::mpsc;

use super::account;
use super::caller;
use super::error;
use super::options;
use super::report;

/// Time from the preparation of the load to the start of the run.
const START_DELAY: time::Duration = time::Duration::from_millis(100);

/// Last part of each wait, which spins because a sleep may end late.
const SPIN_TIME: time::Duration = time::Duration::from_micros(100);

/// Placeholder in an idempotency key.
const NUMBER_PLACEHOLDER: &str = "NUMBER";
const STATUS_OK: u16 = 200;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const MIN_ERROR_STATUS: u16 = 400;

/// Sends the load and prints the report.
///
/// # Errors
///
/// Fails when no entry host is found or the report cannot be written.
pub async fn run(load: &options::Load) -> error::Result<()> {
    let caller = sync::Arc::new(caller::Caller::new(&load.destination).await?);
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut arrivals = Vec::new();
    let mut workloads = Vec::new();
    for (index, account) in load.accounts.iter().enumerate() {
        arrivals.extend(
            arrival_times(load, index, account)
                .into_iter()
                .map(|due| Arrival { due, index }),
        );
        workloads.push(sync::Arc::new(Workload {
            index,
            account: account.clone(),
            caller: sync::Arc::clone(&caller),
            path: load.path.clone(),
            method: load.method.clone(),
            idempotency_key: load.idempotency_key.clone(),
            samples: sender.clone(),
        }));
    }
    drop(sender);
    arrivals.sort_by_key(|arrival| arrival.due);
    let runtime = tokio::runtime::Handle::current();
    let dispatcher = thread::spawn(move || dispatch(&arrivals, &workloads, &runtime));
    let report = report::collect(load, receiver).await;
    let _ended = dispatcher.join();
    report
}

/// One request of a workload, due at a time from the start of the run.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    due: time::Duration,
    index: usize,
}

/// Starts each request when it is due.
///
/// Runs on a thread of its own, as a thread's sleep is finer than the timer of the runtime.
fn dispatch(
    arrivals: &[Arrival],
    workloads: &[sync::Arc<Workload>],
    runtime: &tokio::runtime::Handle,
) {
    let start = time::Instant::now() + START_DELAY;
    for (number, arrival) in arrivals.iter().enumerate() {
        let at = start + arrival.due;
        wait_until(at);
        let workload = sync::Arc::clone(&workloads[arrival.index]);
        runtime.spawn(workload.send(number, arrival.due, at));
    }
}

fn wait_until(at: time::Instant) {
    let remaining = at.saturating_duration_since(time::Instant::now());
    if remaining > SPIN_TIME {
        thread::sleep(remaining.saturating_sub(SPIN_TIME));
    }
    while time::Instant::now() < at {
        hint::spin_loop();
    }
}

/// Returns the due times of the requests of an account, drawn from a Poisson process.
///
/// Each account draws from its own stream of the random generator, so its times depend only on
/// the seed, its position, its rate and the duration of the run.
fn arrival_times(
    load: &options::Load,
    index: usize,
    account: &account::Account,
) -> Vec<time::Duration> {
    let stream = u64::try_from(index).unwrap_or(0);
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(load.seed);
    random.set_stream(stream);
    let mut times = Vec::new();
    let mut at = time::Duration::ZERO;
    if account.send_rate == 0 {
        return times;
    }
    let mean_gap = time::Duration::from_secs(1).div_f64(f64::from(account.send_rate));
    loop {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at += mean_gap.mul_f64(-uniform.ln());
        if at >= load.duration {
            return times;
        }
        times.push(at);
    }
}

/// Requests that one client account sends.
struct Workload {
    index: usize,
    account: account::Account,
    caller: sync::Arc<caller::Caller>,
    path: String,
    method: String,
    idempotency_key: Option<String>,
    samples: mpsc::UnboundedSender<report::Sample>,
}

impl Workload {
    async fn send(self: sync::Arc<Self>, number: usize, due: time::Duration, at: time::Instant) {
        let unique = format!("{}-{number}", self.index);
        let idempotency_key = self.idempotency_key.as_ref();
        let idempotency_key = idempotency_key.map(|text| text.replace(NUMBER_PLACEHOLDER, &unique));
        let request = caller::Request {
            method: &self.method,
            path: &self.path,
            key: Some(self.account.key.as_str()).filter(|key| !key.is_empty()),
            idempotency_key: idempotency_key.as_deref(),
            attempt: 1,
            body: "",
        };
        let completion = match self.caller.send(&request).await {
            Ok(response) if response.status == STATUS_OK => report::Completion::Answered,
            Ok(response) if response.status == STATUS_TOO_MANY_REQUESTS => {
                report::Completion::OverRate
            }
            Ok(response) if response.headers.contains_key(header::OUTCOME) => {
                report::Completion::Refused
            }
            Ok(response) if response.status >= MIN_ERROR_STATUS => report::Completion::Refused,
            Ok(_) => report::Completion::Answered,
            Err(_error) => report::Completion::Lost,
        };
        let _closed = self.samples.send(report::Sample {
            account: self.index,
            due,
            latency: at.elapsed(),
            completion,
        });
    }
}
