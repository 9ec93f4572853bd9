//! Copy of a ledger in the object store.

/// A batch of entries of one segment of a home's ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// Entries, in no particular order.
    pub entries: Vec<super::Entry>,
}

/// The marker of a home that stopped as planned: its copy is complete, and nothing starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndMarker {
    /// Oldest segment that the home still kept.
    pub floor: u64,
}

/// Returns the decision on a key from the copy of its home's ledger, if the copy proves one.
///
/// `pages` are all pages of the key's segment that could be read. A key that is in
/// none of them is reported as "not run" only if the home's end marker proves it.
#[must_use]
pub fn resolve(
    key: &super::Key,
    fingerprint: super::Fingerprint,
    pages: &[Page],
    end_marker: Option<EndMarker>,
) -> Option<super::Disposition> {
    let id = key.id();
    let mut entries = pages.iter().flat_map(|page| &page.entries);
    if let Some(entry) = entries.find(|entry| entry.id == id) {
        return Some(entry.disposition(fingerprint));
    }
    let home = key.home()?;
    let is_proven = end_marker.is_some_and(|marker| home.segment() >= marker.floor);
    is_proven.then_some(super::Disposition::Refused(crate::kind::ErrorKind::Leaving))
}
