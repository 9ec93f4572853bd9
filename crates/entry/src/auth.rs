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

/// The client account of a request and the digest of the key that names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The client account.
    pub account: name::Account,
    /// Digest of the presented key.
    pub credential: secret::Digest,
}

/// Returns the caller whom the request's key names, or none on a route open to all.
///
/// # Errors
///
/// Refuses a keyed route without a valid key, or while keys may be out of date.
pub fn authenticate(
    view: &view::View,
    route: &record::Route,
    headers: &hyper::HeaderMap,
    now: instant::Instant,
) -> exchange::Result<Option<Caller>> {
    match route.access {
        record::Access::Open => Ok(None),
        record::Access::Keyed => caller(view, headers, now).map(Some),
    }
}

/// Checks a key again, directly before its request is sent to a target.
///
/// A request may have waited since its key was checked first: for its body, at
/// its home, or in a process that was frozen.
///
/// # Errors
///
/// Refuses when the key was withdrawn meanwhile, or keys may be out of date.
pub fn recheck(
    view: &view::View,
    credential: Option<secret::Digest>,
    now: instant::Instant,
) -> exchange::Result<()> {
    match credential {
        None => Ok(()),
        Some(credential) => account(view, credential, now).map(|_account| ()),
    }
}

fn caller(
    view: &view::View,
    headers: &hyper::HeaderMap,
    now: instant::Instant,
) -> exchange::Result<Caller> {
    let key = presented(headers);
    let key = key.ok_or(exchange::Refusal::new(kind::ErrorKind::Unauthorized))?;
    let credential = secret::Secret::new(key).digest();
    let account = account(view, credential, now)?;
    Ok(Caller {
        account,
        credential,
    })
}

fn account(
    view: &view::View,
    credential: secret::Digest,
    now: instant::Instant,
) -> exchange::Result<name::Account> {
    if !view.is_fresh(now) {
        return Err(exchange::Refusal::new(kind::ErrorKind::StaleKeys));
    }
    let known = view.catalog.keys.get(&credential);
    let account = known.map(|key| key.account.clone());
    account.ok_or(exchange::Refusal::new(kind::ErrorKind::Unauthorized))
}

/// Returns the key that a request presents.
pub fn presented(headers: &hyper::HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..SCHEME.len())?;
    let key = value.get(SCHEME.len()..)?;
    scheme.eq_ignore_ascii_case(SCHEME).then_some(key)
}
