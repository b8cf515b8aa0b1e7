//! What placement is told and what it answers.

use beamtray_types::{ServerName, SliceRange};

/// How slices are placed. The baselines exist to be measured against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By load, moving only what gains more than it costs.
    #[default]
    Balanced,
    /// A consistent-hash ring with virtual nodes.
    Ring,
    /// Position of the slice modulo the number of servers.
    Modulo,
}

/// One slice as placement sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceLoad {
    /// Its range.
    pub range: SliceRange,
    /// Who owns it; none when it is to be placed.
    pub owner: Option<ServerName>,
    /// Whether it is between owners and must be left alone.
    pub moving: bool,
    /// Requests per second.
    pub rate: f64,
    /// The hash that alone makes up most of the load, when one does.
    pub hot_hash: Option<u64>,
}

/// One keyed service at one moment.
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// All slices in order of their range.
    pub slices: Vec<SliceLoad>,
    /// Servers that may be given slices.
    pub available: Vec<ServerName>,
    /// Servers that keep what they have and are given nothing more, because
    /// it is not known yet whether they are lost.
    pub unresponsive: Vec<ServerName>,
    /// Cost of a move, in shares of the mean load per server.
    pub move_cost: f64,
    /// Slices per server that the service was founded with.
    pub slices_per_server: u32,
    /// How slices are placed.
    pub policy: Policy,
    /// Whether moves for balance, splits and merges may be planned now.
    pub allow_balance: bool,
}

/// One change worth making.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Give a slice that nobody owns to a server.
    Place {
        /// Lowest hash of the slice.
        first: u64,
        /// Its owner to be.
        to: ServerName,
    },
    /// Move a slice from its owner to another server.
    Move {
        /// Lowest hash of the slice.
        first: u64,
        /// Its owner to be.
        to: ServerName,
    },
    /// Divide a slice.
    Split {
        /// Lowest hash of the slice.
        first: u64,
        /// Lowest hash of its second part.
        at: u64,
    },
    /// Join a slice with the next one.
    Merge {
        /// Lowest hash of the lower slice.
        first: u64,
    },
}
