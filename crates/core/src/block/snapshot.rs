//! Binary encoding of the prefix table: delta coding with variable-length integers (LEB128).
//!
//! A prefix is stored as its length, the number of unused prefixes of that
//! length since the end of the previous prefix, and its client group.

use std::net;

use super::Group;
use super::Prefix;
use super::Table;
use crate::error;

const PAYLOAD_BITS: u32 = 7;
const CONTINUATION_BIT: u8 = 0x80;

/// Encodes a table.
#[must_use]
pub fn encode(table: &Table) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut end = 0_u64;
    table.for_each(|first, bits, group| {
        let host_bits = 32 - u32::from(bits);
        let gap = (u64::from(first) >> host_bits) - end.div_ceil(1 << host_bits);
        bytes.push(bits);
        write_varint(&mut bytes, gap);
        write_varint(&mut bytes, u64::from(group.get()));
        end = u64::from(first) + (1 << host_bits);
    });
    bytes
}

/// Decodes a table from the bytes that [`encode`] returns.
///
/// # Errors
///
/// Fails on truncated bytes, and on prefixes or client groups that are out of range.
pub fn decode(bytes: &[u8]) -> super::Result<Table> {
    let mut rest = bytes;
    let mut entries = Vec::new();
    let mut end = 0_u64;
    while let Some((bits, after)) = rest.split_first() {
        rest = after;
        let gap = read_varint(&mut rest)?;
        let group = read_varint(&mut rest)?;
        let host_bits = 32_u32.checked_sub(u32::from(*bits)).ok_or_else(malformed)?;
        let base = end.div_ceil(1 << host_bits);
        let ordinal = gap.checked_add(base).ok_or_else(malformed)?;
        let first = ordinal.checked_mul(1 << host_bits).ok_or_else(malformed)?;
        end = first.checked_add(1 << host_bits).ok_or_else(malformed)?;
        let address = net::Ipv4Addr::from_bits(u32::try_from(first).map_err(|_error| malformed())?);
        let group = Group::new(u16::try_from(group).map_err(|_error| malformed())?);
        entries.push((Prefix::new(address, *bits)?, group));
    }
    Ok(Table::new(entries))
}

fn write_varint(bytes: &mut Vec<u8>, mut value: u64) {
    loop {
        let low = u8::try_from(value & u64::from(CONTINUATION_BIT - 1)).unwrap_or(0);
        value >>= PAYLOAD_BITS;
        if value == 0 {
            bytes.push(low);
            return;
        }
        bytes.push(low | CONTINUATION_BIT);
    }
}

fn read_varint(rest: &mut &[u8]) -> super::Result<u64> {
    let mut value = 0;
    let mut shift = 0;
    while let Some((byte, after)) = rest.split_first() {
        *rest = after;
        let part = u64::from(byte & (CONTINUATION_BIT - 1));
        value |= part.checked_shl(shift).ok_or_else(malformed)?;
        if byte & CONTINUATION_BIT == 0 {
            return Ok(value);
        }
        shift += PAYLOAD_BITS;
    }
    Err(malformed())
}

fn malformed() -> error::Error {
    error::Error::Quantity {
        kind: "prefix table",
        text: "the stored object".to_owned(),
        example: "the object that the newest snapshot names",
    }
}
