//! `skylark check`: validates files of records without a platform.

use std::iter;

use crate::error;
use crate::files;
use crate::options;
use crate::print;
use crate::session;

#[derive(Debug)]
#[derive(serde::Serialize)]
struct Checked {
    records: usize,
}

/// Validates each record of the files and the references between them.
///
/// # Errors
///
/// Fails when a file cannot be read or any record is invalid.
pub fn run(session: &session::Session, flags: &options::Check) -> error::Result<()> {
    let documents = files::Files::new(&flags.files)?.documents(iter::empty())?;
    let records = documents.len();
    session.output(
        &Checked { records },
        &format!("good: {}", print::record_count(records)),
    )
}
