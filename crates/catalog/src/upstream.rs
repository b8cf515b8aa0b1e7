//! What an upstream says of itself.

use beamtray_types::{ServiceName, Zone};
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// One incarnation of an upstream; a restart has another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct UpstreamId(pub String);

impl fmt::Display for UpstreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
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
