//! Secrets and write ids from the system's randomness.

use std::fmt::Write as _;

use super::error;

const SECRET_BYTES: usize = 32;
const WRITE_ID_BYTES: usize = 16;

/// Draws the secret of a caller's key, as hex digits.
///
/// # Errors
///
/// Fails when the system has no randomness.
pub fn secret() -> error::Result<String> {
    hex::<SECRET_BYTES>()
}

/// Draws the unique id of a write, as hex digits.
///
/// # Errors
///
/// Fails when the system has no randomness.
pub fn write_id() -> error::Result<String> {
    hex::<WRITE_ID_BYTES>()
}

fn hex<const BYTES: usize>() -> error::Result<String> {
    let mut bytes = [0_u8; BYTES];
    getrandom::fill(&mut bytes).map_err(|error| error::Error::Random(error.to_string()))?;
    let mut text = String::with_capacity(BYTES * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").map_err(|error| error::Error::Random(error.to_string()))?;
    }
    Ok(text)
}
