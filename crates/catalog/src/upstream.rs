//! What an upstream says of itself.

use beamtray_types::{ServiceName, Zone};
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Name of an upstream, which requests and orders to it carry. A restart may keep it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct UpstreamName(pub String);

impl fmt::Display for UpstreamName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// When an upstream says that it started, in Unix milliseconds by its own time of day.
///
/// That clock may step, so births tell incarnations apart; which of two is the later one
/// they don't tell.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct StartTimestamp(pub u64);

/// One incarnation of an upstream. A restart has another name, or another birth under the
/// same one. What is remembered of an upstream is remembered of its incarnation, so that a
/// restart begins with nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct UpstreamId {
    /// Its name.
    pub name: UpstreamName,
    /// Its birth. Upstreams that don't tell it have one incarnation for each name.
    pub started_at: Option<StartTimestamp>,
}

impl UpstreamId {
    /// The incarnation of that name with that birth.
    pub fn with_start(name: impl Into<String>, start: StartTimestamp) -> Self {
        Self {
            name: UpstreamName(name.into()),
            started_at: Some(start),
        }
    }

    /// Whether `other` is another incarnation of the same name.
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

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It is about to end.
    Draining,
}

/// An upstream's registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its incarnation.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// How long it stays slow after its start, as of the registration.
    pub warm_up_left: Duration,
}
