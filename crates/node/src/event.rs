//! What edge threads tell the loop.

use beamtray_control::{Input, OperatorRequest};
use beamtray_http::Responder;
use beamtray_routing::CallerRequest;

/// A message from an edge thread.
pub(crate) enum EdgeEvent {
    /// An input for the core.
    Input(Input),
    /// A caller's request.
    Caller(CallerRequest, Responder),
    /// An operator's request.
    Operator(OperatorRequest, Responder),
    /// A probe or a scrape.
    Probe(Probe, Responder),
}

/// What is asked of the process itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// The loop runs.
    Health,
    /// The node admits requests.
    Ready,
    /// Metrics.
    Metrics,
}
