//! Messages from I/O threads to the event loop.

use beamtray_control::{Input, OperatorRequest};
use beamtray_http::{HttpResponse, Responder};
use beamtray_routing::CallerRequest;

/// A message from an I/O thread.
pub(crate) enum EdgeEvent {
    /// An input for the core.
    Input(Input),
    /// A caller's request.
    Caller(CallerRequest, ResponderGuard),
    /// An operator's request.
    Operator(OperatorRequest, Responder),
    /// A health probe or a metrics scrape.
    Probe(Probe, Responder),
}

/// Responder of a request that the event loop has not received yet. If it is
/// dropped before that, the request did not run and the caller gets a `not-run`
/// response.
pub(crate) struct ResponderGuard(Option<Responder>);

impl ResponderGuard {
    pub(crate) fn new(responder: Responder) -> Self {
        Self(Some(responder))
    }

    /// Hands the responder to the event loop, which must answer from now on.
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

/// The response to a request that the event loop did not accept before it stopped.
pub(crate) fn not_run_response() -> HttpResponse {
    let refusal = HttpResponse::text(503, "not-run: this node has stopped\n");
    refusal.with_header("beamtray-outcome", "not-run")
}

/// Requests about the state of the process itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// Liveness: the event loop is running.
    Health,
    /// Readiness: the node admits requests.
    Ready,
    /// Metrics scrape.
    Metrics,
}
