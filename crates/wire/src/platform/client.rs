//! The platform over HTTP with JSON.

use std::time;

use super::edge;
use super::row;
use crate::http;

const LIMIT: time::Duration = time::Duration::from_secs(2);
const STATUS_OK: u16 = 200;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;
const STATUS_SERVER: u16 = 500;

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    http: http::Client,
}

impl Client {
    /// Creates a client of the platform at a base address such as `http://127.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            http: http::Client::new(LIMIT),
        }
    }

    /// Changes the time limit of each call.
    #[must_use]
    pub fn with_timeout(mut self, limit: time::Duration) -> Self {
        self.http = http::Client::new(limit);
        self
    }

    async fn call(&self, method: &str, path: &str, body: Vec<u8>) -> edge::Result<http::Reply> {
        let url = format!("{}{path}", self.base);
        let reply = self.http.send(method, &url, body).await;
        let reply = reply.map_err(|error| edge::Error::NoAnswer {
            reason: error.to_string(),
        })?;
        if reply.status >= STATUS_SERVER {
            let reason = format!("status {}", reply.status);
            return Err(edge::Error::NoAnswer { reason });
        }
        Ok(reply)
    }
}

fn read<T: serde::de::DeserializeOwned>(reply: &http::Reply) -> edge::Result<T> {
    if reply.status != STATUS_OK {
        return Err(edge::Error::Refused {
            status: reply.status,
        });
    }
    serde_json::from_slice(&reply.body).map_err(|error| edge::Error::BadAnswer {
        reason: error.to_string(),
    })
}

fn form<T: serde::Serialize>(value: &T) -> edge::Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| edge::Error::BadAnswer {
        reason: error.to_string(),
    })
}

impl edge::Platform for Client {
    async fn row(&self, key: &str) -> edge::Result<Option<row::Row>> {
        let reply = self
            .call("GET", &format!("/table/row/{key}"), Vec::new())
            .await?;
        if reply.status == STATUS_NOT_FOUND {
            return Ok(None);
        }
        read(&reply).map(Some)
    }

    async fn rows(&self, prefix: &str) -> edge::Result<Vec<row::Row>> {
        let reply = self
            .call("GET", &format!("/table/rows/{prefix}"), Vec::new())
            .await?;
        read(&reply)
    }

    async fn commit(&self, commit: &row::Commit) -> edge::Result<()> {
        let reply = self.call("POST", "/table/commit", form(commit)?).await?;
        match reply.status {
            STATUS_OK => Ok(()),
            STATUS_CONFLICT => {
                let key = String::from_utf8_lossy(&reply.body).into_owned();
                Err(edge::Error::Conflict { key })
            }
            status => Err(edge::Error::Refused { status }),
        }
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> edge::Result<()> {
        let reply = self.call("PUT", &format!("/objects/{key}"), body).await?;
        match reply.status {
            STATUS_OK => Ok(()),
            status => Err(edge::Error::Refused { status }),
        }
    }

    async fn get(&self, key: &str) -> edge::Result<Option<Vec<u8>>> {
        let reply = self
            .call("GET", &format!("/objects/{key}"), Vec::new())
            .await?;
        match reply.status {
            STATUS_OK => Ok(Some(reply.body.to_vec())),
            STATUS_NOT_FOUND => Ok(None),
            status => Err(edge::Error::Refused { status }),
        }
    }

    async fn list(&self, prefix: &str) -> edge::Result<Vec<String>> {
        let reply = self
            .call("GET", &format!("/list/{prefix}"), Vec::new())
            .await?;
        read(&reply)
    }

    async fn hosts(&self) -> edge::Result<Vec<row::HostEntry>> {
        let reply = self.call("GET", "/hosts", Vec::new()).await?;
        read(&reply)
    }
}
