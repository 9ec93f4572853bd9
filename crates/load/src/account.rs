//! One client account of a load run.

use std::str;

use super::error;

const FIELDS: usize = 5;

/// What the tool sends for one client account, and what the account may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the client account.
    pub name: String,
    /// The account's key; empty for routes open to all.
    pub key: String,
    /// Requests a second that the tool sends.
    pub sent: u32,
    /// Requests a second that the account may send.
    pub rate: u64,
    /// Requests above the rate that may come at once.
    pub burst: u64,
}

impl str::FromStr for Account {
    type Err = error::Error;

    fn from_str(text: &str) -> error::Result<Self> {
        let fault = || error::Error::Account(text.to_owned());
        let fields: Vec<&str> = text.split(',').collect();
        let [name, key, sent, rate, burst] =
            <[&str; FIELDS]>::try_from(fields).map_err(|_fields| fault())?;
        Ok(Self {
            name: name.to_owned(),
            key: key.to_owned(),
            sent: sent.parse().map_err(|_error| fault())?,
            rate: rate.parse().map_err(|_error| fault())?,
            burst: burst.parse().map_err(|_error| fault())?,
        })
    }
}
