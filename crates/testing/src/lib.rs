//! Property tests with fixed seeds, so that every run gives the same verdict.

use arbtest::arbitrary;

/// Cases of a property that states no number of its own.
pub const CASES: u32 = 400;

/// Bytes of random input to each case.
const INPUT_BYTES: u32 = 4_096;

/// Bits by which a case's number stands above the size in a seed.
const NUMBER_SHIFT: u32 = 32;

/// Checks a property on the usual number of cases.
///
/// # Panics
///
/// Panics when the property panics, after printing the seed.
pub fn check<P>(property: P)
where
    P: FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
{
    check_cases(CASES, INPUT_BYTES, property);
}

/// Checks a property on a number of cases, each with a seed and `bytes` of random input.
///
/// # Panics
///
/// Panics when the property panics, after printing the seed.
pub fn check_cases<P>(cases: u32, bytes: u32, mut property: P)
where
    P: FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
{
    for number in 1..=u64::from(cases) {
        let case = arbtest::arbtest(&mut property);
        case.seed((number << NUMBER_SHIFT) | u64::from(bytes)).run();
    }
}
