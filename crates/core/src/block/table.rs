//! Prefix table: finds the client group of an address by binary search.
//!
//! Sorted parallel arrays keep millions of prefixes compact; an index on the
//! first bits of the address narrows each search to a few entries.

use std::mem;

use super::Group;
use super::Prefix;

/// Leading address bits that select an index slot.
const INDEX_BITS: u32 = 16;
const INDEX_SLOTS: usize = 1 << INDEX_BITS;

/// Client groups by disjoint address prefixes, sorted by address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    firsts: Vec<u32>,
    bits: Vec<u8>,
    groups: Vec<Group>,
    index: Vec<u32>,
}

impl Table {
    /// Creates a table from prefixes and their client groups.
    ///
    /// Of two overlapping prefixes, the one with the lower first address is kept,
    /// then the shorter one; the other is dropped.
    #[must_use]
    pub fn new(mut entries: Vec<(Prefix, Group)>) -> Self {
        entries.sort_unstable_by_key(|(prefix, _group)| *prefix);
        let mut table = Self::default();
        let mut end = None;
        for (prefix, group) in entries {
            if end.is_none_or(|end| prefix.first() > end) {
                table.firsts.push(prefix.first());
                table.bits.push(prefix.bits());
                table.groups.push(group);
                end = Some(prefix.last());
            }
        }
        table.firsts.shrink_to_fit();
        table.bits.shrink_to_fit();
        table.groups.shrink_to_fit();
        table.index = build_index(&table.firsts);
        table
    }

    /// Returns the client group of an address, if a prefix contains it.
    #[must_use]
    pub fn get(&self, address: std::net::Ipv4Addr) -> Option<Group> {
        let address = address.to_bits();
        let slot = usize::try_from(address >> INDEX_BITS).ok()?;
        let from = *self.index.get(slot)? as usize;
        let to = *self.index.get(slot + 1)? as usize;
        let offset = self
            .firsts
            .get(from..to)?
            .partition_point(|first| *first <= address);
        // The prefix may start in an earlier index slot and extend into this one.
        let position = (from + offset).checked_sub(1)?;
        let last = self.firsts[position] | host_mask(self.bits[position]);
        if address <= last {
            self.groups.get(position).copied()
        } else {
            None
        }
    }

    /// Returns the number of prefixes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.firsts.len()
    }

    /// Returns whether the table has no prefixes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.firsts.is_empty()
    }

    /// Returns the heap memory of the table's entries, in bytes.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let entry = mem::size_of::<u32>() + mem::size_of::<u8>() + mem::size_of::<Group>();
        self.len() * entry + self.index.len() * mem::size_of::<u32>()
    }

    /// Calls `visit` with each prefix's first address, length in bits and group, by address.
    pub fn for_each(&self, mut visit: impl FnMut(u32, u8, Group)) {
        for position in 0..self.len() {
            visit(
                self.firsts[position],
                self.bits[position],
                self.groups[position],
            );
        }
    }
}

fn host_mask(bits: u8) -> u32 {
    u32::MAX.checked_shr(u32::from(bits)).unwrap_or(0)
}

/// Returns the position of each slot's first prefix, followed by the number of prefixes.
fn build_index(firsts: &[u32]) -> Vec<u32> {
    let position = |slot: usize| {
        let begin = u64::try_from(slot).unwrap_or(u64::MAX) << INDEX_BITS;
        let before = firsts.partition_point(|first| u64::from(*first) < begin);
        u32::try_from(before).unwrap_or(u32::MAX)
    };
    (0..=INDEX_SLOTS).map(position).collect()
}
