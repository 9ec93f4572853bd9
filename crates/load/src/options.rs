//! Command line of the load tool.

use std::time;

use super::account;
use super::error;

const DEFAULT_THREADS: usize = 2;
const DEFAULT_SECONDS: u64 = 5;
const DEFAULT_TIMEOUT_MILLIS: u64 = 2_000;

mod flags {
    xflags::xflags! {
        /// A caller of skylarkmount, for trials and measurements.
        cmd skylark-load {
            /// Worker threads
            optional --threads threads: usize
            /// Address of a look-up, such as http://127.10.1.1:8002
            optional --lookup lookup: String
            /// Base address for requests, in place of those that the look-up names
            optional --url url: String
            /// Availability zone of the callers
            optional --zone zone: String
            /// Time that callers wait, in milliseconds
            optional --timeout millis: u64
            /// Print JSON
            optional --json
            /// Send one request and print its answer
            cmd call {
                /// Path and query
                required path: String
                /// Key of the caller
                optional --key key: String
                /// HTTP method
                optional --method method: String
                /// Idempotency key; HOME stands for the home that the look-up names
                optional --idempotency-key text: String
                /// Number of the attempt under the idempotency key
                optional --attempt number: u32
                /// Body of the request
                optional --body body: String
            }
            /// Send an open-loop load and print what came back
            cmd run {
                /// Path and query
                required path: String
                /// Accounts as NAME,KEY,SENT,RATE,BURST
                repeated --account account: String
                /// HTTP method
                optional --method method: String
                /// Idempotency key; HOME stands for the home, NUMBER for a number of the request
                optional --idempotency-key text: String
                /// Length of the run, in seconds
                optional --seconds seconds: u64
                /// Seed of the arrivals
                optional --seed seed: u64
            }
        }
    }
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Work {
    /// Send one request.
    Call(Call),
    /// Send a load.
    Load(Load),
}

/// Where requests go.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Address of a look-up.
    pub lookup: Option<String>,
    /// Base address for requests, in place of those that the look-up names.
    pub url: Option<String>,
    /// Availability zone of the callers.
    pub zone: Option<String>,
    /// Time that callers wait.
    pub timeout: time::Duration,
    /// Whether the output is JSON.
    pub is_json: bool,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where it goes.
    pub destination: Destination,
    /// Path and query.
    pub path: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Idempotency key.
    pub idempotency: Option<String>,
    /// Number of the attempt.
    pub attempt: u32,
    /// Body.
    pub body: String,
}

/// A load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where it goes.
    pub destination: Destination,
    /// Path and query.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Idempotency key, in which `NUMBER` stands for a number of the request.
    pub idempotency: Option<String>,
    /// Client accounts that send.
    pub accounts: Vec<account::Account>,
    /// Length of the run.
    pub length: time::Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Options {
    /// What to do.
    pub work: Work,
    /// Worker threads.
    pub threads: usize,
}

impl Options {
    /// Reads the command line.
    ///
    /// # Errors
    ///
    /// Fails on a malformed account.
    pub fn from_args() -> error::Result<Self> {
        let flags = flags::SkylarkLoad::from_env_or_exit();
        let destination = Destination {
            lookup: flags.lookup,
            url: flags.url,
            zone: flags.zone,
            timeout: time::Duration::from_millis(flags.timeout.unwrap_or(DEFAULT_TIMEOUT_MILLIS)),
            is_json: flags.json,
        };
        let work = match flags.subcommand {
            flags::SkylarkLoadCmd::Call(call) => Work::Call(Call::new(destination, call)),
            flags::SkylarkLoadCmd::Run(run) => Work::Load(Load::new(destination, run)?),
        };
        Ok(Self {
            work,
            threads: flags.threads.unwrap_or(DEFAULT_THREADS),
        })
    }
}

impl Call {
    fn new(destination: Destination, flags: flags::Call) -> Self {
        Self {
            destination,
            path: flags.path,
            key: flags.key,
            method: flags.method.unwrap_or_else(|| "GET".to_owned()),
            idempotency: flags.idempotency_key,
            attempt: flags.attempt.unwrap_or(1),
            body: flags.body.unwrap_or_default(),
        }
    }
}

impl Load {
    fn new(destination: Destination, flags: flags::Run) -> error::Result<Self> {
        let read = flags.account.iter().map(|text| text.parse());
        let length = time::Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS));
        Ok(Self {
            destination,
            path: flags.path,
            method: flags.method.unwrap_or_else(|| "GET".to_owned()),
            idempotency: flags.idempotency_key,
            accounts: read.collect::<error::Result<_>>()?,
            length,
            seed: flags.seed.unwrap_or(1),
        })
    }
}
