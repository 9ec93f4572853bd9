//! IPv4 address prefix (CIDR block).

use std::net;

use crate::error;

/// Longest IPv4 prefix, in bits.
pub const MAX_PREFIX_BITS: u8 = 32;

/// An IPv4 address prefix, such as `10.1.2.0/24`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    start: u32,
    bits: u8,
}

impl Prefix {
    /// Creates the prefix of length `bits` that contains an address.
    ///
    /// # Errors
    ///
    /// Fails when `bits` exceeds [`MAX_PREFIX_BITS`].
    pub fn new(address: net::Ipv4Addr, bits: u8) -> super::Result<Self> {
        if bits > MAX_PREFIX_BITS {
            return Err(error::Error::Quantity {
                kind: "prefix length",
                text: bits.to_string(),
                example: "24",
            });
        }
        Ok(Self {
            start: address.to_bits() & mask(bits),
            bits,
        })
    }

    /// Returns the lowest address of the prefix.
    #[must_use]
    pub const fn first(self) -> u32 {
        self.start
    }

    /// Returns the highest address of the prefix.
    #[must_use]
    pub const fn last(self) -> u32 {
        self.start | !mask(self.bits)
    }

    /// Returns the prefix length in bits.
    #[must_use]
    pub const fn bits(self) -> u8 {
        self.bits
    }
}

const fn mask(bits: u8) -> u32 {
    match u32::MAX.checked_shl((MAX_PREFIX_BITS - bits) as u32) {
        Some(mask) => mask,
        None => 0,
    }
}
