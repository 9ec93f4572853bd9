//! `skylark apply`: commits the records of files.

use crate::error;
use crate::files;
use crate::options;
use crate::print;
use crate::session;
use crate::store;

/// Commits the records of the files that differ from those on the platform.
///
/// # Errors
///
/// Fails when any record is invalid or the change is not accepted.
pub async fn run(session: &session::Session, flags: &options::Apply) -> error::Result<()> {
    let files = files::Files::new(&flags.files)?;
    let base = session.snapshot().await?;
    let documents = files.documents(base.records.values())?;
    let edit = store::Edit {
        put: base.changed(&documents),
        removed: Vec::new(),
    };
    if flags.dry_run {
        return super::diff::print_differences(session, &base, &edit.put);
    }
    let summary = format!("{} put", print::record_count(edit.put.len()));
    super::commit(session, &base, edit, &summary).await
}
