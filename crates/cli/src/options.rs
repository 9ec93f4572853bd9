//! Commands and flags of the command line.

use std::path::PathBuf;

use skylark_core::suggest;
use skylark_core::unit::{HumanDuration, Percent, Rate};

/// Names of the commands, from which a mistyped one is corrected.
const COMMANDS: [&str; 13] = [
    "check", "apply", "diff", "get", "remove", "key", "issue", "withdraw", "shift", "drain",
    "status", "replay", "burn",
];

xflags::xflags! {
    /// Drives skylarkmount by writing records.
    cmd skylark {
        /// Base address of the platform; without it SKYLARK_PLATFORM is read
        optional --platform url: String
        /// Print JSON for programs
        optional --json
        /// Longest wait until a change is in force everywhere, such as 30s; 0s waits not
        optional --wait span: HumanDuration
        /// Print the version
        optional -V, --version

        /// Check files of records without a platform
        cmd check {
            /// Files of records in YAML
            repeated files: PathBuf
        }
        /// Put the records of files in force
        cmd apply {
            /// Files of records in YAML
            repeated files: PathBuf
            /// Show what would change, and write nothing
            optional --dry-run
        }
        /// Show how the records of files differ from those accepted
        cmd diff {
            /// Files of records in YAML
            repeated files: PathBuf
        }
        /// Show records
        cmd get {
            /// Kind of the records, such as account
            optional kind: String
            /// Name of one record
            optional name: String
            /// Print YAML that can be changed and applied
            optional --yaml
        }
        /// Remove records
        cmd remove {
            /// Records as KIND/NAME
            repeated ids: String
        }
        /// Issue and withdraw keys of callers
        cmd key {
            /// Issue a key and print its secret once
            cmd issue {
                /// Name of the key
                required name: String
                /// Client account for which requests with the key run
                required --account account: String
            }
            /// Withdraw a key for good
            cmd withdraw {
                /// Name of the key
                required name: String
            }
        }
        /// Shift part of a service's traffic from one region to another, under a cap
        cmd shift {
            /// Service whose traffic moves
            required service: String
            /// Region that gives traffic up
            required --from region: String
            /// Region that takes traffic on
            required --to region: String
            /// Part of the giving region's traffic that moves in the end, such as 50%
            optional --part part: Percent
            /// Most shifted requests a second over all entry hosts, such as 100/s
            optional --cap rate: Rate
            /// End the shift
            optional --undo
        }
        /// Give a target, availability zone or entry host no new work
        cmd drain {
            /// One of target, zone and host, or ended for a host that is off for good
            required kind: String
            /// Name of what is drained
            required name: String
            /// End the drain
            optional --undo
        }
        /// Show which entry hosts live, and what they have in force
        cmd status { }
        /// Run recorded decisions again and compare
        cmd replay {
            /// Id of the request, as its answer's request-id header gave it
            optional id: String
            /// Run every recorded decision again
            optional --all
        }
        /// Report how fast error budgets burn
        cmd burn {
            /// Length of the short window, such as 5m
            optional --short span: HumanDuration
            /// Length of the long window, such as 1h
            optional --long span: HumanDuration
            /// Write a page with plots to this file
            optional --html file: PathBuf
        }
    }
}

/// Returns the command nearest to the first argument that looks like a mistyped one.
pub fn suggestion(arguments: &[String]) -> Option<&'static str> {
    let words = arguments.iter().filter(|word| !word.starts_with('-'));
    let mut unknown = words.filter(|word| !COMMANDS.contains(&word.as_str()));
    unknown.find_map(|word| suggest::nearest(word, COMMANDS))
}
