//! Replication progress of a follower, tracked by the leader.

use beamtray_types::{LogIndex, Time};

#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Highest index known to match the leader's log.
    pub(crate) match_index: LogIndex,
    /// Next index to send.
    pub(crate) next_index: LogIndex,
    /// Latest `sent_at` acknowledged by the follower, on the leader's clock.
    pub(crate) last_acknowledged: Option<Time>,
}

impl Progress {
    pub(crate) fn starting_after(last: LogIndex) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: last.next(),
            last_acknowledged: None,
        }
    }
}
