//! Commands of the replicated log.

use crate::state::NodeRecord;
use beamtray_settings::DeclarationChange;
use beamtray_types::{Fence, NodeId, OperationId, Revision, ServerName, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;

/// One change of the control state. A command whose expectation no longer
/// holds when it is applied changes nothing.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    /// Puts a declaration in force that the key-value service accepted.
    Configure {
        /// The operator's write.
        operation: OperationId,
        /// Revision that the declaration has.
        revision: Revision,
        /// Revision that the steps lead away from.
        base: Revision,
        /// The steps.
        changes: Vec<DeclarationChange>,
    },
    /// Gives a slice to a server. Proposed only after the owner that
    /// `expected` names has released it or can no longer act.
    Assign {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the slice.
        first: u64,
        /// Fence of the ownership that ended; none when there was none.
        expected: Option<Fence>,
        /// The new owner.
        to: ServerName,
    },
    /// Asks a slice back from its owner.
    Revoke {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the slice.
        first: u64,
        /// Fence of the ownership to end.
        expected: Fence,
        /// Who is to have it next, when that is decided.
        to: Option<ServerName>,
    },
    /// Marks a revoked slice as nobody's.
    Release {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the slice.
        first: u64,
        /// Fence of the ownership that ended.
        expected: Fence,
    },
    /// Divides a slice in two with the same owner and fence.
    Split {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the slice.
        first: u64,
        /// Lowest hash of its second part.
        at: u64,
    },
    /// Joins a slice with the one above it when one server owns both.
    Merge {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the lower slice.
        first: u64,
    },
    /// Forgets a service that is no longer declared and owns nothing.
    DropService {
        /// The service.
        service: ServiceName,
    },
    /// Lists a node as live, or no longer.
    SetNode {
        /// The node.
        node: NodeId,
        /// Its run; none when it is not live.
        record: Option<NodeRecord>,
    },
    /// Replaces the list of servers on machines that are leaving.
    SetLeaving {
        /// The servers.
        servers: BTreeSet<ServerName>,
    },
}

/// The commands of one log entry, applied in order.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct CommandBatch {
    /// The commands.
    pub commands: Vec<Command>,
}
