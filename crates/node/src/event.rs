//! What edge threads tell the loop.

use beamtray_control::{Input, OperatorRequest};
use beamtray_http::{HttpResponse, Responder};
use beamtray_routing::CallerRequest;

/// A message from an edge thread.
pub(crate) enum EdgeEvent {
    /// An input for the core.
    Input(Input),
    /// A caller's request.
    Caller(CallerRequest, ResponderGuard),
    /// An operator's request.
    Operator(OperatorRequest, Responder),
    /// A probe or a scrape.
    Probe(Probe, Responder),
}

/// A caller whose request the loop has not seen. If it never does, the request
/// did not run, and the caller is told so.
pub(crate) struct ResponderGuard(Option<Responder>);

impl ResponderGuard {
    pub(crate) fn new(responder: Responder) -> Self {
        Self(Some(responder))
    }

    /// The loop has seen the request: from now on it answers.
    pub(crate) fn into_responder(mut self) -> Option<Responder> {
        self.0.take()
    }
}

impl Drop for ResponderGuard {
    fn drop(&mut self) {
        if let Some(responder) = self.0.take() {
            responder.respond(not_run_response());
        }
    }
}

/// The answer to a request that the loop did not take before it ended.
pub(crate) fn not_run_response() -> HttpResponse {
    let refusal = HttpResponse::text(503, "not-run: this node has stopped\n");
    refusal.with_header("beamtray-outcome", "not-run")
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
