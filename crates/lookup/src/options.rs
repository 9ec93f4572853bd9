//! Command line of the look-up process.

use std::path;

use skylark_runtime::settings as files;

use super::error;
use super::settings;

type File = path::PathBuf;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Options {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Whether to check the settings and exit.
    pub is_check: bool,
}

impl Options {
    /// Reads the command line and the settings file that it names.
    ///
    /// # Errors
    ///
    /// Fails when the settings are wrong.
    pub fn from_args() -> error::Result<Self> {
        let flags = xflags::parse_or_exit! {
            /// Settings file in YAML
            required settings: File
            /// Check the settings and exit
            optional --check
        };
        let settings = files::load(&flags.settings)?;
        Ok(Self {
            settings,
            is_check: flags.check,
        })
    }
}
