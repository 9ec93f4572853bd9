//! Open-loop load: requests leave when they are due, however late earlier answers are.

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

/// Time from the start of the tool to the begin of the run.
const LEAD: time::Duration = time::Duration::from_millis(100);

/// Time before a request is due that is waited for without sleep.
const SPIN: time::Duration = time::Duration::from_micros(100);

const NUMBER: &str = "NUMBER";
const STATUS_OK: u16 = 200;
const STATUS_OVER_RATE: u16 = 429;
const STATUS_REFUSED: u16 = 400;

/// Sends the load and prints the report.
///
/// # Errors
///
/// Fails when no entry host can be found.
pub async fn run(load: &options::Load) -> error::Result<()> {
    let caller = sync::Arc::new(caller::Caller::new(&load.destination).await?);
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut due = Vec::new();
    let mut sources = Vec::new();
    for (index, account) in load.accounts.iter().enumerate() {
        due.extend(
            arrivals(load, index, account)
                .into_iter()
                .map(|at| Due { at, index }),
        );
        sources.push(sync::Arc::new(Source {
            index,
            account: account.clone(),
            caller: sync::Arc::clone(&caller),
            path: load.path.clone(),
            method: load.method.clone(),
            idempotency: load.idempotency.clone(),
            results: sender.clone(),
        }));
    }
    drop(sender);
    due.sort_by_key(|due| due.at);
    let runtime = tokio::runtime::Handle::current();
    let clock = thread::spawn(move || dispatch(&due, &sources, &runtime));
    let report = report::collect(load, receiver).await;
    let _ended = clock.join();
    report
}

/// One request that is due, at a time from the begin of the run.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: time::Duration,
    index: usize,
}

/// Starts each request when it is due; a thread's sleep is finer than the runtime's timer.
fn dispatch(due: &[Due], sources: &[sync::Arc<Source>], runtime: &tokio::runtime::Handle) {
    let begin = time::Instant::now() + LEAD;
    for (number, one) in due.iter().enumerate() {
        let at = begin + one.at;
        wait_until(at);
        let source = sync::Arc::clone(&sources[one.index]);
        runtime.spawn(source.send(number, one.at, at));
    }
}

fn wait_until(at: time::Instant) {
    let left = at.saturating_duration_since(time::Instant::now());
    if left > SPIN {
        thread::sleep(left.saturating_sub(SPIN));
    }
    while time::Instant::now() < at {
        hint::spin_loop();
    }
}

/// Draws the times at which an account's requests are due, a Poisson process.
fn arrivals(load: &options::Load, index: usize, account: &account::Account) -> Vec<time::Duration> {
    let stream = u64::try_from(index).unwrap_or(0);
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(load.seed);
    random.set_stream(stream);
    let mut due = Vec::new();
    let mut at = time::Duration::ZERO;
    if account.sent == 0 {
        return due;
    }
    let mean = time::Duration::from_secs(1).div_f64(f64::from(account.sent));
    loop {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at += mean.mul_f64(-uniform.ln());
        if at >= load.length {
            return due;
        }
        due.push(at);
    }
}

/// The requests of one client account.
struct Source {
    index: usize,
    account: account::Account,
    caller: sync::Arc<caller::Caller>,
    path: String,
    method: String,
    idempotency: Option<String>,
    results: mpsc::UnboundedSender<report::Sample>,
}

impl Source {
    async fn send(self: sync::Arc<Self>, number: usize, due: time::Duration, at: time::Instant) {
        let unique = format!("{}-{number}", self.index);
        let idempotency = self.idempotency.as_ref();
        let idempotency = idempotency.map(|text| text.replace(NUMBER, &unique));
        let request = caller::Request {
            method: &self.method,
            path: &self.path,
            key: Some(self.account.key.as_str()).filter(|key| !key.is_empty()),
            idempotency: idempotency.as_deref(),
            attempt: 1,
            body: "",
        };
        let fate = match self.caller.send(&request).await {
            Ok(reply) if reply.status == STATUS_OK => report::Fate::Answered,
            Ok(reply) if reply.status == STATUS_OVER_RATE => report::Fate::OverRate,
            Ok(reply) if reply.headers.contains_key(header::OUTCOME) => report::Fate::Refused,
            Ok(reply) if reply.status >= STATUS_REFUSED => report::Fate::Refused,
            Ok(_) => report::Fate::Answered,
            Err(_error) => report::Fate::Lost,
        };
        let _closed = self.results.send(report::Sample {
            account: self.index,
            due,
            latency: at.elapsed(),
            fate,
        });
    }
}
