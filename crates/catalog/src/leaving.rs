//! What upstreams say in their answers of leaving.

/// What an answer of an upstream says of whether the upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingStatus {
    /// It says nothing of it, or that it does not.
    NotLeaving,
    /// It leaves: it wants no more requests.
    Leaving,
    /// It says something that can't be read; nothing is learned of that.
    Unreadable,
}
