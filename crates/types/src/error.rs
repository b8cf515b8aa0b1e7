//! The error that crosses crate borders.

use thiserror::Error;

/// A failure with the step that failed and the peer it concerned.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{step} with {peer}: {cause}")]
pub struct StepError {
    /// What was being done, as a short verb phrase.
    pub step: &'static str,
    /// Address or name of the other side.
    pub peer: String,
    /// What went wrong.
    pub cause: String,
}

impl StepError {
    /// Builds an error from its three parts.
    pub fn new(step: &'static str, peer: impl ToString, cause: impl ToString) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            cause: cause.to_string(),
        }
    }
}
