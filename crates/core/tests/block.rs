//! The table of blocks agrees with a naive search, and survives its snapshot.

use std::net;

use skylark_core::block;
use skylark_testing as testing;

type Entry = (block::Prefix, block::Group);

fn naive(entries: &[Entry], address: net::Ipv4Addr) -> Option<block::Group> {
    let address = address.to_bits();
    entries
        .iter()
        .find(|(block, _group)| block.first() <= address && address <= block.last())
        .map(|(_block, group)| *group)
}

fn disjoint(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Vec<Entry>> {
    let mut entries: Vec<Entry> = Vec::new();
    for _ in 0..u.int_in_range(0..=40)? {
        let near: u32 = u.int_in_range(0..=0x0003_FFFF)?;
        let address = if u.arbitrary()? { near } else { u.arbitrary()? };
        let bits = u.int_in_range(8..=32)?;
        let block = block::Prefix::new(net::Ipv4Addr::from_bits(address), bits).expect("a prefix");
        let is_free =
            |(other, _): &Entry| other.last() < block.first() || block.last() < other.first();
        if entries.iter().all(is_free) {
            entries.push((block, block::Group::new(u.arbitrary()?)));
        }
    }
    Ok(entries)
}

fn read_back(table: &block::Table) -> block::Table {
    block::decode(&block::encode(table)).expect("a written table is read")
}

fn listed(table: &block::Table) -> Vec<(u32, u8, u16)> {
    let mut blocks = Vec::new();
    table.for_each(|first, bits, group| blocks.push((first, bits, group.get())));
    blocks
}

#[test]
fn a_look_up_finds_what_a_naive_search_finds() {
    testing::check(|u| {
        let entries = disjoint(u)?;
        let table = block::Table::new(entries.clone());
        assert_eq!(table.len(), entries.len());
        for (block, _group) in &entries {
            for address in [
                block.first(),
                block.last(),
                block.first().wrapping_sub(1),
                block.last().wrapping_add(1),
            ] {
                let address = net::Ipv4Addr::from_bits(address);
                assert_eq!(table.get(address), naive(&entries, address), "{address}");
            }
        }
        let address = net::Ipv4Addr::from_bits(u.arbitrary()?);
        assert_eq!(table.get(address), naive(&entries, address), "{address}");
        Ok(())
    });
}

#[test]
fn a_snapshot_gives_the_same_table() {
    testing::check(|u| {
        let table = block::Table::new(disjoint(u)?);
        assert_eq!(listed(&read_back(&table)), listed(&table));
        Ok(())
    });
}

#[test]
fn bytes_that_are_no_snapshot_are_refused_without_a_panic() {
    testing::check(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Ok(table) = block::decode(&bytes) {
            assert_eq!(listed(&read_back(&table)), listed(&table));
        }
        Ok(())
    });
    block::decode(&[24]).expect_err("a cut entry");
    block::decode(&[40, 0, 0]).expect_err("a prefix of 40 bits");
}
