//! The group of every address, in sorted arrays with an index on the first bits.

use std::mem;

use super::Group;
use super::Prefix;

/// Bits of an address that the index is kept on.
const INDEX_BITS: u32 = 16;
const INDEX_SLOTS: usize = 1 << INDEX_BITS;

/// Blocks that do not overlap, sorted by address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    firsts: Vec<u32>,
    bits: Vec<u8>,
    groups: Vec<Group>,
    index: Vec<u32>,
}

impl Table {
    /// Creates a table from blocks with their groups.
    ///
    /// Of two blocks that overlap, the one that comes first by address and then
    /// by length stays; the other is dropped.
    #[must_use]
    pub fn new(mut entries: Vec<(Prefix, Group)>) -> Self {
        entries.sort_unstable_by_key(|(block, _group)| *block);
        let mut table = Self::default();
        let mut end = None;
        for (block, group) in entries {
            if end.is_none_or(|end| block.first() > end) {
                table.firsts.push(block.first());
                table.bits.push(block.bits());
                table.groups.push(group);
                end = Some(block.last());
            }
        }
        table.firsts.shrink_to_fit();
        table.bits.shrink_to_fit();
        table.groups.shrink_to_fit();
        table.index = index(&table.firsts);
        table
    }

    /// Returns the group of an address.
    #[must_use]
    pub fn get(&self, address: std::net::Ipv4Addr) -> Option<Group> {
        let address = address.to_bits();
        let slot = usize::try_from(address >> INDEX_BITS).ok()?;
        let from = *self.index.get(slot)? as usize;
        let to = *self.index.get(slot + 1)? as usize;
        let inside = self
            .firsts
            .get(from..to)?
            .partition_point(|first| *first <= address);
        // A block that began under an earlier index slot may reach into this one.
        let place = (from + inside).checked_sub(1)?;
        let last = self.firsts[place] | tail(self.bits[place]);
        if address <= last {
            self.groups.get(place).copied()
        } else {
            None
        }
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.firsts.len()
    }

    /// Returns whether the table holds no block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.firsts.is_empty()
    }

    /// Returns the bytes that the table holds in memory.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let entry = mem::size_of::<u32>() + mem::size_of::<u8>() + mem::size_of::<Group>();
        self.len() * entry + self.index.len() * mem::size_of::<u32>()
    }

    /// Visits every block in order.
    pub fn for_each(&self, mut visit: impl FnMut(u32, u8, Group)) {
        for place in 0..self.len() {
            visit(self.firsts[place], self.bits[place], self.groups[place]);
        }
    }
}

fn tail(bits: u8) -> u32 {
    u32::MAX.checked_shr(u32::from(bits)).unwrap_or(0)
}

/// Returns, for each value of the first bits, where its blocks begin.
fn index(firsts: &[u32]) -> Vec<u32> {
    let place = |slot: usize| {
        let begin = u64::try_from(slot).unwrap_or(u64::MAX) << INDEX_BITS;
        let before = firsts.partition_point(|first| u64::from(*first) < begin);
        u32::try_from(before).unwrap_or(u32::MAX)
    };
    (0..=INDEX_SLOTS).map(place).collect()
}
