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

/// Command to run.
#[derive(Clone, Debug)]
pub enum Command {
    /// Sends one request.
    Call(Call),
    /// Sends an open-loop load.
    Load(Load),
}

/// Address of the system under test, and options of all its callers.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Base URL of a look-up.
    pub lookup: Option<String>,
    /// Base URL for requests, which replaces the entry hosts of the look-up.
    pub url: Option<String>,
    /// Availability zone of the callers.
    pub zone: Option<String>,
    /// Time that a caller waits for a response, also sent with each request.
    pub timeout: time::Duration,
    /// Whether the report is printed as JSON.
    pub is_json: bool,
}

/// Single request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Destination of the requests.
    pub destination: Destination,
    /// Path and query.
    pub path: String,
    /// API key of the account.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Idempotency key, in which `HOME` is replaced by the home that the look-up returned.
    pub idempotency_key: Option<String>,
    /// Number of the attempt under the idempotency key, from 1.
    pub attempt: u32,
    /// Text of the body.
    pub body: String,
}

/// Open-loop load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Destination of the requests.
    pub destination: Destination,
    /// Path and query.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Idempotency key, in which `HOME` and `NUMBER` are replaced by the home and by a unique
    /// number of the request.
    pub idempotency_key: Option<String>,
    /// Client accounts that send requests.
    pub accounts: Vec<account::Account>,
    /// Duration of the run.
    pub duration: time::Duration,
    /// Seed of the random arrival times.
    pub seed: u64,
}

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Command to run.
    pub command: Command,
    /// Number of worker threads of the runtime.
    pub threads: usize,
}

impl Options {
    /// Parses the command line; exits the process on an unknown flag.
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
        let command = match flags.subcommand {
            flags::SkylarkLoadCmd::Call(call) => Command::Call(Call::new(destination, call)),
            flags::SkylarkLoadCmd::Run(run) => Command::Load(Load::new(destination, run)?),
        };
        Ok(Self {
            command,
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
            idempotency_key: flags.idempotency_key,
            attempt: flags.attempt.unwrap_or(1),
            body: flags.body.unwrap_or_default(),
        }
    }
}

impl Load {
    fn new(destination: Destination, flags: flags::Run) -> error::Result<Self> {
        let parsed = flags.account.iter().map(|text| text.parse());
        let duration = time::Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS));
        Ok(Self {
            destination,
            path: flags.path,
            method: flags.method.unwrap_or_else(|| "GET".to_owned()),
            idempotency_key: flags.idempotency_key,
            accounts: parsed.collect::<error::Result<_>>()?,
            duration,
            seed: flags.seed.unwrap_or(1),
        })
    }
}
