//! Removal of API keys from everything that a target receives.

use hyper::header;
use skylark_core::catalog;
use skylark_core::kind;
use skylark_core::secret;

use super::auth;
use super::exchange;

/// Length from which a text is compared with the API keys of the records.
const MIN_KEY_BYTES: usize = 16;
/// Parts of header names by which a header may hold an API key of the records.
const SENSITIVE_NAME_PARTS: [&str; 4] = ["auth", "key", "secret", "token"];

/// Removes the caller's API key, and any key of the records, from a request's headers and query.
///
/// # Errors
///
/// Refuses a request whose path contains the caller's key, as a path cannot be changed.
pub fn scrub(
    head: &mut hyper::http::request::Parts,
    catalog: &catalog::Catalog,
) -> exchange::Result<()> {
    let key = auth::bearer_key(&head.headers).map(str::to_owned);
    let search = KeySearch {
        key: key.as_deref().filter(|key| !key.is_empty()),
        catalog,
    };
    if search.contains_caller_key(head.uri.path()) {
        return Err(exchange::Refusal::new(kind::ErrorKind::BadRequest));
    }
    for name in [
        header::AUTHORIZATION,
        header::PROXY_AUTHORIZATION,
        header::COOKIE,
    ] {
        head.headers.remove(name);
    }
    let headers = head.headers.iter();
    let secret_names: Vec<header::HeaderName> = headers
        .filter(|(name, value)| search.is_secret(name, value))
        .map(|(name, _value)| name.clone())
        .collect();
    for name in secret_names {
        head.headers.remove(name);
    }
    if let Some(uri) = search.without_keys(&head.uri) {
        head.uri = uri;
    }
    Ok(())
}

/// Search for API keys in the parts of one request.
struct KeySearch<'a> {
    key: Option<&'a str>,
    catalog: &'a catalog::Catalog,
}

impl KeySearch<'_> {
    /// Returns whether a text contains the caller's key, literally or percent-encoded.
    fn contains_caller_key(&self, text: &str) -> bool {
        self.key.is_some_and(|key| {
            let decoded = percent_encoding::percent_decode_str(text).decode_utf8_lossy();
            text.contains(key) || decoded.contains(key)
        })
    }

    /// Returns whether a text is an API key of the records.
    fn is_recorded_key(&self, text: &str) -> bool {
        let is_long = text.len() >= MIN_KEY_BYTES;
        let digest = || secret::Secret::new(text).digest();
        is_long && self.catalog.keys.contains_key(&digest())
    }

    fn is_secret(&self, name: &header::HeaderName, value: &header::HeaderValue) -> bool {
        let text = String::from_utf8_lossy(value.as_bytes());
        let is_sensitive = SENSITIVE_NAME_PARTS
            .iter()
            .any(|part| name.as_str().contains(part));
        let has_recorded_key = || {
            text.split_whitespace()
                .any(|word| self.is_recorded_key(word))
        };
        self.contains_caller_key(&text) || (is_sensitive && has_recorded_key())
    }

    /// Returns the URI without the query parameters that hold a key; none if none do.
    fn without_keys(&self, uri: &hyper::Uri) -> Option<hyper::Uri> {
        let query = uri.query()?;
        let is_kept = |pair: &&str| !self.holds_key(pair);
        let kept: Vec<&str> = query.split('&').filter(is_kept).collect();
        let kept = kept.join("&");
        if kept == query {
            return None;
        }
        let path = uri.path();
        let text = if kept.is_empty() {
            path.to_owned()
        } else {
            format!("{path}?{kept}")
        };
        Some(text.parse().unwrap_or_default())
    }

    fn holds_key(&self, pair: &str) -> bool {
        let value = pair.split_once('=').map_or(pair, |(_name, value)| value);
        let value = percent_encoding::percent_decode_str(value).decode_utf8_lossy();
        self.contains_caller_key(pair) || self.is_recorded_key(&value)
    }
}
