//! Unique names of process incarnations, from 128 random bits.

use skylark_core::name;

use super::error;

const RANDOM_BYTES: usize = 16;
/// Leaves room for a hyphen and 32 hex digits in a name of at most 63 bytes.
const MAX_HOST_BYTES: usize = 30;

/// Returns a new incarnation name for a process on an entry host: `HOST-RANDOM`.
///
/// # Errors
///
/// Fails if the operating system returns no random bytes.
pub fn incarnation(host: &name::Host) -> error::Result<name::Incarnation> {
    let suffix = random_hex()?;
    let prefix: String = host.as_str().chars().take(MAX_HOST_BYTES).collect();
    Ok(name::Incarnation::new(&format!("{prefix}-{suffix}"))?)
}

/// Returns 32 random hexadecimal digits.
///
/// # Errors
///
/// Fails if the operating system returns no random bytes.
pub fn random_hex() -> error::Result<String> {
    let mut bytes = [0; RANDOM_BYTES];
    getrandom::fill(&mut bytes).map_err(|cause| error::Error::Random(cause.to_string()))?;
    Ok(format!("{:032x}", u128::from_be_bytes(bytes)))
}
