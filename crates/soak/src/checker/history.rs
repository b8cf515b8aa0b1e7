//! The recorded history of a run.

use crate::message::Report;
use beamtray_types::Time;

/// The processes affected by a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbed {
    /// The router with this index.
    Router(usize),
    /// The store.
    Store,
    /// An upstream or the link to it.
    Upstream,
}

/// A fault as it was injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// What was affected.
    pub whom: Disturbed,
    /// Start of the fault.
    pub from: Time,
    /// End of the fault.
    pub until: Time,
}

/// A planned stop of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// Index of the router.
    pub node: usize,
    /// When the stop was requested.
    pub at: Time,
    /// When the process had exited.
    pub until: Time,
}

/// The exit of an upstream, after which it holds no keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEnd {
    /// Incarnation of the upstream.
    pub upstream: String,
    /// When the process had exited.
    pub at: Time,
}

/// The end of a fault after which a grant may arrive that its sender would no longer send:
/// a router was resumed, or the link to an upstream was restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultEnd {
    /// Incarnation of the upstream; `None` stands for all upstreams.
    pub upstream: Option<String>,
    /// Time of the event.
    pub at: Time,
}

/// The arrival at an upstream of bytes that were delayed by a cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelayedDelivery {
    /// Incarnation of the upstream.
    pub upstream: String,
    /// Time of the event.
    pub at: Time,
}

/// The recorded history of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Reports of the processes.
    pub reports: Vec<Report>,
    /// Faults other than planned operations.
    pub disturbances: Vec<Disturbance>,
    /// Planned stops of routers.
    pub stops: Vec<PlannedStop>,
    /// Exits of upstreams.
    pub upstream_ends: Vec<UpstreamEnd>,
    /// Ends of faults.
    pub fault_ends: Vec<FaultEnd>,
    /// Deliveries delayed by a cut.
    pub delayed_deliveries: Vec<DelayedDelivery>,
    /// Time from which requests must be served again.
    pub recovered: Time,
}
