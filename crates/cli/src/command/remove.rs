//! `skylark remove`: removes records.

use skylark_core::suggest;

use crate::error;
use crate::options;
use crate::print;
use crate::session;
use crate::store;

/// Removes records that no other record refers to.
///
/// # Errors
///
/// Fails when a record does not exist, another record refers to it, or the change is not
/// accepted.
pub async fn run(session: &session::Session, flags: &options::Remove) -> error::Result<()> {
    if flags.ids.is_empty() {
        return Err(error::Error::Usage(
            "no record was given: name records as KIND/NAME".to_owned(),
        ));
    }
    let base = session.snapshot().await?;
    let is_stored = |id: &String| base.records.contains_key(id) || base.unreadable.contains_key(id);
    let missing = flags.ids.iter().find(|id| !is_stored(id));
    if let Some(id) = missing {
        let hint = suggest::nearest(id, base.records.keys().map(String::as_str));
        let hint = hint.map(|id| format!(": did you mean '{id}'?"));
        let text = format!("record '{id}' does not exist{}", hint.unwrap_or_default());
        return Err(error::Error::NotFound(text));
    }
    let edit = store::Edit {
        put: Vec::new(),
        removed: flags.ids.clone(),
    };
    let summary = format!("{} removed", print::record_count(edit.removed.len()));
    super::commit(session, &base, edit, &summary).await
}
