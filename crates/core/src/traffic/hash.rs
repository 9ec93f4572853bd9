//! Stable hashes, the same on every host.

use xxhash_rust::xxh3;

const MAX_U32: f64 = 4_294_967_296.0;

/// What a request is about, as a number that is the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HashKey(u64);

impl HashKey {
    /// Derives the object from the route's name and the caller's text.
    #[must_use]
    pub fn new(route: &str, text: &[u8]) -> Self {
        Self(xxh3::xxh3_64_with_seed(
            text,
            xxh3::xxh3_64(route.as_bytes()),
        ))
    }

    /// Draws a number from 0 up to 1 for this object and a purpose.
    #[must_use]
    pub fn fraction(self, purpose: &str) -> f64 {
        fraction(xxh3::xxh3_64_with_seed(purpose.as_bytes(), self.0))
    }

    /// Returns the rank of a choice of some weight; the highest rank wins.
    ///
    /// This is weighted rendezvous hashing: when a choice comes or goes, only
    /// the objects that it wins or won change theirs.
    #[must_use]
    pub fn score(self, choice: &str, weight: f64) -> f64 {
        let drawn = self.fraction(choice).max(1.0 / MAX_U32);
        weight / -drawn.ln()
    }
}

/// Returns the fingerprint of several texts in order, the same on every host and in every build.
#[must_use]
pub fn fingerprint<'a>(texts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let texts = texts.into_iter();
    texts.fold(0, |seed, text| xxh3::xxh3_64_with_seed(text, seed))
}

/// Returns a short digest of a name, for messages between hosts.
#[must_use]
pub fn digest(name: &str) -> u32 {
    u32::try_from(xxh3::xxh3_64(name.as_bytes()) >> u32::BITS).unwrap_or(u32::MAX)
}

fn fraction(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX)) / MAX_U32
}
