//! `skylark drain`: stops new requests to a target, availability zone or entry host.

use skylark_core::name;
use skylark_core::record;
use skylark_core::suggest;

use crate::error;
use crate::options;
use crate::session;
use crate::store;

/// Puts the record of a drain, or removes it with `--undo`.
///
/// # Errors
///
/// Fails when the subject is unknown or the change is not accepted.
pub async fn run(session: &session::Session, flags: &options::Drain) -> error::Result<()> {
    let subject = parse_subject(&flags.kind, &flags.name)?;
    let base = session.snapshot().await?;
    let drain = record::Drain {
        name: format!("{}-{}", flags.kind, flags.name),
        subject,
    };
    let id = format!("drain/{}", drain.name);
    let document = record::Document {
        drain: Some(drain),
        ..record::Document::empty()
    };
    let edit = if flags.undo {
        store::Edit {
            put: Vec::new(),
            removed: base
                .records
                .keys()
                .filter(|known| **known == id)
                .cloned()
                .collect(),
        }
    } else {
        store::Edit {
            put: base.changed(&[document]),
            removed: Vec::new(),
        }
    };
    let state = if flags.undo {
        "takes work again"
    } else {
        "gets no new work"
    };
    let summary = format!("{} {} {state}", flags.kind, flags.name);
    super::commit(session, &base, edit, &summary).await
}

fn parse_subject(kind: &str, name: &str) -> error::Result<record::Subject> {
    match kind {
        "target" => Ok(record::Subject::Target(name::Target::new(name)?)),
        "zone" => Ok(record::Subject::Zone(name::Zone::new(name)?)),
        "host" => Ok(record::Subject::Host(name::Host::new(name)?)),
        "ended" => Ok(record::Subject::Ended(name::Host::new(name)?)),
        other => {
            let hint = suggest::hint(other, ["target", "zone", "host", "ended"]);
            let text = format!("'{other}' cannot be drained: {hint}");
            Err(error::Error::Usage(text))
        }
    }
}
