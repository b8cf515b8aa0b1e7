//! The views, and notices of changes in them.

use beamtray_catalog::DirectoryChange;
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};

/// Identifies the view that a call or snapshot belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ViewName {
    /// Records written by operators.
    Operator,
    /// Registrations of upstreams.
    Upstreams,
    /// Registered nodes, and the granter.
    Members,
    /// Records written by the granter.
    State,
}

impl ViewName {
    /// All views.
    pub const ALL: [ViewName; 4] = [
        ViewName::Operator,
        ViewName::Upstreams,
        ViewName::Members,
        ViewName::State,
    ];
}

/// Why a watch was made again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartCause {
    /// It was not answered when its wait was over.
    Overdue,
    /// Another node has seen a newer change.
    Behind,
    /// This node follows the store again.
    FollowsAgain,
    /// The path to the store works again, or the store began a new era.
    StoreRegained,
}

/// A change of a node's views.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewNotice {
    /// A new configuration is in force.
    Configured {
        /// The configuration's version.
        version: u64,
        /// Number of routes in the configuration.
        routes: usize,
    },
    /// A value in the store can't be decoded. Reported once until the value becomes readable or is
    /// removed.
    Unreadable {
        /// The value's key.
        key: String,
        /// The decoding error.
        cause: String,
    },
    /// An upstream registered for a service that no configuration has named.
    UnknownService {
        /// Key of the registration.
        key: String,
        /// The unknown service.
        service: ServiceName,
    },
    /// The upstream directory changed.
    Directory(DirectoryChange),
    /// A service has a new assignment.
    Assigned {
        /// The service that is assigned.
        service: ServiceName,
        /// Term of the granter that wrote the assignment.
        epoch: u64,
        /// Sequence number of the assignment within its term.
        sequence: u64,
    },
    /// The granter changed, or there is none any more.
    Granter {
        /// Name of the granter's node.
        node: Option<String>,
        /// The granter's term.
        epoch: u64,
    },
    /// A watch was given up and made again.
    WatchRestarted {
        /// Prefix of the view.
        prefix: String,
        /// Why it was.
        cause: RestartCause,
    },
    /// This node started or stopped following the store itself.
    FollowsStore {
        /// Whether the node follows the store itself rather than through relays.
        directly: bool,
        /// Whether the node follows the store as a relay for others.
        as_relay: bool,
    },
    /// The store stopped or resumed answering the calls of a view.
    StoreReachable {
        /// Prefix of the view.
        prefix: String,
        /// Whether the store answers.
        reachable: bool,
    },
}
