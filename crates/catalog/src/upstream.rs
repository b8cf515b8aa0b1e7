//! Identity and registration of upstreams.

use beamtray_types::{ServiceName, Zone};
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Name of an upstream, carried by requests and orders to it. It may stay the same across
/// restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct UpstreamName(pub String);

impl fmt::Display for UpstreamName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Start time that an upstream reports, in Unix milliseconds by its own wall clock.
///
/// The wall clock may step, so start timestamps distinguish incarnations but do not order
/// them.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct StartTimestamp(pub u64);

/// One incarnation of an upstream. A restart has a different name, or a different start
/// timestamp under the same name. State about an upstream is kept by incarnation, so that a
/// restarted upstream inherits none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct UpstreamId {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Start timestamp. Upstreams that do not report one have a single incarnation per name.
    pub started_at: Option<StartTimestamp>,
}

impl UpstreamId {
    /// Returns the incarnation with the given name and start timestamp.
    pub fn with_start(name: impl Into<String>, start: StartTimestamp) -> Self {
        Self {
            name: UpstreamName(name.into()),
            started_at: Some(start),
        }
    }

    /// Returns whether `other` is a different incarnation with the same name.
    pub fn is_restart_of(&self, other: &UpstreamId) -> bool {
        self.name == other.name && self.started_at != other.started_at
    }
}

impl From<String> for UpstreamId {
    fn from(name: String) -> Self {
        Self {
            name: UpstreamName(name),
            started_at: None,
        }
    }
}

impl From<&str> for UpstreamId {
    fn from(name: &str) -> Self {
        Self::from(name.to_owned())
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(start) => write!(formatter, "{}@{}", self.name, start.0),
            None => self.name.fmt(formatter),
        }
    }
}

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new work.
    Ready,
    /// Is shutting down and accepts no new work.
    Draining,
}

/// An upstream's registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Incarnation of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: UpstreamState,
    /// Remaining warm-up time, as of the registration.
    pub warm_up_left: Duration,
}
