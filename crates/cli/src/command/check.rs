//! `skylark check`: checks files of records without a platform.

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

/// Checks the records of the files, and between them.
///
/// # Errors
///
/// Fails when any record is refused.
pub fn run(session: &session::Session, flags: &options::Check) -> error::Result<()> {
    let documents = files::Files::new(&flags.files)?.documents(iter::empty())?;
    let records = documents.len();
    session.say(
        &Checked { records },
        &format!("good: {}", print::records(records)),
    )
}
