//! Stable hashes, the same on every host.

/// Golden ratio in 64 bits, which spreads consecutive numbers.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const MAX_U32: f64 = 4_294_967_296.0;

/// What a request is about, as a number that is the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Object(u64);

impl Object {
    /// Derives the object from the route's name and the caller's text.
    #[must_use]
    pub fn new(route: &str, text: &[u8]) -> Self {
        Self(mix(fnv(route.as_bytes()) ^ mix(fnv(text))))
    }

    /// Draws a number from 0 up to 1 for this object and a purpose.
    #[must_use]
    pub fn fraction(self, purpose: &str) -> f64 {
        fraction(mix(self.0 ^ fnv(purpose.as_bytes())))
    }

    /// Returns the rank of a choice of some weight; the highest rank wins.
    ///
    /// This is weighted rendezvous hashing: when a choice comes or goes, only
    /// the objects that it wins or won change theirs.
    #[must_use]
    pub fn rank(self, choice: &str, weight: f64) -> f64 {
        let drawn = self.fraction(choice).max(1.0 / MAX_U32);
        weight / -drawn.ln()
    }
}

/// Returns a short digest of a name, for messages between hosts.
#[must_use]
pub fn digest(name: &str) -> u32 {
    u32::try_from(mix(fnv(name.as_bytes())) >> u32::BITS).unwrap_or(u32::MAX)
}

fn fraction(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX)) / MAX_U32
}

fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

fn mix(number: u64) -> u64 {
    let mut x = number.wrapping_add(SPREAD);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
