//! `skylark shift`: moves part of a service's traffic from one region to another.

use skylark_core::name;
use skylark_core::record;

use crate::error;
use crate::options;
use crate::session;
use crate::store;

/// Puts the record of a shift, or removes it with `--undo`.
///
/// # Errors
///
/// Fails when a name is unknown, a flag is missing, or the change is not accepted.
pub async fn run(session: &session::Session, flags: &options::Shift) -> error::Result<()> {
    let name = format!("{}-{}-{}", flags.service, flags.from, flags.to);
    let id = format!("shift/{name}");
    let base = session.snapshot().await?;
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
        let document = document(name, flags)?;
        store::Edit {
            put: base.changed(&[document]),
            removed: Vec::new(),
        }
    };
    let state = if flags.undo { "removed" } else { "put" };
    let summary = format!("{id} {state}");
    super::commit(session, &base, edit, &summary).await
}

fn document(name: String, flags: &options::Shift) -> error::Result<record::Document> {
    let (Some(part), Some(cap)) = (flags.part, flags.cap) else {
        let text = "a shift needs both --part and --cap; to end it, give --undo".to_owned();
        return Err(error::Error::Usage(text));
    };
    let shift = record::Shift {
        name,
        service: name::Service::new(&flags.service)?,
        from: name::Region::new(&flags.from)?,
        to: name::Region::new(&flags.to)?,
        part,
        cap,
    };
    Ok(record::Document {
        shift: Some(shift),
        ..record::Document::empty()
    })
}
