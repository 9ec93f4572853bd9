//! `skylark apply`: puts the records of files in force.

use crate::error;
use crate::files;
use crate::options;
use crate::session;
use crate::store;

/// Commits the records of the files that differ from those accepted.
///
/// # Errors
///
/// Fails when any record is refused, or the change is not accepted.
pub async fn run(session: &session::Session, flags: &options::Apply) -> error::Result<()> {
    let files = files::Files::new(&flags.files)?;
    let store = session.store()?;
    let base = store.snapshot().await?;
    let documents = files.documents(base.records.values())?;
    let edit = store::Edit {
        put: base.changed(&documents),
        removed: Vec::new(),
    };
    let put = edit.put.len();
    let version = if edit.is_empty() {
        base.head.version
    } else {
        store.commit(&base, edit).await?
    };
    let accepted = super::Accepted {
        version,
        put,
        removed: 0,
    };
    let sentence = if put == 0 {
        format!("nothing to change: version {version} has these records")
    } else {
        format!("version {version} is accepted: {put} records put")
    };
    session.say(&accepted, &sentence)
}
