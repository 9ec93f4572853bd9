//! The table of blocks of clients beside naive maps, at growing sizes.

use std::collections;
use std::hint;
use std::io;
use std::io::Write as _;
use std::mem;
use std::net;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_core::block;

use super::error;
use super::options;

const SIZES: [usize; 4] = [100_000, 500_000, 1_000_000, 2_300_000];
const LOOKUPS: usize = 1_000_000;
const GROUPS: u16 = 4_096;

/// Where the blocks begin, so that 2.3 million of them with gaps fit.
const FIRST_ADDRESS: u32 = 0x0100_0000;

/// One measured size.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct Point {
    /// Blocks in the table.
    pub blocks: usize,
    /// Bytes of the table in memory.
    pub bytes: usize,
    /// Bytes of the snapshot.
    pub snapshot: usize,
    /// Time to read the snapshot, in milliseconds.
    pub decode_millis: u128,
    /// Time of a look-up in the table, in nanoseconds.
    pub table_nanos: u128,
    /// Time of a look-up in an ordered map, in nanoseconds.
    pub map_nanos: u128,
    /// Bytes of the entries of an ordered map, without its nodes' overhead.
    pub map_bytes: usize,
}

/// Measures and prints each size.
///
/// # Errors
///
/// Fails when the output cannot be written or a snapshot cannot be read back.
pub fn run(options: &options::Options) -> error::Result<()> {
    let points = measure(options.seed)?;
    let mut out = io::stdout().lock();
    if options.is_json {
        writeln!(out, "{}", serde_json::to_string(&points)?)?;
        return Ok(());
    }
    writeln!(
        out,
        "{:>9} {:>11} {:>11} {:>9} {:>8} {:>7} {:>11}",
        "blocks", "bytes", "snapshot", "decode ms", "table ns", "map ns", "map bytes"
    )?;
    for p in points {
        writeln!(
            out,
            "{:>9} {:>11} {:>11} {:>9} {:>8} {:>7} {:>11}",
            p.blocks, p.bytes, p.snapshot, p.decode_millis, p.table_nanos, p.map_nanos, p.map_bytes
        )?;
    }
    Ok(())
}

/// Measures each size.
///
/// # Errors
///
/// Fails when a snapshot cannot be read back.
pub fn measure(seed: u64) -> error::Result<Vec<Point>> {
    SIZES.iter().map(|size| point(*size, seed)).collect()
}

fn point(blocks: usize, seed: u64) -> error::Result<Point> {
    let entries = entries(blocks, seed)?;
    let map: collections::BTreeMap<u32, (u32, block::Group)> = entries
        .iter()
        .map(|(block, group)| (block.first(), (block.last(), *group)))
        .collect();
    let addresses = addresses(&entries, seed);
    let table = block::Table::new(entries);
    let snapshot = block::encode(&table);
    let start = time::Instant::now();
    let read = block::decode(&snapshot)?;
    let decode_millis = start.elapsed().as_millis();
    Ok(Point {
        blocks: read.len(),
        bytes: read.heap_bytes(),
        snapshot: snapshot.len(),
        decode_millis,
        table_nanos: nanos(&addresses, |address| read.get(address)),
        map_nanos: nanos(&addresses, |address| naive(&map, address)),
        map_bytes: map.len() * mem::size_of::<(u32, (u32, block::Group))>(),
    })
}

fn naive(
    map: &collections::BTreeMap<u32, (u32, block::Group)>,
    address: net::Ipv4Addr,
) -> Option<block::Group> {
    let address = address.to_bits();
    let (_first, (last, group)) = map.range(..=address).next_back()?;
    (address <= *last).then_some(*group)
}

fn nanos(
    addresses: &[net::Ipv4Addr],
    look_up: impl Fn(net::Ipv4Addr) -> Option<block::Group>,
) -> u128 {
    let start = time::Instant::now();
    for address in addresses {
        hint::black_box(look_up(hint::black_box(*address)));
    }
    start.elapsed().as_nanos() / addresses.len().max(1) as u128
}

/// Draws blocks of 16 to 1,024 addresses with gaps between some of them.
fn entries(blocks: usize, seed: u64) -> error::Result<Vec<(block::Prefix, block::Group)>> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut entries = Vec::with_capacity(blocks);
    let mut next = FIRST_ADDRESS;
    for _ in 0..blocks {
        let bits = random.random_range(22..=28);
        let size = 1_u32 << (32 - bits);
        let first = next.next_multiple_of(size) + size * random.random_range(0..2);
        let block = block::Prefix::new(net::Ipv4Addr::from_bits(first), bits)?;
        entries.push((block, block::Group::new(random.random_range(0..GROUPS))));
        next = first + size;
    }
    Ok(entries)
}

fn addresses(entries: &[(block::Prefix, block::Group)], seed: u64) -> Vec<net::Ipv4Addr> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let last = entries
        .last()
        .map_or(FIRST_ADDRESS, |(block, _)| block.last());
    (0..LOOKUPS)
        .map(|_| net::Ipv4Addr::from_bits(random.random_range(FIRST_ADDRESS..=last)))
        .collect()
}
