//! Random draws that are reproducible from the id of the request.

use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::name;

use super::tier;

/// Context string of the key derivation; a change draws other numbers for every request.
const CONTEXT: &str = "skylarkmount 2026 draws of a request v1";
/// Bits of the tier in a stream number; the attempt is in the bits above.
const STREAM_BITS: u32 = 8;
/// Number of the random stream that decides on exploration; no tier has it.
const EXPLORE_STREAM: u64 = u64::MAX;
/// Fraction of the requests that explore another zone.
const EXPLORE_BASIS_POINTS: u32 = 100;

/// Seed of all random draws for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Seed(u64);

/// Drawn positions without repetition.
pub type Positions = arrayvec::ArrayVec<u32, { tier::MAX_DRAWN }>;

impl Seed {
    /// Creates a seed from its numeric value.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Derives the seed of a request from its id.
    #[must_use]
    pub fn of(id: &name::Request) -> Self {
        let hash = blake3::Hasher::new_derive_key(CONTEXT)
            .update(id.as_str().as_bytes())
            .finalize();
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
        Self(u64::from_le_bytes(bytes))
    }

    /// Returns the numeric value of the seed.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Draws a number of basis points below 10,000, the same for every attempt.
    #[must_use]
    pub fn basis_point(self) -> u32 {
        self.stream(0).random_range(0..super::WHOLE_BASIS_POINTS)
    }

    /// Draws whether the request goes to another zone to measure how fast it is.
    #[must_use]
    pub fn explores(self) -> bool {
        self.stream(EXPLORE_STREAM)
            .random_range(0..super::WHOLE_BASIS_POINTS)
            < EXPLORE_BASIS_POINTS
    }

    /// Draws up to [`tier::MAX_DRAWN`] distinct positions below `count`.
    ///
    /// Each tier of each attempt has a stream of its own. All positions are
    /// returned, in drawn order, if `count` is at most [`tier::MAX_DRAWN`].
    #[must_use]
    pub fn positions(self, attempt: u8, tier: u8, count: u32) -> Positions {
        let wanted = usize::try_from(count).map_or(tier::MAX_DRAWN, |n| n.min(tier::MAX_DRAWN));
        let stream = 1 + (u64::from(attempt) << STREAM_BITS) + u64::from(tier);
        let mut rng = self.stream(stream);
        let mut drawn = Positions::new();
        while drawn.len() < wanted {
            let position = rng.random_range(0..count);
            if !drawn.contains(&position) {
                drawn.push(position);
            }
        }
        drawn
    }

    fn stream(self, number: u64) -> rand_chacha::ChaCha8Rng {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(self.0);
        rng.set_stream(number);
        rng
    }
}
