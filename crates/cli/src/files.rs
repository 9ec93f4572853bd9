//! Reading files of records, all faults at once.

use std::fs;
use std::path;

use skylark_core::record;

use super::error;

/// Reads the records of all files, or returns the faults of all files.
///
/// # Errors
///
/// Fails when a file cannot be read or any record is refused.
pub fn read(files: &[path::PathBuf]) -> error::Result<Vec<record::Document>> {
    if files.is_empty() {
        return Err(error::Error::Usage("name at least one file".to_owned()));
    }
    let mut documents = Vec::new();
    let mut faults = Vec::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|source| error::Error::File {
            file: file.display().to_string(),
            source,
        })?;
        match record::parse(&text) {
            Ok(found) => documents.extend(found),
            Err(found) => {
                faults.extend(
                    found
                        .iter()
                        .map(|fault| format!("{}: {fault}", file.display())),
                );
            }
        }
    }
    if faults.is_empty() {
        Ok(documents)
    } else {
        Err(error::Error::Records { faults })
    }
}
