//! HTTP server for operators: `POST /v1/operator` with a JSON request, `/metrics`,
//! `/healthz` and `/readyz`.

use crate::event::{EdgeEvent, Probe};
use beamtray_control::{OperatorAnswer, OperatorRequest};
use beamtray_http::{HttpRequest, HttpResponse, HttpServer, Responder, ServerConfig};
use beamtray_types::StepError;
use stakker::sync::Channel;

/// Starts the HTTP server for operators.
pub(crate) fn serve_operators(
    config: ServerConfig,
    events: Channel<EdgeEvent>,
) -> Result<HttpServer, StepError> {
    HttpServer::start(config, move |request, responder| {
        accept(&events, request, responder);
    })
}

fn accept(events: &Channel<EdgeEvent>, request: HttpRequest, responder: Responder) {
    let probe = match request.path.as_str() {
        "/healthz" => Some(Probe::Health),
        "/readyz" => Some(Probe::Ready),
        "/metrics" => Some(Probe::Metrics),
        _ => None,
    };
    if let Some(probe) = probe {
        events.send(EdgeEvent::Probe(probe, responder));
        return;
    }
    if request.path != "/v1/operator" {
        responder.respond(HttpResponse::text(404, "no such page\n"));
        return;
    }
    if request.method != "POST" {
        responder.respond(HttpResponse::text(405, "POST a request\n"));
        return;
    }
    match serde_json::from_slice::<OperatorRequest>(&request.body) {
        Ok(request) => {
            events.send(EdgeEvent::Operator(request, responder));
        }
        Err(error) => {
            let reason = error.to_string();
            responder.respond(operator_response(&OperatorAnswer::Invalid { reason }));
        }
    }
}

/// Converts an operator answer to an HTTP response.
pub(crate) fn operator_response(answer: &OperatorAnswer) -> HttpResponse {
    let status = match answer {
        OperatorAnswer::Conflict { .. } => 409,
        OperatorAnswer::Unknown { .. } => 504,
        OperatorAnswer::NoSuchOperation => 404,
        OperatorAnswer::Unavailable { .. } => 503,
        OperatorAnswer::Invalid { .. } => 400,
        _ => 200,
    };
    match serde_json::to_string(answer) {
        Ok(body) => {
            HttpResponse::text(status, body).with_header("content-type", "application/json")
        }
        Err(error) => HttpResponse::text(500, error.to_string()),
    }
}
