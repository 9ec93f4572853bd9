//! Flags and commands of the command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Drives skylarkmount by writing records.
    cmd skylark {
        /// Base address of the platform; without it SKYLARK_PLATFORM is read
        optional --platform url: String
        /// Print JSON for programs
        optional --json

        /// Check files of records without a platform
        cmd check {
            /// Files of records in YAML
            repeated files: PathBuf
        }
        /// Put the records of files in force
        cmd apply {
            /// Files of records in YAML
            repeated files: PathBuf
        }
        /// Show records
        cmd get {
            /// Kind of the records, such as account
            optional kind: String
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
        /// Give a target, availability zone or entry host no new work
        cmd drain {
            /// One of target, zone and host
            required kind: String
            /// Name of what is drained
            required name: String
            /// End the drain
            optional --undo
        }
    }
}
