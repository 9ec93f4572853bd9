//! Memory and look-up time of the table of client blocks, compared with an ordered map.

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

/// Numbers of blocks.
const SIZES: [usize; 4] = [100_000, 500_000, 1_000_000, 2_300_000];
const LOOKUPS: usize = 1_000_000;
const GROUP_COUNT: u16 = 4_096;

/// Start of the first block, low enough for 2.3 million blocks with gaps to fit.
const FIRST_ADDRESS: u32 = 0x0100_0000;

/// Measurements at one number of blocks.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct Point {
    /// Number of blocks in the table.
    pub blocks: usize,
    /// Size of the table in memory, in bytes.
    pub bytes: usize,
    /// Size of the encoded snapshot, in bytes.
    pub snapshot: usize,
    /// Time to decode the snapshot, in milliseconds.
    pub decode_millis: u128,
    /// Mean time of a look-up in the table, in nanoseconds.
    pub table_nanos: u128,
    /// Mean time of a look-up in an ordered map, in nanoseconds.
    pub map_nanos: u128,
    /// Size of the entries of an ordered map in bytes, without the overhead of its nodes.
    pub map_bytes: usize,
}

/// Measures each size and prints the measurements.
///
/// # Errors
///
/// Fails when the output cannot be written or a snapshot cannot be decoded.
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
    for point in points {
        writeln!(
            out,
            "{:>9} {:>11} {:>11} {:>9} {:>8} {:>7} {:>11}",
            point.blocks,
            point.bytes,
            point.snapshot,
            point.decode_millis,
            point.table_nanos,
            point.map_nanos,
            point.map_bytes
        )?;
    }
    Ok(())
}

/// Measures the table and the map at each number of blocks.
///
/// # Errors
///
/// Fails when a snapshot cannot be decoded.
pub fn measure(seed: u64) -> error::Result<Vec<Point>> {
    SIZES.iter().map(|size| measure_size(*size, seed)).collect()
}

fn measure_size(blocks: usize, seed: u64) -> error::Result<Point> {
    let entries = entries(blocks, seed)?;
    let map: collections::BTreeMap<u32, (u32, block::Group)> = entries
        .iter()
        .map(|(block, group)| (block.first(), (block.last(), *group)))
        .collect();
    let addresses = addresses(&entries, seed);
    let table = block::Table::new(entries);
    let snapshot = block::encode(&table);
    let start = time::Instant::now();
    let decoded = block::decode(&snapshot)?;
    let decode_millis = start.elapsed().as_millis();
    Ok(Point {
        blocks: decoded.len(),
        bytes: decoded.heap_bytes(),
        snapshot: snapshot.len(),
        decode_millis,
        table_nanos: nanos(&addresses, |address| decoded.get(address)),
        map_nanos: nanos(&addresses, |address| get_from_map(&map, address)),
        map_bytes: map.len() * mem::size_of::<(u32, (u32, block::Group))>(),
    })
}

fn get_from_map(
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

/// Draws blocks of 16 to 1,024 addresses in ascending order, with gaps between some of them.
fn entries(blocks: usize, seed: u64) -> error::Result<Vec<(block::Prefix, block::Group)>> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut entries = Vec::with_capacity(blocks);
    let mut next = FIRST_ADDRESS;
    for _ in 0..blocks {
        let prefix_bits = rng.random_range(22..=28);
        let size = 1_u32 << (32 - prefix_bits);
        let first = next.next_multiple_of(size) + size * rng.random_range(0..2);
        let block = block::Prefix::new(net::Ipv4Addr::from_bits(first), prefix_bits)?;
        entries.push((block, block::Group::new(rng.random_range(0..GROUP_COUNT))));
        next = first + size;
    }
    Ok(entries)
}

fn addresses(entries: &[(block::Prefix, block::Group)], seed: u64) -> Vec<net::Ipv4Addr> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let last = entries
        .last()
        .map_or(FIRST_ADDRESS, |(block, _)| block.last());
    (0..LOOKUPS)
        .map(|_| net::Ipv4Addr::from_bits(rng.random_range(FIRST_ADDRESS..=last)))
        .collect()
}
