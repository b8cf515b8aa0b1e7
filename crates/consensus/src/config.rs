//! Timing of the log.

use std::time::Duration;

/// Timing and size limits of a [`crate::Raft`].
#[derive(Clone, Copy, Debug)]
pub struct RaftConfig {
    /// Between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// How long the answers of a majority keep a leader's lease, counted from
    /// the sending of what they answer.
    pub lease_duration: Duration,
    /// Least silence of a leader before an election, and how long a voter
    /// withholds its vote after word from a leader. Must exceed `lease`
    /// stretched by the largest clock drift, else two leaders can hold a lease.
    pub election_timeout: Duration,
    /// Whether voters withhold votes during a leader's lease. Only a test that
    /// shows why turns it off.
    pub withhold_votes: bool,
    /// Seed of the generator that spreads election timeouts.
    pub seed: u64,
}

/// Election timeouts spread from the least to this multiple of it.
pub(crate) const ELECTION_TIMEOUT_SPREAD: f64 = 0.6;
/// Most entries that one message carries.
pub(crate) const MAX_APPEND_ENTRIES: usize = 512;
