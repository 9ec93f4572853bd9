//! Reading a daemon's settings.

use std::fs;
use std::path;

use super::error;

/// Reads settings from a YAML file.
///
/// # Errors
///
/// Fails with file, line and field when the file or one of its fields is wrong.
pub fn load<T: serde::de::DeserializeOwned>(path: &path::Path) -> error::Result<T> {
    let text = fs::read_to_string(path).map_err(|cause| error::Error::Read {
        path: path.to_owned(),
        cause,
    })?;
    let reader = serde_yaml_ng::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(reader).map_err(|fault| error::Error::Setting {
        path: path.to_owned(),
        line: fault.inner().location().map_or(1, |place| place.line()),
        field: fault.path().to_string(),
        reason: fault.inner().to_string(),
    })
}
