//! Client account of a load run, parsed from a command-line argument.

use std::str;

use super::error;

/// Number of comma-separated fields of an account.
const FIELD_COUNT: usize = 5;

/// Request rate of one client account in a load run, and the limit of the account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the client account.
    pub name: String,
    /// API key of the account; empty for routes that need none.
    pub key: String,
    /// Mean number of requests that the tool sends per second.
    pub send_rate: u32,
    /// Number of requests that the account may send per second.
    pub rate: u64,
    /// Number of requests that the account may send at once (capacity of the token bucket).
    pub burst: u64,
}

impl str::FromStr for Account {
    type Err = error::Error;

    fn from_str(text: &str) -> error::Result<Self> {
        let invalid = || error::Error::Account(text.to_owned());
        let fields: Vec<&str> = text.split(',').collect();
        let [name, key, send_rate, rate, burst] =
            <[&str; FIELD_COUNT]>::try_from(fields).map_err(|_fields| invalid())?;
        Ok(Self {
            name: name.to_owned(),
            key: key.to_owned(),
            send_rate: send_rate.parse().map_err(|_error| invalid())?,
            rate: rate.parse().map_err(|_error| invalid())?,
            burst: burst.parse().map_err(|_error| invalid())?,
        })
    }
}
