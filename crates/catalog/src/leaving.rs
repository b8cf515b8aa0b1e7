//! What upstreams say in their answers of leaving.

/// What an answer of an upstream says of whether the upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveWord {
    /// It says nothing of it, or that it does not.
    Stays,
    /// It leaves: it wants no more requests.
    Leaves,
    /// It says something that can't be read; nothing is learned of that.
    Unreadable,
}
