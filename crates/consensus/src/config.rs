//! Configuration of timing and size limits.

use std::time::Duration;

/// Timing and size limits of a [`crate::Raft`].
#[derive(Clone, Copy, Debug)]
pub struct RaftConfig {
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Duration of the leader lease. It starts when the messages that a
    /// majority acknowledged were sent.
    pub lease_duration: Duration,
    /// Minimum time without contact from a leader before an election, and how
    /// long a voter withholds its vote after contact from a leader. Must exceed
    /// `lease_duration` extended by the maximum clock drift; otherwise two
    /// leaders can hold a lease at the same time.
    pub election_timeout: Duration,
    /// Whether voters withhold their votes while a leader may hold a lease.
    /// Always on in production; tests turn it off to show the failure it
    /// prevents.
    pub withhold_votes: bool,
    /// Seed of the random generator for election timeouts.
    pub seed: u64,
}

/// Maximum random addition to an election timeout, as a share of the minimum.
pub(crate) const ELECTION_TIMEOUT_SPREAD: f64 = 0.6;
/// Maximum number of entries in one message.
pub(crate) const MAX_APPEND_ENTRIES: usize = 512;
