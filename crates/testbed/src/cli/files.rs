//! JSON files.

use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Serialize;

use super::error::{CliError, FileError};

/// Reads a value from a JSON file.
pub fn read_json<T: DeserializeOwned>(file: &Path) -> Result<T, CliError> {
    try_read(file).map_err(|source| CliError::Read {
        file: file.to_owned(),
        source,
    })
}

/// Writes a value to a JSON file, and creates its directory if there is none.
pub fn write_json(file: &Path, value: &(impl Serialize + ?Sized)) -> Result<(), CliError> {
    try_write(file, value).map_err(|source| CliError::Write {
        file: file.to_owned(),
        source,
    })
}

/// Reads a value, without the file in its errors.
fn try_read<T: DeserializeOwned>(file: &Path) -> Result<T, FileError> {
    let mut bytes = std::fs::read(file)?;
    Ok(simd_json::serde::from_slice(&mut bytes)?)
}

/// Writes a value, without the file in its errors.
fn try_write(file: &Path, value: &(impl Serialize + ?Sized)) -> Result<(), FileError> {
    let bytes = simd_json::serde::to_vec_pretty(value)?;
    if let Some(directory) = file.parent() {
        std::fs::create_dir_all(directory)?;
    }
    std::fs::write(file, bytes)?;
    Ok(())
}
