//! Pace at which a node sends copies of views to other nodes.
//!
//! Invariant: copies take at most [`LINK_SHARE`] of the node's link. Without this limit, a relay from
//! which hundreds of nodes request copies at once fills its link for seconds; the datagrams that show
//! that it is alive are lost, and all these nodes turn to the store.

use beamtray_types::Time;
use std::time::Duration;

/// Share of the link that copies may take.
const LINK_SHARE: f64 = 0.7;
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Assigns the times at which parts of copies may be sent.
#[derive(Clone, Copy, Debug)]
pub struct TransferPace {
    /// `None` if the bandwidth of the link is not known.
    bytes_per_second: Option<f64>,
    next_at: Time,
}

impl TransferPace {
    /// Creates the pace for a link of this bandwidth, in megabits per second.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            bytes_per_second: link_mbps.map(|mbps| mbps * BYTES_PER_MEGABIT * LINK_SHARE),
            next_at: Time::ZERO,
        }
    }

    /// Returns when that number of bytes may be sent. Transfers that take turns get equal shares.
    pub fn reserve(&mut self, now: Time, bytes: usize) -> Time {
        let Some(rate) = self.bytes_per_second else {
            return now;
        };
        let at = self.next_at.max(now);
        self.next_at = at + Duration::from_secs_f64(bytes as f64 / rate);
        at
    }
}
