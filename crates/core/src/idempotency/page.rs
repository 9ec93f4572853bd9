//! The copy of a ledger in the object store.

/// What became of some keys of one generation of a home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// The entries, in no order.
    pub entries: Vec<super::Entry>,
}

/// The mark of a home that stopped as planned: its copy is whole and nothing starts any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndMarker {
    /// Oldest generation that the home still remembered.
    pub floor: u64,
}

/// Tells what became of a key from the copy of its home's ledger.
///
/// `pages` are all pages of the key's generation that could be read. A key that
/// no page knows is "not run" only where the home's end mark proves it.
#[must_use]
pub fn resolve(
    key: &super::Key,
    fingerprint: super::Fingerprint,
    pages: &[Page],
    end: Option<EndMarker>,
) -> Option<super::Disposition> {
    let id = key.id();
    let mut entries = pages.iter().flat_map(|page| &page.entries);
    if let Some(entry) = entries.find(|entry| entry.id == id) {
        return Some(entry.disposition(fingerprint));
    }
    let home = key.home()?;
    let is_proved = end.is_some_and(|end| home.segment() >= end.floor);
    is_proved.then_some(super::Disposition::Refused(crate::kind::ErrorKind::Leaving))
}
