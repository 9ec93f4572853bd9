//! `skylark key`: issues and withdraws keys of callers.

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

/// What is printed once when a key is issued.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Issued {
    name: String,
    account: name::Account,
    secret: String,
    version: unit::Version,
}

/// Issues a key and prints its secret, which nothing else keeps.
///
/// # Errors
///
/// Fails when the name is taken, the account is unknown, or the change is not accepted.
pub async fn issue(session: &session::Session, flags: &options::Issue) -> error::Result<()> {
    let account = name::Account::new(&flags.account)?;
    let store = session.store()?;
    let base = store.snapshot().await?;
    if base.records.contains_key(&id(&flags.name)) {
        let text = format!(
            "a key is named '{}' already: choose another name",
            flags.name
        );
        return Err(error::Error::Usage(text));
    }
    let secret = random::secret()?;
    let key = record::Key {
        name: flags.name.clone(),
        account: account.clone(),
        digest: secret::Secret::new(&secret).digest(),
        state: record::State::Valid,
    };
    let version = store.commit(&base, edit(key)).await?;
    let sentence = secret.clone();
    let issued = Issued {
        name: flags.name.clone(),
        account,
        secret,
        version,
    };
    session.say(&issued, &sentence)?;
    let reach = session.wait(version).await?;
    session.judge(version, reach)
}

/// Withdraws a key for good.
///
/// # Errors
///
/// Fails when no key has the name, or the change is not accepted.
pub async fn withdraw(session: &session::Session, flags: &options::Withdraw) -> error::Result<()> {
    let base = session.store()?.snapshot().await?;
    let known = base.records.get(&id(&flags.name));
    let known = known.and_then(|document| document.key.clone());
    let mut key = known.ok_or_else(|| absent(&base, &flags.name))?;
    if key.state == record::State::Withdrawn {
        let what = format!("key '{}' withdrawn", flags.name);
        return super::commit(session, &base, store::Edit::default(), &what).await;
    }
    key.state = record::State::Withdrawn;
    let what = format!("key '{}' withdrawn", flags.name);
    super::commit(session, &base, edit(key), &what).await
}

fn absent(base: &store::Snapshot, name: &str) -> error::Error {
    let keys = base
        .records
        .values()
        .filter_map(|record| record.key.as_ref());
    let hint = suggest::nearest(name, keys.map(|key| key.name.as_str()));
    let hint = hint.map(|hint| format!(": did you mean '{hint}'?"));
    error::Error::Absent(format!(
        "no key is named '{name}'{}",
        hint.unwrap_or_default()
    ))
}

fn id(name: &str) -> String {
    format!("key/{name}")
}

fn edit(key: record::Key) -> store::Edit {
    let document = record::Document {
        key: Some(key),
        ..record::Document::empty()
    };
    store::Edit {
        put: vec![document],
        removed: Vec::new(),
    }
}
