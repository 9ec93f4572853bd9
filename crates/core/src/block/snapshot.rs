//! The table as one object: gaps between blocks as variable-length numbers.

use std::net;

use super::Group;
use super::Prefix;
use super::Table;
use crate::error;

const PAYLOAD_BITS: u32 = 7;
const MORE: u8 = 0x80;

/// Writes a table as bytes.
#[must_use]
pub fn encode(table: &Table) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut end = 0_u64;
    table.for_each(|first, bits, group| {
        let size = 32 - u32::from(bits);
        let gap = (u64::from(first) >> size) - end.div_ceil(1 << size);
        bytes.push(bits);
        push(&mut bytes, gap);
        push(&mut bytes, u64::from(group.get()));
        end = u64::from(first) + (1 << size);
    });
    bytes
}

/// Reads a table from bytes.
///
/// # Errors
///
/// Fails on bytes that no table was written as.
pub fn decode(bytes: &[u8]) -> super::Result<Table> {
    let mut rest = bytes;
    let mut entries = Vec::new();
    let mut end = 0_u64;
    while let Some((bits, after)) = rest.split_first() {
        rest = after;
        let gap = pull(&mut rest)?;
        let group = pull(&mut rest)?;
        let size = 32_u32.checked_sub(u32::from(*bits)).ok_or_else(fault)?;
        let base = end.div_ceil(1 << size);
        let number = gap.checked_add(base).ok_or_else(fault)?;
        let first = number.checked_mul(1 << size).ok_or_else(fault)?;
        end = first.checked_add(1 << size).ok_or_else(fault)?;
        let address = net::Ipv4Addr::from_bits(u32::try_from(first).map_err(|_error| fault())?);
        let group = Group::new(u16::try_from(group).map_err(|_error| fault())?);
        entries.push((Prefix::new(address, *bits)?, group));
    }
    Ok(Table::new(entries))
}

fn push(bytes: &mut Vec<u8>, mut number: u64) {
    loop {
        let low = u8::try_from(number & u64::from(MORE - 1)).unwrap_or(0);
        number >>= PAYLOAD_BITS;
        if number == 0 {
            bytes.push(low);
            return;
        }
        bytes.push(low | MORE);
    }
}

fn pull(rest: &mut &[u8]) -> super::Result<u64> {
    let mut number = 0;
    let mut shift = 0;
    while let Some((byte, after)) = rest.split_first() {
        *rest = after;
        let part = u64::from(byte & (MORE - 1));
        number |= part.checked_shl(shift).ok_or_else(fault)?;
        if byte & MORE == 0 {
            return Ok(number);
        }
        shift += PAYLOAD_BITS;
    }
    Err(fault())
}

fn fault() -> error::Error {
    error::Error::Quantity {
        kind: "table of blocks",
        text: "the object".to_owned(),
        example: "the one that the newest snapshot names",
    }
}
