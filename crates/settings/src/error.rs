//! Errors of reading and checking files.

use thiserror::Error;

/// Why a settings file or a declaration was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: cannot read: {cause}")]
    Read {
        /// Path as given.
        file: String,
        /// What the system said.
        cause: String,
    },
    /// The file is not TOML of the expected shape. The cause carries the line.
    #[error("{file}: {cause}")]
    Parse {
        /// Path as given.
        file: String,
        /// The parser's message, with line and column.
        cause: String,
    },
    /// A value is outside what is allowed.
    #[error("{file}:{line}: {field} = {value}: allowed is {allowed}")]
    Range {
        /// Path as given.
        file: String,
        /// First line that mentions the value's field, from 1; 0 when unknown.
        line: usize,
        /// Full name of the field.
        field: String,
        /// The value refused.
        value: String,
        /// What would be accepted.
        allowed: String,
    },
}

/// Finds the line of a value for an error message: the first line that holds
/// `needle`, counted from 1, or 0.
pub(crate) fn line_of(text: &str, needle: &str) -> usize {
    text.lines()
        .position(|line| line.contains(needle))
        .map_or(0, |position| position + 1)
}

/// Reads a file to text.
pub(crate) fn read(file: &str) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|error| SettingsError::Read {
        file: file.to_owned(),
        cause: error.to_string(),
    })
}

/// Parses TOML into `T`.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(
    file: &str,
    text: &str,
) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|error| SettingsError::Parse {
        file: file.to_owned(),
        cause: error.to_string().trim_end().to_owned(),
    })
}
