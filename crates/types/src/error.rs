//! The error type shared by several crates.

use thiserror::Error;

/// Failure of an operation with a peer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{step} with {peer}: {cause}")]
pub struct StepError {
    /// The operation that failed, as a short verb phrase.
    pub step: &'static str,
    /// Address or name of the peer.
    pub peer: String,
    /// Description of the failure.
    pub cause: String,
}

impl StepError {
    /// Creates an error from its parts.
    pub fn new(step: &'static str, peer: impl ToString, cause: impl ToString) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            cause: cause.to_string(),
        }
    }
}
