//! `skylark key`: issues and withdraws callers' keys.

use skylark_core::name;
use skylark_core::record;
use skylark_core::secret;
use skylark_core::suggest;
use skylark_core::unit;

use crate::error;
use crate::options;
use crate::random;
use crate::session;
use crate::store;

/// Output of a command that issued a key, the only place where its secret appears.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Issued {
    name: String,
    account: name::Account,
    secret: String,
    version: unit::Version,
}

/// Issues a key and prints its secret, of which only a digest is stored.
///
/// # Errors
///
/// Fails when the name is in use, the account is unknown, or the change is not accepted.
pub async fn issue(session: &session::Session, flags: &options::Issue) -> error::Result<()> {
    let account = name::Account::new(&flags.account)?;
    let base = session.snapshot().await?;
    let id = record_id(&flags.name);
    if base.records.contains_key(&id) || base.unreadable.contains_key(&id) {
        let text = format!("key '{}' already exists: choose another name", flags.name);
        return Err(error::Error::Usage(text));
    }
    let secret = random::secret()?;
    let key = record::Key {
        name: flags.name.clone(),
        account: account.clone(),
        digest: secret::Secret::new(&secret).digest(),
        state: record::State::Valid,
    };
    let version = session.store()?.commit(&base, put_key(key)).await?;
    let printed_secret = secret.clone();
    let issued = Issued {
        name: flags.name.clone(),
        account,
        secret,
        version,
    };
    session.output(&issued, &printed_secret)?;
    let stage = session.wait_for_rollout(version).await?;
    session.check_stage(version, stage)
}

/// Withdraws a key permanently.
///
/// # Errors
///
/// Fails when no key has the name or the change is not accepted.
pub async fn withdraw(session: &session::Session, flags: &options::Withdraw) -> error::Result<()> {
    let base = session.snapshot().await?;
    let known = base.records.get(&record_id(&flags.name));
    let known = known.and_then(|document| document.key.clone());
    let mut key = known.ok_or_else(|| not_found(&base, &flags.name))?;
    if key.state == record::State::Withdrawn {
        let summary = format!("key '{}' withdrawn", flags.name);
        return super::commit(session, &base, store::Edit::default(), &summary).await;
    }
    key.state = record::State::Withdrawn;
    let summary = format!("key '{}' withdrawn", flags.name);
    super::commit(session, &base, put_key(key), &summary).await
}

fn not_found(base: &store::Snapshot, name: &str) -> error::Error {
    let keys = base
        .records
        .values()
        .filter_map(|record| record.key.as_ref());
    let hint = suggest::nearest(name, keys.map(|key| key.name.as_str()));
    let hint = hint.map(|hint| format!(": did you mean '{hint}'?"));
    error::Error::NotFound(format!(
        "no key has the name '{name}'{}",
        hint.unwrap_or_default()
    ))
}

fn record_id(name: &str) -> String {
    format!("key/{name}")
}

fn put_key(key: record::Key) -> store::Edit {
    let document = record::Document {
        key: Some(key),
        ..record::Document::empty()
    };
    store::Edit {
        put: vec![document],
        removed: Vec::new(),
    }
}
