//! Prefix table: look-ups agree with a linear search, and encoding keeps every prefix.

use std::net;

use skylark_core::block;
use skylark_testing as testing;

type Entry = (block::Prefix, block::Group);

fn linear_search(entries: &[Entry], address: net::Ipv4Addr) -> Option<block::Group> {
    let address = address.to_bits();
    entries
        .iter()
        .find(|(prefix, _group)| prefix.first() <= address && address <= prefix.last())
        .map(|(_block, group)| *group)
}

fn disjoint_prefixes(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Vec<Entry>> {
    let mut entries: Vec<Entry> = Vec::new();
    for _ in 0..u.int_in_range(0..=40)? {
        let near: u32 = u.int_in_range(0..=0x0003_FFFF)?;
        let address = if u.arbitrary()? { near } else { u.arbitrary()? };
        let bits = u.int_in_range(8..=32)?;
        let prefix = block::Prefix::new(net::Ipv4Addr::from_bits(address), bits)
            .expect("a valid prefix length");
        let is_free =
            |(other, _): &Entry| other.last() < prefix.first() || prefix.last() < other.first();
        if entries.iter().all(is_free) {
            entries.push((prefix, block::Group::new(u.arbitrary()?)));
        }
    }
    Ok(entries)
}

fn round_trip(table: &block::Table) -> block::Table {
    block::decode(&block::encode(table)).expect("an encoded table can be decoded")
}

fn contents(table: &block::Table) -> Vec<(u32, u8, u16)> {
    let mut prefixes = Vec::new();
    table.for_each(|first, bits, group| prefixes.push((first, bits, group.get())));
    prefixes
}

#[test]
fn look_up_agrees_with_a_linear_search() {
    testing::check(|u| {
        let entries = disjoint_prefixes(u)?;
        let table = block::Table::new(entries.clone());
        assert_eq!(table.len(), entries.len());
        for (prefix, _group) in &entries {
            for address in [
                prefix.first(),
                prefix.last(),
                prefix.first().wrapping_sub(1),
                prefix.last().wrapping_add(1),
            ] {
                let address = net::Ipv4Addr::from_bits(address);
                assert_eq!(
                    table.get(address),
                    linear_search(&entries, address),
                    "{address}"
                );
            }
        }
        let address = net::Ipv4Addr::from_bits(u.arbitrary()?);
        assert_eq!(
            table.get(address),
            linear_search(&entries, address),
            "{address}"
        );
        Ok(())
    });
}

#[test]
fn encoding_keeps_every_prefix() {
    testing::check(|u| {
        let table = block::Table::new(disjoint_prefixes(u)?);
        assert_eq!(contents(&round_trip(&table)), contents(&table));
        Ok(())
    });
}

#[test]
fn malformed_bytes_are_rejected_without_a_panic() {
    testing::check(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Ok(table) = block::decode(&bytes) {
            assert_eq!(contents(&round_trip(&table)), contents(&table));
        }
        Ok(())
    });
    block::decode(&[24]).expect_err("a truncated entry");
    block::decode(&[40, 0, 0]).expect_err("a prefix of 40 bits");
}
