//! Authentication of callers by API key: maps a bearer key to its client account.

use hyper::header;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::record;
use skylark_core::secret;

use super::exchange;
use super::view;

/// Authentication scheme, with the space that separates it from the key.
const SCHEME_PREFIX: &str = "Bearer ";

/// The client account of a request, with the digest of the API key that proved it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Client account that the request runs for.
    pub account: name::Account,
    /// Digest of the API key that the request carried.
    pub credential: secret::Digest,
}

/// Returns the caller that the request's API key identifies; none on a route with open access.
///
/// # Errors
///
/// Refuses a request on a keyed route that has no valid key, and any request on such a
/// route while the records may be out of date: a key could have been revoked unseen.
pub fn authenticate(
    view: &view::View,
    route: &record::Route,
    headers: &hyper::HeaderMap,
    now: instant::Instant,
) -> exchange::Result<Option<Caller>> {
    match route.access {
        record::Access::Open => Ok(None),
        record::Access::Keyed => find_caller(view, headers, now).map(Some),
    }
}

/// Checks a key again, directly before its request is sent to a target.
///
/// The request may have been delayed since the first check (by a slow body, at the process
/// that its idempotency key names, or by a pause of this process), and the key revoked meanwhile.
///
/// # Errors
///
/// Refuses when the key was revoked meanwhile, or while the records may be out of date.
pub fn recheck(
    view: &view::View,
    credential: Option<secret::Digest>,
    now: instant::Instant,
) -> exchange::Result<()> {
    match credential {
        None => Ok(()),
        Some(credential) => find_account(view, credential, now).map(|_account| ()),
    }
}

fn find_caller(
    view: &view::View,
    headers: &hyper::HeaderMap,
    now: instant::Instant,
) -> exchange::Result<Caller> {
    let key = bearer_key(headers);
    let key = key.ok_or(exchange::Refusal::new(kind::ErrorKind::Unauthorized))?;
    let credential = secret::Secret::new(key).digest();
    let account = find_account(view, credential, now)?;
    Ok(Caller {
        account,
        credential,
    })
}

fn find_account(
    view: &view::View,
    credential: secret::Digest,
    now: instant::Instant,
) -> exchange::Result<name::Account> {
    if !view.is_fresh(now) {
        return Err(exchange::Refusal::new(kind::ErrorKind::StaleKeys));
    }
    let record = view.catalog.keys.get(&credential);
    let account = record.map(|key| key.account.clone());
    account.ok_or(exchange::Refusal::new(kind::ErrorKind::Unauthorized))
}

/// Returns the API key in the `Authorization` header, if it has the bearer scheme.
pub fn bearer_key(headers: &hyper::HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..SCHEME_PREFIX.len())?;
    let key = value.get(SCHEME_PREFIX.len()..)?;
    scheme.eq_ignore_ascii_case(SCHEME_PREFIX).then_some(key)
}
