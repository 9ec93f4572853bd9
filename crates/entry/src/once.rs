//! At most one start of a non-idempotent request whose home is this process.

use std::collections;
use std::sync;

use skylark_core::kind;
use skylark_core::name;

use super::exchange;

/// Idempotency keys that began here.
#[derive(Debug, Default)]
pub struct Once {
    entries: sync::Mutex<collections::BTreeMap<Key, Entry>>,
}

/// An idempotency key within its client account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Client account that used the key.
    pub account: name::Account,
    /// The key as the caller sent it.
    pub text: String,
}

#[derive(Clone, Debug)]
enum Entry {
    Running,
    Ended(exchange::Result<exchange::Answer>),
}

/// Whether a request may start.
#[derive(Clone, Debug)]
pub enum Begin {
    /// The request starts now, and only now.
    Start,
    /// The request ended before, with this result.
    Ended(exchange::Result<exchange::Answer>),
}

impl Once {
    /// Claims the only start of a key.
    ///
    /// # Errors
    ///
    /// Refuses while the request still runs.
    pub fn begin(&self, key: &Key) -> exchange::Result<Begin> {
        let mut entries = self.lock();
        match entries.get(key) {
            None => {
                entries.insert(key.clone(), Entry::Running);
                Ok(Begin::Start)
            }
            Some(Entry::Running) => Err(exchange::Refusal::new(kind::ErrorKind::InProgress)),
            Some(Entry::Ended(result)) => Ok(Begin::Ended(result.clone())),
        }
    }

    /// Keeps the result of a started key.
    pub fn finish(&self, key: &Key, result: &exchange::Result<exchange::Answer>) {
        self.lock()
            .insert(key.clone(), Entry::Ended(result.clone()));
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<Key, Entry>> {
        self.entries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
