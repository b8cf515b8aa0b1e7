//! Seeds that once failed, played again before each landing.

use crate::plan::Plan;
use eyre::{Result, WrapErr};
use serde::Deserialize;
use std::path::Path;

/// A run that once failed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Regression {
    /// Its seed.
    pub seed: u64,
    /// Its length, in seconds.
    pub seconds: u64,
    /// What the cause was.
    pub cause: String,
    /// A shortened plan; the seed's own if there is none.
    #[serde(default)]
    pub plan: Option<Plan>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    regression: Vec<Regression>,
}

/// Reads a file of regressions.
///
/// # Errors
/// When it can't be read or is not of the form.
pub fn load(path: &Path) -> Result<Vec<Regression>> {
    let text =
        std::fs::read_to_string(path).wrap_err_with(|| format!("read {}", path.display()))?;
    let file: File = toml::from_str(&text).wrap_err_with(|| format!("parse {}", path.display()))?;
    Ok(file.regression)
}
