//! State of a request at its ingress until the final answer.

use crate::message::{AttemptId, CallerRequest};
use crate::router::RouterOutput;
use beamtray_types::{Fence, NodeId, ServerName, Time};

/// An attempt sent to a gate whose outcome is not known yet.
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

/// Processing stage of a request.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    Waiting { until: Time, view: u64 },
    Sent(Attempt),
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) request: CallerRequest,
    pub(crate) repeatable: bool,
    pub(crate) deadline: Time,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// Number of refusals because of a wrong owner or gate.
    pub(crate) reroutes: u32,
    pub(crate) stage: Stage,
}
