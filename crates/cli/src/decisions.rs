//! Decision records as the object store holds them.

use skylark_core::decision;
use skylark_wire::platform;

use super::error;

const PREFIX: &str = "decisions/";

/// Decision records of some objects.
#[derive(Clone, Debug, Default)]
pub struct Decisions {
    /// Records that this build reads, in order of arrival.
    pub records: Vec<decision::Decision>,
    /// Records that it cannot read.
    pub unreadable: usize,
}

impl Decisions {
    fn add(&mut self, body: &[u8]) {
        let Ok(values) = serde_json::from_slice::<Vec<serde_json::Value>>(body) else {
            self.unreadable += 1;
            return;
        };
        for value in values {
            match serde_json::from_value(value) {
                Ok(decision) => self.records.push(decision),
                Err(_error) => self.unreadable += 1,
            }
        }
    }
}

/// Reads every decision record.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn all<P: platform::Platform>(platform: &P) -> error::Result<Decisions> {
    let mut decisions = Decisions::default();
    for key in platform.list(PREFIX).await? {
        if let Some(body) = platform.get(&key).await? {
            decisions.add(&body);
        }
    }
    decisions.records.sort_by_key(|decision| decision.at);
    Ok(decisions)
}

/// Finds the record of a request, first among those of the life that its id begins with.
///
/// # Errors
///
/// Fails when no record has the id, or the platform does not answer.
pub async fn find<P: platform::Platform>(
    platform: &P,
    id: &str,
) -> error::Result<decision::Decision> {
    let mut keys = platform.list(PREFIX).await?;
    keys.sort_by_key(|key| !is_likely(key, id));
    let mut unreadable = 0;
    for key in keys {
        let mut decisions = Decisions::default();
        if let Some(body) = platform.get(&key).await? {
            decisions.add(&body);
        }
        unreadable += decisions.unreadable;
        let mut records = decisions.records.into_iter();
        if let Some(found) = records.find(|decision| decision.id.as_str() == id) {
            return Ok(found);
        }
    }
    let text = format!(
        "no decision record is of request '{id}' ({unreadable} records cannot be read): \
         records are stored some seconds after the answer"
    );
    Err(error::Error::Absent(text))
}

fn is_likely(key: &str, id: &str) -> bool {
    let mut parts = key.trim_start_matches(PREFIX).split('/');
    parts.next().is_some_and(|life| id.starts_with(life))
}
