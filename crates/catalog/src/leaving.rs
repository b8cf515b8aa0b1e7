//! Leaving status that upstreams report in responses.

/// Whether an upstream's response reports that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingStatus {
    /// The response does not mention it, or denies it.
    NotLeaving,
    /// The upstream is leaving and accepts no more requests.
    Leaving,
    /// The value is invalid and is ignored.
    Unreadable,
}
