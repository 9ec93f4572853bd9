//! `skylark remove`: removes records.

use skylark_core::suggest;

use crate::error;
use crate::options;
use crate::print;
use crate::session;
use crate::store;

/// Removes records that no other record names.
///
/// # Errors
///
/// Fails when a record is absent, is named by another, or the change is not accepted.
pub async fn run(session: &session::Session, flags: &options::Remove) -> error::Result<()> {
    if flags.ids.is_empty() {
        return Err(error::Error::Usage("name records as KIND/NAME".to_owned()));
    }
    let base = session.store()?.snapshot().await?;
    let absent = flags.ids.iter().find(|id| !base.records.contains_key(*id));
    if let Some(id) = absent {
        let hint = suggest::nearest(id, base.records.keys().map(String::as_str));
        let hint = hint.map(|id| format!(": did you mean '{id}'?"));
        let text = format!("no record is '{id}'{}", hint.unwrap_or_default());
        return Err(error::Error::Absent(text));
    }
    let edit = store::Edit {
        put: Vec::new(),
        removed: flags.ids.clone(),
    };
    let what = format!("{} removed", print::records(edit.removed.len()));
    super::commit(session, &base, edit, &what).await
}
