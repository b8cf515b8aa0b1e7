//! All that a run showed.

use crate::message::Report;
use beamtray_types::Time;

/// Who is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbed {
    /// A router, by its number.
    Router(usize),
    /// The store.
    Store,
    /// Some upstream, or the way to it.
    Upstream,
}

/// A fault as it was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// Who.
    pub whom: Disturbed,
    /// When it began.
    pub from: Time,
    /// When it ended.
    pub until: Time,
}

/// A planned stop of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// The router.
    pub node: usize,
    /// When it was told.
    pub at: Time,
    /// When it had ended.
    pub until: Time,
}

/// The end of an upstream's process, after which it holds nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEnd {
    /// The incarnation.
    pub upstream: String,
    /// When it had ended.
    pub at: Time,
}

/// The end of a trouble after which a grant may come that its sender would not send any
/// more: a router ran again, or an upstream's link was whole again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultEnd {
    /// The incarnation of the upstream; any for none.
    pub upstream: Option<String>,
    /// When.
    pub at: Time,
}

/// Bytes came to an upstream that had been held up on their way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelayedDelivery {
    /// The incarnation.
    pub upstream: String,
    /// When.
    pub at: Time,
}

/// All that a run showed.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What the processes saw.
    pub reports: Vec<Report>,
    /// Faults that are not planned work.
    pub disturbances: Vec<Disturbance>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Upstreams that ended.
    pub upstream_ends: Vec<UpstreamEnd>,
    /// Ends of troubles.
    pub fault_ends: Vec<FaultEnd>,
    /// What was held up on its way.
    pub delayed_deliveries: Vec<DelayedDelivery>,
    /// From when on requests must be served again.
    pub recovered: Time,
}
