//! What a leader knows of one follower.

use beamtray_types::{LogIndex, Time};

#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Highest index known to match the leader's log.
    pub(crate) matched: LogIndex,
    /// Next index to send.
    pub(crate) next: LogIndex,
    /// Latest `sent_at` that the follower answered, on the leader's clock.
    pub(crate) answered: Option<Time>,
}

impl Progress {
    pub(crate) fn starting_after(last: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next: last.next(),
            answered: None,
        }
    }
}
