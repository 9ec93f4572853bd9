//! Property-based testing with fixed seeds, so that every run gives the same result.

use arbtest::arbitrary;

/// Number of cases that [`check`] runs.
pub const DEFAULT_CASES: u32 = 400;

/// Random input that [`check`] gives to each case.
const INPUT_BYTES: u32 = 4_096;

/// Position of the case number in a seed, whose lower bits state the size of the input.
const CASE_SHIFT_BITS: u32 = 32;

/// Checks a property on [`DEFAULT_CASES`] cases.
///
/// # Panics
///
/// Panics when the property panics, after printing the seed.
pub fn check<P>(property: P)
where
    P: FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
{
    check_cases(DEFAULT_CASES, INPUT_BYTES, property);
}

/// Checks a property on cases with seeds numbered from 1, each with `bytes` of random input.
///
/// # Panics
///
/// Panics when the property panics, after printing the seed.
pub fn check_cases<P>(cases: u32, bytes: u32, mut property: P)
where
    P: FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
{
    for case_number in 1..=u64::from(cases) {
        let case = arbtest::arbtest(&mut property);
        case.seed((case_number << CASE_SHIFT_BITS) | u64::from(bytes))
            .run();
    }
}
