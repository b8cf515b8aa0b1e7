//! What operators ask and what they are told.

use crate::plan::PlanReport;
use beamtray_settings::Declaration;
use beamtray_types::{OperationId, Revision, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// An operator's request.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRequest {
    /// What would change if the declaration were put in force.
    Plan {
        /// The declaration.
        declaration: Declaration,
    },
    /// Puts a declaration in force, if the revision that it was planned on
    /// still is.
    Confirm {
        /// Names the write.
        operation: OperationId,
        /// Revision that the plan was made on.
        base: Revision,
        /// The declaration.
        declaration: Declaration,
    },
    /// How a write ended.
    Operation {
        /// The write.
        operation: OperationId,
    },
    /// The state of the group.
    Status,
    /// The owners of a service's slices.
    Assignments {
        /// The service.
        service: ServiceName,
        /// Only the slice of this key.
        key: Option<String>,
    },
}

/// The answer.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorAnswer {
    /// A plan.
    Plan(PlanReport),
    /// The declaration is in force.
    InForce {
        /// As this revision.
        revision: Revision,
    },
    /// Another declaration came first; nothing was changed.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// What differs from the one planned on, in words.
        changed: Vec<String>,
    },
    /// It is not known whether the write took effect; ask again by its name.
    Unknown {
        /// The write.
        operation: OperationId,
    },
    /// The group has applied no such write.
    NoSuchOperation,
    /// The state of the group.
    Status(StatusReport),
    /// Owners of slices.
    Assignments(Vec<AssignmentRow>),
    /// The request cannot be served now; nothing was changed.
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The request is wrong; nothing was changed.
    Invalid {
        /// Why.
        reason: String,
    },
}

/// The state of a group as its leader sees it.
#[derive(
    Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize,
)]
pub struct StatusReport {
    /// Generation of the group.
    pub generation: u64,
    /// Term.
    pub term: u64,
    /// The leading node.
    pub leader: u32,
    /// Revision in force.
    pub revision: u64,
    /// Last applied index.
    pub applied: u64,
    /// Last index in the checkpoint.
    pub checkpointed: u64,
    /// Voting nodes.
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
    /// Whether the run that votes is live; one that is not will be replaced.
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
    /// Its slices.
    pub slices: u32,
    /// Slices without an owner that may serve.
    pub unowned: u32,
    /// Servers that answer grants.
    pub answering: u32,
    /// Servers declared.
    pub declared: u32,
    /// Busiest server's load over the mean.
    pub load_imbalance: f64,
    /// Largest server's share of keys over the mean.
    pub key_imbalance: f64,
}

/// One slice and its owner.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
pub struct AssignmentRow {
    /// The slice, as `first-last` in hexadecimal.
    pub slice: String,
    /// `owned`, `revoking` or `unassigned`.
    pub state: String,
    /// The server that holds it.
    pub server: Option<String>,
    /// Its fence.
    pub fence: Option<String>,
}
