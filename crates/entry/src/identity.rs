//! Which client account a request runs for.

use hyper::header;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::record;
use skylark_core::secret;

use super::exchange;
use super::view;

const SCHEME: &str = "Bearer ";

/// Returns the client account of the request's key, or none on a route open to all.
///
/// # Errors
///
/// Refuses a keyed route without a valid key, or while keys may be out of date.
pub fn authenticate(
    view: &view::View,
    route: &record::Route,
    headers: &hyper::HeaderMap,
    now: instant::Instant,
) -> exchange::Result<Option<name::Account>> {
    match route.access {
        record::Access::Open => Ok(None),
        record::Access::Keyed => account(view, headers, now).map(Some),
    }
}

fn account(
    view: &view::View,
    headers: &hyper::HeaderMap,
    now: instant::Instant,
) -> exchange::Result<name::Account> {
    let unauthorized = exchange::Refusal::new(kind::ErrorKind::Unauthorized);
    let Some(key) = presented(headers) else {
        return Err(unauthorized);
    };
    if !view.is_fresh(now) {
        return Err(exchange::Refusal::new(kind::ErrorKind::StaleKeys));
    }
    let known = view.catalog.keys.get(&key.digest());
    known.map(|key| key.account.clone()).ok_or(unauthorized)
}

fn presented(headers: &hyper::HeaderMap) -> Option<secret::Secret> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..SCHEME.len())?;
    let key = value.get(SCHEME.len()..)?;
    scheme
        .eq_ignore_ascii_case(SCHEME)
        .then(|| secret::Secret::new(key))
}
