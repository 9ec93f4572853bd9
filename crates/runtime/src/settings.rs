//! Loading of a daemon's settings from YAML.

use std::fs;
use std::path;

use super::error;

/// Loads settings from a YAML file.
///
/// # Errors
///
/// Fails if the file cannot be read or a field is invalid; the error names file, line and field.
pub fn load<T: serde::de::DeserializeOwned>(path: &path::Path) -> error::Result<T> {
    let text = fs::read_to_string(path).map_err(|cause| error::Error::Read {
        path: path.to_owned(),
        cause,
    })?;
    let deserializer = serde_yaml_ng::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(deserializer).map_err(|parse_error| error::Error::Setting {
        path: path.to_owned(),
        line: parse_error
            .inner()
            .location()
            .map_or(1, |position| position.line()),
        field: parse_error.path().to_string(),
        reason: parse_error.inner().to_string(),
    })
}
