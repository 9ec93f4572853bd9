//! `skylark apply`: puts the records of files in force.

use crate::error;
use crate::files;
use crate::options;
use crate::print;
use crate::session;
use crate::store;

/// Commits the records of the files that differ from those accepted.
///
/// # Errors
///
/// Fails when any record is refused, or the change is not accepted.
pub async fn run(session: &session::Session, flags: &options::Apply) -> error::Result<()> {
    let files = files::Files::new(&flags.files)?;
    let base = session.store()?.snapshot().await?;
    let documents = files.documents(base.records.values())?;
    let edit = store::Edit {
        put: base.changed(&documents),
        removed: Vec::new(),
    };
    if flags.dry_run {
        return super::diff::show(session, &base, &edit.put);
    }
    let what = format!("{} put", print::records(edit.put.len()));
    super::commit(session, &base, edit, &what).await
}
