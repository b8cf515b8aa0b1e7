//! HTTP server for callers.

use crate::event::{EdgeEvent, ResponderGuard};
use beamtray_http::{CallerServer, CallerServerConfig, HttpRequest, HttpResponse, Target};
use beamtray_routing::CallerRequest;
use beamtray_types::{ServiceName, StepError};
use stakker::sync::Channel;

/// Header with the time left until the caller's deadline, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "beamtray-deadline-ms";
/// Header with the caller's idempotency key for the request.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, 7.6.1) and
/// headers that beamtray sets itself.
const UNFORWARDED_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
];

/// Starts the HTTP server for callers.
pub(crate) fn serve_callers(
    config: CallerServerConfig,
    events: Channel<EdgeEvent>,
) -> Result<CallerServer, StepError> {
    CallerServer::start(config, move |request, responder| {
        match caller_request(request) {
            Some(request) => {
                let caller = ResponderGuard::new(responder);
                events.send(EdgeEvent::Caller(request, caller));
            }
            None => {
                let text = "not-run: the path is /SERVICE/KEY/...\n";
                responder.respond(HttpResponse::text(404, text));
            }
        }
    })
}

fn caller_request(request: HttpRequest) -> Option<CallerRequest> {
    let target = Target::parse(&request.path)?;
    let deadline = request.header(DEADLINE_HEADER);
    let deadline_micros = deadline
        .and_then(|millis| millis.trim().parse::<u64>().ok())
        .map(|millis| millis.saturating_mul(1_000));
    let idempotency_key = request.header(IDEMPOTENCY_HEADER).map(str::to_owned);
    let path_and_query = if request.query.is_empty() {
        request.path
    } else {
        format!("{}?{}", request.path, request.query)
    };
    Some(CallerRequest {
        service: ServiceName(target.service),
        key: target.key,
        method: request.method,
        path: target.rest,
        target: path_and_query,
        headers: end_to_end_headers(request.headers),
        body: request.body,
        deadline_micros,
        idempotency_key,
    })
}

/// Returns the headers that are forwarded.
pub(crate) fn end_to_end_headers(headers: Vec<(String, String)>) -> Vec<(String, String)> {
    headers
        .into_iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| !name.starts_with("beamtray-"))
        .collect()
}
