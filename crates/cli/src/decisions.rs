//! Decision records, read from the platform's object store.

use skylark_core::decision;
use skylark_wire::platform;

use super::error;

const OBJECT_PREFIX: &str = "decisions/";

/// Decision records read from one or more objects.
#[derive(Clone, Debug, Default)]
pub struct Decisions {
    /// Records that this build can parse.
    pub records: Vec<decision::Decision>,
    /// Number of records and whole objects that it cannot parse.
    pub unreadable: usize,
}

impl Decisions {
    fn parse_object(&mut self, body: &[u8]) {
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

/// Reads all decision records, sorted by time of arrival.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn read_all<P: platform::Platform>(platform: &P) -> error::Result<Decisions> {
    let mut decisions = Decisions::default();
    for key in platform.list(OBJECT_PREFIX).await? {
        if let Some(body) = platform.get(&key).await? {
            decisions.parse_object(&body);
        }
    }
    decisions.records.sort_by_key(|decision| decision.at);
    Ok(decisions)
}

/// Returns the decision record of a request.
///
/// A request id begins with the incarnation that issued it, so objects of that incarnation
/// are read first.
///
/// # Errors
///
/// Fails when no record has the id or the platform does not answer.
pub async fn find<P: platform::Platform>(
    platform: &P,
    id: &str,
) -> error::Result<decision::Decision> {
    let mut keys = platform.list(OBJECT_PREFIX).await?;
    keys.sort_by_key(|key| !is_from_incarnation(key, id));
    let mut unreadable = 0;
    for key in keys {
        let mut decisions = Decisions::default();
        if let Some(body) = platform.get(&key).await? {
            decisions.parse_object(&body);
        }
        unreadable += decisions.unreadable;
        let mut records = decisions.records.into_iter();
        if let Some(found) = records.find(|decision| decision.id.as_str() == id) {
            return Ok(found);
        }
    }
    let text = format!(
        "no decision record has the request id '{id}' ({unreadable} records cannot be read): \
         records are stored some seconds after the answer, so try again later"
    );
    Err(error::Error::NotFound(text))
}

fn is_from_incarnation(key: &str, id: &str) -> bool {
    let mut parts = key.trim_start_matches(OBJECT_PREFIX).split('/');
    parts
        .next()
        .is_some_and(|incarnation| id.starts_with(incarnation))
}
