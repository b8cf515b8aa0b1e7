//! Operator requests and answers.

use crate::plan::PlanReport;
use beamtray_settings::Declaration;
use beamtray_types::{OperationId, Revision, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// An operator's request.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRequest {
    /// Computes the effects of activating a declaration.
    Plan {
        /// The declaration.
        declaration: Declaration,
    },
    /// Activates a declaration if the revision that its plan is based on is
    /// still active.
    Confirm {
        /// Identifies the write.
        operation: OperationId,
        /// Revision that the plan is based on.
        base: Revision,
        /// The declaration.
        declaration: Declaration,
    },
    /// Queries the outcome of a write.
    Operation {
        /// The write.
        operation: OperationId,
    },
    /// The state of the group.
    Status,
    /// Queries the owners of a service's slices.
    Assignments {
        /// The service.
        service: ServiceName,
        /// Restricts the answer to the slice of this key.
        key: Option<String>,
    },
}

/// An answer to an operator's request.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorAnswer {
    /// A plan.
    Plan(PlanReport),
    /// The declaration is active.
    InForce {
        /// Its revision.
        revision: Revision,
    },
    /// Another declaration was activated first; nothing was changed.
    Conflict {
        /// The active revision.
        revision: Revision,
        /// Descriptions of the differences between the declaration in the request
        /// and the active one.
        changed: Vec<String>,
    },
    /// It is not known whether the write took effect; query the operation again.
    Unknown {
        /// The write.
        operation: OperationId,
    },
    /// The group has no record of this write.
    NoSuchOperation,
    /// The state of the group.
    Status(StatusReport),
    /// Owners of slices.
    Assignments(Vec<AssignmentRow>),
    /// The request cannot be served now; nothing was changed.
    Unavailable {
        /// The reason.
        reason: String,
    },
    /// The request is invalid; nothing was changed.
    Invalid {
        /// The reason.
        reason: String,
    },
}

/// The state of a group as known to its leader.
#[derive(
    Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize,
)]
pub struct StatusReport {
    /// Generation of the group.
    pub generation: u64,
    /// Term of the leader.
    pub term: u64,
    /// Node ID of the leader.
    pub leader: u32,
    /// Active revision.
    pub revision: u64,
    /// Last applied log index.
    pub applied: u64,
    /// Last log index in the checkpoint.
    pub checkpointed: u64,
    /// Voters.
    pub voters: Vec<VoterRow>,
    /// Live nodes.
    pub nodes: Vec<NodeRow>,
    /// Services.
    pub services: Vec<ServiceRow>,
}

/// One voter in a status report.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
pub struct VoterRow {
    /// The node.
    pub node: u32,
    /// Whether the voter's incarnation is live; a voter that is not is replaced.
    pub live: bool,
}

/// One node in a status report.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
pub struct NodeRow {
    /// The node.
    pub node: u32,
    /// Its zone.
    pub zone: String,
}

/// One service in a status report.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
pub struct ServiceRow {
    /// The service.
    pub service: String,
    /// Number of slices.
    pub slices: u32,
    /// Number of slices that are unassigned or being revoked.
    pub unowned: u32,
    /// Number of servers that reply to grants.
    pub answering: u32,
    /// Number of declared servers.
    pub declared: u32,
    /// Ratio of the busiest server's load to the mean.
    pub load_imbalance: f64,
    /// Ratio of the largest share of keys of a server to the mean.
    pub key_imbalance: f64,
}

/// One slice and its owner.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
pub struct AssignmentRow {
    /// The slice, as `first-last` in hexadecimal.
    pub slice: String,
    /// `owned`, `revoking` or `unassigned`.
    pub state: String,
    /// The server that holds the slice.
    pub server: Option<String>,
    /// Fencing token of the assignment.
    pub fence: Option<String>,
}
