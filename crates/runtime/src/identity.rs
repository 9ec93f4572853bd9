//! Names that no later life of a process uses again.

use skylark_core::name;

use super::error;

const RANDOM_BYTES: usize = 16;
const STEM_BYTES: usize = 30;

/// Draws the name of this life of a process on an entry host.
///
/// # Errors
///
/// Fails when the operating system gives no random bytes.
pub fn incarnation(host: &name::Host) -> error::Result<name::Incarnation> {
    let unique = random_hex()?;
    let stem: String = host.as_str().chars().take(STEM_BYTES).collect();
    Ok(name::Incarnation::new(&format!("{stem}-{unique}"))?)
}

/// Draws a random text of hexadecimal digits.
///
/// # Errors
///
/// Fails when the operating system gives no random bytes.
pub fn random_hex() -> error::Result<String> {
    let mut bytes = [0; RANDOM_BYTES];
    getrandom::fill(&mut bytes).map_err(|cause| error::Error::Random(cause.to_string()))?;
    Ok(format!("{:032x}", u128::from_be_bytes(bytes)))
}
