//! Errors of reading and validating files.

use thiserror::Error;

/// Reason why a settings file or a declaration was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: cannot read: {cause}")]
    Read {
        /// Path as passed by the caller.
        file: String,
        /// Error message of the operating system.
        cause: String,
    },
    /// The file is not valid TOML or does not match the schema.
    #[error("{file}: {cause}")]
    Parse {
        /// Path as passed by the caller.
        file: String,
        /// The parser's message, with line and column.
        cause: String,
    },
    /// A value is not allowed.
    #[error("{file}:{line}: {field} = {value}: allowed is {allowed}")]
    Range {
        /// Path as passed by the caller.
        file: String,
        /// First line that contains the field's name, from 1; 0 if unknown.
        line: usize,
        /// Qualified name of the field.
        field: String,
        /// The rejected value.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

/// Returns the number of the first line that contains `needle`, counted from 1,
/// or 0 if there is none. Used to locate a value for an error message.
pub(crate) fn line_of(text: &str, needle: &str) -> usize {
    text.lines()
        .position(|line| line.contains(needle))
        .map_or(0, |position| position + 1)
}

/// Reads a text file.
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
