//! Messages of the grant protocol between the leader and a server.

use beamtray_types::{Fence, GroupId, Incarnation, SliceRange, Time};
use serde::{Deserialize, Serialize};

/// A slice granted to a server.
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
    /// Fencing token of the assignment; requests must carry the same token.
    pub fence: Fence,
}

/// The set of slices granted to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantSet {
    /// Exactly these slices.
    Full(Vec<GrantedSlice>),
    /// The set already held under the same version.
    Unchanged,
}

/// A message from the leader to a server: a probe, a renewal or a new set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The control group.
    pub group: GroupId,
    /// Generation and term of the leader, with the set's sequence number as the
    /// index. A server rejects versions lower than the highest it accepted.
    pub version: Fence,
    /// Incarnation of the addressed server process; `None` in a probe.
    pub incarnation: Option<Incarnation>,
    /// Expiry on the server's clock; `None` leaves the current expiry unchanged.
    pub valid_until: Option<Time>,
    /// The slices that the server is granted.
    pub set: GrantSet,
}

/// A server's reply, sent for rejected requests as well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Incarnation of the server process.
    pub incarnation: Incarnation,
    /// Reading of the server's monotonic clock.
    pub reading: Time,
    /// The version that the server now holds.
    pub version: Fence,
    /// Whether the request was accepted.
    pub accepted: bool,
    /// Whether the server held an unexpired grant when the request arrived.
    pub was_holding: bool,
    /// Ranges no longer granted that still have requests in flight.
    pub releasing: Vec<SliceRange>,
}
