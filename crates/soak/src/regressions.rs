//! Recorded failures, run again before each merge.

use crate::plan::Plan;
use eyre::{Result, WrapErr};
use serde::Deserialize;
use std::path::Path;

/// A recorded run that failed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Regression {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Cause of the failure.
    pub cause: String,
    /// A reduced plan; if absent, the plan is drawn from the seed.
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
/// When the file can't be read or parsed.
pub fn load(path: &Path) -> Result<Vec<Regression>> {
    let text =
        std::fs::read_to_string(path).wrap_err_with(|| format!("read {}", path.display()))?;
    let file: File = toml::from_str(&text).wrap_err_with(|| format!("parse {}", path.display()))?;
    Ok(file.regression)
}
