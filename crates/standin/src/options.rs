//! Command line of the stand-ins.

use std::net;
use std::str;

use super::error;

const DEFAULT_THREADS: usize = 2;

mod flags {
    type Address = std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-ins for the platform and for targets, for tests and trials on loopback.
        cmd skylark-standin {
            /// Worker threads
            optional --threads threads: usize
            /// Run the platform: table, object store and list of hosts
            cmd platform {
                /// Address to listen on
                required --listen listen: Address
            }
            /// Run targets
            cmd targets {
                /// Targets as NAME=ADDRESS/SLOTS
                repeated target: String
                /// Time that each request takes, in microseconds
                optional --work-micros micros: u64
            }
        }
    }
}

/// Stand-in to run.
#[derive(Clone, Debug)]
pub enum Command {
    /// Platform, listening on this address.
    Platform(net::SocketAddr),
    /// Targets, all in one process.
    Targets(Vec<Target>),
}

/// One simulated target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name that its responses and its report state.
    pub name: String,
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Processing time of each request, in microseconds.
    pub work_micros: u64,
}

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Stand-in to run.
    pub command: Command,
    /// Number of worker threads of the runtime.
    pub threads: usize,
}

impl Options {
    /// Parses the command line; exits the process on an unknown flag.
    ///
    /// # Errors
    ///
    /// Fails on a malformed target.
    pub fn from_args() -> error::Result<Self> {
        let flags = flags::SkylarkStandin::from_env_or_exit();
        let command = match flags.subcommand {
            flags::SkylarkStandinCmd::Platform(platform) => Command::Platform(platform.listen),
            flags::SkylarkStandinCmd::Targets(targets) => {
                let work_micros = targets.work_micros.unwrap_or(0);
                let parsed = targets
                    .target
                    .iter()
                    .map(|text| Target::parse(text, work_micros));
                Command::Targets(parsed.collect::<error::Result<_>>()?)
            }
        };
        Ok(Self {
            command,
            threads: flags.threads.unwrap_or(DEFAULT_THREADS),
        })
    }
}

impl Target {
    fn parse(text: &str, work_micros: u64) -> error::Result<Self> {
        let invalid = || error::Error::Target(text.to_owned());
        let (name, rest) = text.split_once('=').ok_or_else(invalid)?;
        let (address, slots) = rest.split_once('/').ok_or_else(invalid)?;
        let address: net::SocketAddr = parse_field(address, invalid)?;
        let slots = parse_field(slots, invalid)?;
        Ok(Self {
            name: name.to_owned(),
            address,
            slots,
            work_micros,
        })
    }
}

fn parse_field<T: str::FromStr>(
    text: &str,
    invalid: impl Fn() -> error::Error,
) -> error::Result<T> {
    text.parse().map_err(|_error| invalid())
}
