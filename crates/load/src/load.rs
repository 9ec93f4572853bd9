//! Open-loop load: requests leave when they are due, however late earlier answers are.

use std::sync;
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
    let begin = time::Instant::now() + time::Duration::from_millis(100);
    for (index, account) in load.accounts.iter().enumerate() {
        let source = Source {
            index,
            account: account.clone(),
            caller: sync::Arc::clone(&caller),
            path: load.path.clone(),
            method: load.method.clone(),
            idempotency: load.idempotency.clone(),
            results: sender.clone(),
        };
        tokio::spawn(source.run(arrivals(load, index, account), begin));
    }
    drop(sender);
    report::collect(load, receiver).await
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
    async fn run(self, arrivals: Vec<time::Duration>, begin: time::Instant) {
        let source = sync::Arc::new(self);
        for (number, due) in arrivals.into_iter().enumerate() {
            let at = begin + due;
            tokio::time::sleep_until(at.into()).await;
            tokio::spawn(sync::Arc::clone(&source).send(number, due, at));
        }
    }

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
