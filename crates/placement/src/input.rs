//! Input and output of placement.

use beamtray_types::{ServerName, SliceRange};

/// Placement policy. The baselines exist only for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By load, making only moves whose gain exceeds their cost.
    #[default]
    Balanced,
    /// A consistent-hash ring with virtual nodes.
    Ring,
    /// The slice's position modulo the number of servers.
    Modulo,
}

/// One slice and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceLoad {
    /// Its range.
    pub range: SliceRange,
    /// Its owner; `None` if it needs one.
    pub owner: Option<ServerName>,
    /// Whether it is changing owners and must not be changed.
    pub moving: bool,
    /// Requests per second.
    pub rate: f64,
    /// The hash that accounts for most of the load, if there is one.
    pub hot_hash: Option<u64>,
}

/// Snapshot of one keyed service.
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// All slices, ordered by range.
    pub slices: Vec<SliceLoad>,
    /// Servers that may be assigned slices.
    pub available: Vec<ServerName>,
    /// Unresponsive servers that are not known to be lost yet: they keep their
    /// slices and are assigned no more.
    pub unresponsive: Vec<ServerName>,
    /// Cost of a move, as a fraction of the mean load per server.
    pub move_cost: f64,
    /// Initial number of slices per server of the service.
    pub slices_per_server: u32,
    /// Placement policy.
    pub policy: Policy,
    /// Whether balancing moves, splits and merges may be planned now.
    pub allow_balance: bool,
}

/// One planned change.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Assign an unowned slice to a server.
    Place {
        /// Lowest hash of the slice.
        first: u64,
        /// Its new owner.
        to: ServerName,
    },
    /// Move a slice from its owner to another server.
    Move {
        /// Lowest hash of the slice.
        first: u64,
        /// Its new owner.
        to: ServerName,
    },
    /// Split a slice.
    Split {
        /// Lowest hash of the slice.
        first: u64,
        /// Lowest hash of the upper part.
        at: u64,
    },
    /// Merge a slice with the next one.
    Merge {
        /// Lowest hash of the lower slice.
        first: u64,
    },
}
