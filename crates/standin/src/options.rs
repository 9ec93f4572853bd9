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

/// Which stand-in to run.
#[derive(Clone, Debug)]
pub enum Part {
    /// The platform, on an address.
    Platform(net::SocketAddr),
    /// Targets.
    Targets(Vec<Target>),
}

/// One target to stand in for.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Address that takes requests.
    pub address: net::SocketAddr,
    /// Requests that run at once.
    pub slots: usize,
    /// Time that each request takes, in microseconds.
    pub work_micros: u64,
}

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The stand-in.
    pub part: Part,
    /// Worker threads.
    pub threads: usize,
}

impl Options {
    /// Reads the command line.
    ///
    /// # Errors
    ///
    /// Fails on an unknown flag or a malformed target.
    pub fn from_args() -> error::Result<Self> {
        let flags = flags::SkylarkStandin::from_env_or_exit();
        let part = match flags.subcommand {
            flags::SkylarkStandinCmd::Platform(platform) => Part::Platform(platform.listen),
            flags::SkylarkStandinCmd::Targets(targets) => {
                let work = targets.work_micros.unwrap_or(0);
                let read = targets.target.iter().map(|text| Target::parse(text, work));
                Part::Targets(read.collect::<error::Result<_>>()?)
            }
        };
        Ok(Self {
            part,
            threads: flags.threads.unwrap_or(DEFAULT_THREADS),
        })
    }
}

impl Target {
    fn parse(text: &str, work_micros: u64) -> error::Result<Self> {
        let fault = || error::Error::Target(text.to_owned());
        let (name, rest) = text.split_once('=').ok_or_else(fault)?;
        let (address, slots) = rest.split_once('/').ok_or_else(fault)?;
        let address: net::SocketAddr = read(address, fault)?;
        let slots = read(slots, fault)?;
        Ok(Self {
            name: name.to_owned(),
            address,
            slots,
            work_micros,
        })
    }
}

fn read<T: str::FromStr>(text: &str, fault: impl Fn() -> error::Error) -> error::Result<T> {
    text.parse().map_err(|_error| fault())
}
