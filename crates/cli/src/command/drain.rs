//! `skylark drain`: gives a target, availability zone or entry host no new work.

use skylark_core::name;
use skylark_core::record;

use crate::error;
use crate::options;
use crate::session;
use crate::store;

/// Puts or removes the record of a drain.
///
/// # Errors
///
/// Fails when the subject is unknown, or the change is not accepted.
pub async fn run(session: &session::Session, flags: &options::Drain) -> error::Result<()> {
    let subject = subject(&flags.kind, &flags.name)?;
    let store = session.store()?;
    let base = store.snapshot().await?;
    let drain = record::Drain {
        name: format!("{}-{}", flags.kind, flags.name),
        subject,
    };
    let id = format!("drain/{}", drain.name);
    let document = record::Document {
        drain: Some(drain),
        ..record::Document::empty()
    };
    let is_drained = base.records.contains_key(&id);
    let edit = match (flags.undo, is_drained) {
        (false, false) => store::Edit {
            put: vec![document],
            removed: Vec::new(),
        },
        (true, true) => store::Edit {
            put: Vec::new(),
            removed: vec![id],
        },
        _ => store::Edit::default(),
    };
    let (put, removed) = (edit.put.len(), edit.removed.len());
    let version = if edit.is_empty() {
        base.head.version
    } else {
        store.commit(&base, edit).await?
    };
    let accepted = super::Accepted {
        version,
        put,
        removed,
    };
    let state = if flags.undo {
        "takes work"
    } else {
        "is drained"
    };
    let sentence = format!("version {version}: {} {} {state}", flags.kind, flags.name);
    session.say(&accepted, &sentence)
}

fn subject(kind: &str, name: &str) -> error::Result<record::Subject> {
    match kind {
        "target" => Ok(record::Subject::Target(name::Target::new(name)?)),
        "zone" => Ok(record::Subject::Zone(name::Zone::new(name)?)),
        "host" => Ok(record::Subject::Host(name::Host::new(name)?)),
        other => Err(error::Error::Usage(format!(
            "'{other}' cannot be drained: write target, zone or host"
        ))),
    }
}
