//! `skylark check`: checks files of records without a platform.

use skylark_core::catalog;
use skylark_core::unit;

use crate::error;
use crate::files;
use crate::options;
use crate::session;

#[derive(Debug, serde::Serialize)]
struct Checked {
    records: usize,
}

/// Checks the records of the files, and between them.
///
/// # Errors
///
/// Fails when any record is refused.
pub fn run(session: &session::Session, flags: &options::Check) -> error::Result<()> {
    let documents = files::read(&flags.files)?;
    catalog::Catalog::new(unit::Version::NONE, &documents)?;
    let records = documents.len();
    session.say(&Checked { records }, &format!("{records} records are good"))
}
