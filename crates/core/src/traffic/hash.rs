//! Hashes that are equal on every host and in every build.

use xxhash_rust::xxh3;

/// Number of different `u32` values.
const U32_VALUES: f64 = 4_294_967_296.0;

/// The hash of a key, equal on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HashKey(u64);

impl HashKey {
    /// Hashes a text with the name of a route or purpose as its namespace.
    #[must_use]
    pub fn new(namespace: &str, text: &[u8]) -> Self {
        Self(xxh3::xxh3_64_with_seed(
            text,
            xxh3::xxh3_64(namespace.as_bytes()),
        ))
    }

    /// Returns a number from 0 up to 1 that is uniformly distributed over keys and purposes.
    #[must_use]
    pub fn fraction(self, purpose: &str) -> f64 {
        fraction(xxh3::xxh3_64_with_seed(purpose.as_bytes(), self.0))
    }

    /// Returns the score of a candidate in weighted rendezvous hashing; the highest score wins.
    ///
    /// When a candidate is added, only the keys that it wins move to it. When it is removed, only
    /// the keys that it had won move to others.
    #[must_use]
    pub fn score(self, candidate: &str, weight: f64) -> f64 {
        let fraction = self.fraction(candidate).max(1.0 / U32_VALUES);
        weight / -fraction.ln()
    }
}

/// Returns the fingerprint of several texts in order, equal on every host and in every build.
#[must_use]
pub fn fingerprint<'a>(texts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let texts = texts.into_iter();
    texts.fold(0, |seed, text| xxh3::xxh3_64_with_seed(text, seed))
}

/// Returns a short digest of a name, used in messages between hosts.
#[must_use]
pub fn digest(name: &str) -> u32 {
    u32::try_from(xxh3::xxh3_64(name.as_bytes()) >> u32::BITS).unwrap_or(u32::MAX)
}

fn fraction(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX)) / U32_VALUES
}
