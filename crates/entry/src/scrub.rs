//! Taking callers' keys out of everything that a target receives.

use hyper::header;
use skylark_core::catalog;
use skylark_core::kind;
use skylark_core::secret;

use super::auth;
use super::exchange;

/// Shortest text that is looked up among the known keys.
const SHORTEST_KEY_BYTES: usize = 16;
/// Parts of the names of headers whose values are looked up among the known keys.
const TELLING_NAMES: [&str; 4] = ["auth", "key", "secret", "token"];

/// Takes the presented key, and any known key, out of a request's headers and query.
///
/// # Errors
///
/// Refuses a request whose path holds the presented key, as a path cannot be changed.
pub fn scrub(
    head: &mut hyper::http::request::Parts,
    catalog: &catalog::Catalog,
) -> exchange::Result<()> {
    let key = auth::presented(&head.headers).map(str::to_owned);
    let search = Search {
        key: key.as_deref().filter(|key| !key.is_empty()),
        catalog,
    };
    if search.shows(head.uri.path()) {
        return Err(exchange::Refusal::new(kind::ErrorKind::BadRequest));
    }
    for name in [
        header::AUTHORIZATION,
        header::PROXY_AUTHORIZATION,
        header::COOKIE,
    ] {
        head.headers.remove(name);
    }
    let names = head.headers.iter();
    let found: Vec<header::HeaderName> = names
        .filter(|(name, value)| search.holds(name, value))
        .map(|(name, _value)| name.clone())
        .collect();
    for name in found {
        head.headers.remove(name);
    }
    if let Some(uri) = search.without_keys(&head.uri) {
        head.uri = uri;
    }
    Ok(())
}

/// What is looked for.
struct Search<'a> {
    key: Option<&'a str>,
    catalog: &'a catalog::Catalog,
}

impl Search<'_> {
    /// Returns whether a text holds the presented key, as it stands or percent-encoded.
    fn shows(&self, text: &str) -> bool {
        self.key.is_some_and(|key| {
            let decoded = percent_encoding::percent_decode_str(text).decode_utf8_lossy();
            text.contains(key) || decoded.contains(key)
        })
    }

    /// Returns whether a text is a key of the records.
    fn is_known(&self, text: &str) -> bool {
        let is_long = text.len() >= SHORTEST_KEY_BYTES;
        let digest = || secret::Secret::new(text).digest();
        is_long && self.catalog.keys.contains_key(&digest())
    }

    fn holds(&self, name: &header::HeaderName, value: &header::HeaderValue) -> bool {
        let text = String::from_utf8_lossy(value.as_bytes());
        let is_telling = TELLING_NAMES
            .iter()
            .any(|part| name.as_str().contains(part));
        let has_known = || text.split_whitespace().any(|word| self.is_known(word));
        self.shows(&text) || (is_telling && has_known())
    }

    /// Returns the address without the parameters that hold a key, if there are any.
    fn without_keys(&self, uri: &hyper::Uri) -> Option<hyper::Uri> {
        let query = uri.query()?;
        let is_clean = |pair: &&str| !self.is_in(pair);
        let clean: Vec<&str> = query.split('&').filter(is_clean).collect();
        let clean = clean.join("&");
        if clean == query {
            return None;
        }
        let path = uri.path();
        let text = if clean.is_empty() {
            path.to_owned()
        } else {
            format!("{path}?{clean}")
        };
        Some(text.parse().unwrap_or_default())
    }

    fn is_in(&self, pair: &str) -> bool {
        let value = pair.split_once('=').map_or(pair, |(_name, value)| value);
        let value = percent_encoding::percent_decode_str(value).decode_utf8_lossy();
        self.shows(pair) || self.is_known(&value)
    }
}
