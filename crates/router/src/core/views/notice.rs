//! Which views there are, and what is told of changes in them.

use beamtray_catalog::DirectoryChange;
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};

/// Which replica a call or a snapshot belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ViewName {
    /// What operators write.
    Operator,
    /// Registrations of upstreams.
    Upstreams,
    /// Nodes and the granter.
    Members,
    /// What the granter writes.
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

/// A belief that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewNotice {
    /// A configuration is in force.
    Configured {
        /// Its version.
        version: u64,
        /// How many routes it has.
        routes: usize,
    },
    /// A value in the store can't be read. Told once for as long as it can't.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// An upstream registered for a service that no configuration has named.
    UnknownService {
        /// Key of the entry.
        key: String,
        /// The service.
        service: ServiceName,
    },
    /// The directory changed.
    Directory(DirectoryChange),
    /// A new assignment of a service.
    Assigned {
        /// The service.
        service: ServiceName,
        /// Term of the granter that wrote it.
        epoch: u64,
        /// Its number in that term.
        sequence: u64,
    },
    /// Another granter, or none.
    Granter {
        /// The node.
        node: Option<String>,
        /// Its term.
        epoch: u64,
    },
    /// A watch was given up on, since others know more.
    WatchRestarted {
        /// Prefix of the view.
        prefix: String,
    },
    /// This node follows the store itself, or relies on relays.
    FollowsStore {
        /// Whether it follows the store.
        directly: bool,
        /// Whether it is the relay that others rely on.
        as_relay: bool,
    },
    /// A view is not kept up by the store any more, or is again.
    StoreReachable {
        /// Prefix of the view.
        prefix: String,
        /// Whether the store answers.
        reachable: bool,
    },
}
