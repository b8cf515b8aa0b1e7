//! What an ingress keeps of a request until its final answer.

use crate::message::{AttemptId, CallerRequest};
use crate::router::RouterOutput;
use beamtray_types::{Fence, NodeId, ServerName, Time};

/// One try that is out at a gate.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) gate: NodeId,
    pub(crate) server: ServerName,
    pub(crate) fence: Option<Fence>,
    pub(crate) superseded_since: Option<Time>,
}

impl Attempt {
    pub(crate) fn cancellation(&self) -> RouterOutput {
        RouterOutput::Cancel {
            to: self.gate,
            attempt: self.id,
        }
    }
}

/// Where a request is.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    Waiting { until: Time, view: u64 },
    Sent(Attempt),
}

/// A request without its final answer.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) request: CallerRequest,
    pub(crate) repeatable: bool,
    pub(crate) deadline: Time,
    /// Whether a try before the present stage may have run.
    pub(crate) may_have_run: bool,
    /// Refusals in a row for owner or gate.
    pub(crate) reroutes: u32,
    pub(crate) stage: Stage,
}
