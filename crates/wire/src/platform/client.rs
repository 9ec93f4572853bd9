//! Client of the platform over HTTP, with JSON bodies.

use std::time;

use super::api;
use super::row;
use crate::http;

const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const STATUS_OK: u16 = 200;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// A client of the platform with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    http: http::Client,
}

impl Client {
    /// Creates a client for a base URL such as `http://127.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            http: http::Client::new(DEFAULT_TIMEOUT),
        }
    }

    /// Replaces the timeout of each call, 2 seconds by default.
    #[must_use]
    pub fn with_timeout(mut self, timeout: time::Duration) -> Self {
        self.http = http::Client::new(timeout);
        self
    }

    async fn call(&self, method: &str, path: &str, body: Vec<u8>) -> api::Result<http::Reply> {
        let url = format!("{}{path}", self.base);
        let reply = self.http.send(method, &url, body).await;
        let reply = reply.map_err(|error| api::Error::NoAnswer {
            reason: error.to_string(),
        })?;
        if reply.status >= MIN_SERVER_ERROR_STATUS {
            let reason = format!("status {}", reply.status);
            return Err(api::Error::NoAnswer { reason });
        }
        Ok(reply)
    }
}

fn decode<T: serde::de::DeserializeOwned>(reply: &http::Reply) -> api::Result<T> {
    if reply.status != STATUS_OK {
        return Err(api::Error::Refused {
            status: reply.status,
        });
    }
    serde_json::from_slice(&reply.body).map_err(|error| api::Error::BadAnswer {
        reason: error.to_string(),
    })
}

/// Decodes a list whose items may come from several writers: one by one, as one that cannot be read
/// must not cost the others. `rescue` turns what can be read of such an item into one, if anything.
fn decode_list<T: serde::de::DeserializeOwned>(
    reply: &http::Reply,
    rescue: impl Fn(&str) -> Option<T>,
) -> api::Result<Vec<T>> {
    let items: Vec<Box<serde_json::value::RawValue>> = decode(reply)?;
    let parse = |text: &str| serde_json::from_str(text).ok().or_else(|| rescue(text));
    Ok(items.iter().filter_map(|item| parse(item.get())).collect())
}

/// Returns a row with an empty value in place of one whose value cannot be read.
fn without_value(text: &str) -> Option<row::Row> {
    #[derive(serde::Deserialize)]
    struct Head {
        key: String,
        version: u64,
    }
    let head: Head = serde_json::from_str(text).ok()?;
    Some(row::Row {
        key: head.key,
        version: head.version,
        value: serde_json::Value::Null,
    })
}

fn encode<T: serde::Serialize>(value: &T) -> api::Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| api::Error::BadAnswer {
        reason: error.to_string(),
    })
}

impl api::Platform for Client {
    async fn row(&self, key: &str) -> api::Result<Option<row::Row>> {
        let reply = self
            .call("GET", &format!("/table/row/{key}"), Vec::new())
            .await?;
        if reply.status == STATUS_NOT_FOUND {
            return Ok(None);
        }
        decode(&reply).map(Some)
    }

    async fn rows(&self, prefix: &str) -> api::Result<Vec<row::Row>> {
        let reply = self
            .call("GET", &format!("/table/rows/{prefix}"), Vec::new())
            .await?;
        decode_list(&reply, without_value)
    }

    async fn commit(&self, commit: &row::Commit) -> api::Result<()> {
        let reply = self.call("POST", "/table/commit", encode(commit)?).await?;
        match reply.status {
            STATUS_OK => Ok(()),
            STATUS_CONFLICT => {
                let key = String::from_utf8_lossy(&reply.body).into_owned();
                Err(api::Error::Conflict { key })
            }
            status => Err(api::Error::Refused { status }),
        }
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> api::Result<()> {
        let reply = self.call("PUT", &format!("/objects/{key}"), body).await?;
        match reply.status {
            STATUS_OK => Ok(()),
            status => Err(api::Error::Refused { status }),
        }
    }

    async fn get(&self, key: &str) -> api::Result<Option<Vec<u8>>> {
        let reply = self
            .call("GET", &format!("/objects/{key}"), Vec::new())
            .await?;
        match reply.status {
            STATUS_OK => Ok(Some(reply.body.to_vec())),
            STATUS_NOT_FOUND => Ok(None),
            status => Err(api::Error::Refused { status }),
        }
    }

    async fn list(&self, prefix: &str) -> api::Result<Vec<String>> {
        let reply = self
            .call("GET", &format!("/list/{prefix}"), Vec::new())
            .await?;
        decode(&reply)
    }

    async fn hosts(&self) -> api::Result<Vec<row::HostEntry>> {
        let reply = self.call("GET", "/hosts", Vec::new()).await?;
        decode_list(&reply, |_text| None)
    }
}
