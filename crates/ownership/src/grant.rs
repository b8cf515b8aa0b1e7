//! Messages between a granting leader and a server.

use beamtray_types::{Fence, GroupId, Incarnation, SliceRange, Time};
use serde::{Deserialize, Serialize};

/// A slice that a server may act for.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    borsh::BorshSerialize,
    borsh::BorshDeserialize,
)]
pub struct GrantedSlice {
    /// Its range of the hash space.
    pub range: SliceRange,
    /// Fence of the assignment; requests must carry the same.
    pub fence: Fence,
}

/// What a server is to hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantSet {
    /// Exactly these slices.
    Full(Vec<GrantedSlice>),
    /// What it holds under the same version.
    Unchanged,
}

/// A leader's message to a server: a probe, a renewal or a new set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The control group.
    pub group: GroupId,
    /// Generation and term of the leader with the number of the set as index.
    /// A server refuses whatever is lower than the highest it accepted.
    pub version: Fence,
    /// The run of the server that is meant; none in a probe.
    pub incarnation: Option<Incarnation>,
    /// On the server's clock; none leaves the present expiry as it is.
    pub valid_until: Option<Time>,
    /// What the server is to hold.
    pub set: GrantSet,
}

/// A server's answer, also to what it refuses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The server's run.
    pub incarnation: Incarnation,
    /// The server's monotonic clock.
    pub reading: Time,
    /// The version that the server now holds.
    pub version: Fence,
    /// Whether the message was accepted.
    pub accepted: bool,
    /// Whether the server held an unexpired grant when the message came.
    pub was_holding: bool,
    /// Ranges no longer granted in which requests are still in flight.
    pub releasing: Vec<SliceRange>,
}
