//! Commands of the replicated log.

use crate::state::NodeRecord;
use beamtray_settings::DeclarationChange;
use beamtray_types::{Fence, NodeId, OperationId, Revision, ServerName, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;

/// One change of the control state. A command whose precondition no longer
/// holds when it is applied has no effect.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    /// Activates a declaration that was stored in the key-value service.
    Configure {
        /// Identifies the operator's write.
        operation: OperationId,
        /// Revision of the new declaration.
        revision: Revision,
        /// Revision to which the changes apply.
        base: Revision,
        /// The changes.
        changes: Vec<DeclarationChange>,
    },
    /// Assigns a slice to a server. Proposed only after the owner identified by
    /// `expected` has released the slice or its grant has expired.
    Assign {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the slice.
        first: u64,
        /// Fencing token of the previous ownership; `None` if there was none.
        expected: Option<Fence>,
        /// The new owner.
        to: ServerName,
    },
    /// Starts revoking a slice from its owner.
    Revoke {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the slice.
        first: u64,
        /// Fencing token of the ownership to revoke.
        expected: Fence,
        /// The next owner, if already chosen.
        to: Option<ServerName>,
    },
    /// Marks a revoked slice as unassigned.
    Release {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the slice.
        first: u64,
        /// Fencing token of the revoked ownership.
        expected: Fence,
    },
    /// Splits a slice into two with the same owner and fencing token.
    Split {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the slice.
        first: u64,
        /// Lowest hash of the upper part.
        at: u64,
    },
    /// Merges a slice with the next one if one server owns both.
    Merge {
        /// The service.
        service: ServiceName,
        /// Lowest hash of the lower slice.
        first: u64,
    },
    /// Removes a service that is no longer declared and whose slices are all
    /// unassigned.
    DropService {
        /// The service.
        service: ServiceName,
    },
    /// Adds, updates or removes a live node.
    SetNode {
        /// The node.
        node: NodeId,
        /// The live node's record; `None` removes the node.
        record: Option<NodeRecord>,
    },
    /// Replaces the set of servers on machines that are leaving.
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
