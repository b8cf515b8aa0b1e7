//! Forwarding of a client request to one upstream.

use crate::core::Input;
use crate::shell::answer::strip_connection_headers;
use crate::shell::connections::{Answer, CallFailure, CallProgress, Endpoint, RequestDigest};
use crate::shell::handle::{RequestAction, ResponseBody, Shared};
use crate::shell::held_body::HeldBody;
use crate::shell::sendings::Sendings;
use crate::shell::tenant_headers::apply_sender;
use beamtray_catalog::{AdvertisedRate, LeavingStatus, RetryAfter};
use beamtray_dispatch::{
    AttemptOutcome, Fingerprints, Forward, NamedRequest, NotExecuted, Rejection, Ticket,
    UnknownCause,
};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;

/// Subtracted from the deadline that the upstream is given, so that a response it sends at its
/// deadline still arrives.
const UPSTREAM_DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// A client's request as it is forwarded.
pub(crate) struct ClientRequest {
    pub id: String,
    pub fingerprints: Fingerprints,
    pub key_digest: Option<u32>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: HeldBody,
    pub sendings: Sendings,
}

/// Result of an attempt.
struct AttemptResult {
    outcome: AttemptOutcome,
    response: Option<Response<ResponseBody>>,
    /// Whether an upstream with another name answered at the address.
    replaced: bool,
    /// Rate limit announced in the upstream's response.
    rate: Option<AdvertisedRate>,
    /// Whether the upstream's response announced that it is leaving.
    is_leaving: bool,
    /// How long the upstream asked this node to send it nothing.
    backoff: Option<Duration>,
}

impl AttemptResult {
    fn failed(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            response: None,
            replaced: false,
            rate: None,
            is_leaving: false,
            backoff: None,
        }
    }
}

/// Sends the request to the chosen upstream, reports the outcome to the core and passes the
/// response to the request's task.
pub(crate) async fn attempt(
    shared: Rc<Shared>,
    ticket: Ticket,
    forward: Forward,
    request: Rc<ClientRequest>,
) {
    let sent_at = shared.now();
    let left = forward.deadline.since(sent_at);
    shared.observer.attempt_sent(&request.id, &forward, left);
    let progress = if forward.route.repeatable {
        CallProgress::repeatable()
    } else {
        CallProgress::unrepeatable()
    };
    let progress = progress
        .for_request(&request.id)
        .with_write_deadline(shared.clock.clone(), forward.deadline);
    let exchange = send_to_upstream(&shared, &forward, &request, &progress);
    let result = match shared.run_until(forward.deadline, exchange).await {
        Some(result) => result,
        None if progress.may_have_been_written() => {
            // The connection may be dead rather than the upstream. Others opened at the same
            // time are then dead as well, and each would cost a request.
            if progress.was_reused() {
                shared.connections.close_idle(forward.address);
            }
            AttemptResult::failed(AttemptOutcome::Unknown(UnknownCause::TimedOut))
        }
        None => AttemptResult::failed(progress.sending().given_up(NotExecuted::Unconnected)),
    };
    let took = shared.now().since(sent_at);
    shared.report_connection(&forward.upstream, forward.address, sent_at, &progress);
    shared
        .observer
        .attempt_ended(&request, &forward, &progress, result.outcome, took);
    if result.replaced {
        shared.input(Input::Replaced {
            upstream: forward.upstream.clone(),
        });
    }
    if result.is_leaving {
        shared.input(Input::UpstreamLeaving {
            upstream: forward.upstream.clone(),
        });
    }
    if let Some(backoff) = result.backoff {
        shared
            .observer
            .backoff_requested(&forward.upstream, backoff);
        shared.input(Input::BackoffRequested {
            upstream: forward.upstream.clone(),
            backoff,
        });
    }
    if let Some(response) = result.response {
        let age = forward.waited + took;
        shared.observer.request_answered(&forward.route.name, age);
        shared.send_action(ticket, RequestAction::Respond(Box::new(response)));
    }
    shared.input(Input::AttemptEnded {
        ticket,
        outcome: result.outcome,
        rate: result.rate,
    });
}

async fn send_to_upstream(
    shared: &Shared,
    forward: &Forward,
    request: &ClientRequest,
    progress: &CallProgress,
) -> AttemptResult {
    let Some(outgoing) = build_request(shared, forward, request) else {
        return AttemptResult::failed(progress.sending().given_up(NotExecuted::Unsent));
    };
    let endpoint = Endpoint {
        address: forward.address,
        gateway: forward.gateway,
    };
    let call = shared.connections.call(endpoint, outgoing, progress);
    match call.await {
        Ok(answer) => classify_answer(shared, forward, request, progress, answer),
        Err(failure) => AttemptResult::failed(match failure {
            CallFailure::ConnectionLost | CallFailure::AckTimeout => {
                // Other connections to the same upstream may have ended as well.
                shared.connections.close_idle(forward.address);
                AttemptOutcome::Unknown(UnknownCause::BrokenOff)
            }
            CallFailure::AnswerTooLarge => {
                shared.connections.disable_reuse(forward.address);
                AttemptOutcome::Unknown(UnknownCause::WrongAnswer)
            }
            CallFailure::ConnectFailed => progress.sending().given_up(NotExecuted::Unconnected),
            CallFailure::ConnectionRefused => {
                progress.sending().given_up(NotExecuted::ConnectionRefused)
            }
            CallFailure::Gateway(failure) => progress
                .sending()
                .given_up(NotExecuted::GatewayFailed(failure)),
            CallFailure::NotSent => progress.sending().given_up(NotExecuted::Unsent),
        }),
    }
}

fn build_request(
    shared: &Shared,
    forward: &Forward,
    request: &ClientRequest,
) -> Option<Request<HeldBody>> {
    let names = shared.dialect.headers();
    let left = forward.deadline.since(shared.now());
    let left = left
        .saturating_sub(UPSTREAM_DEADLINE_MARGIN)
        .as_millis()
        .max(1);
    let mut outgoing = Request::new(request.body.clone());
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    let left = HeaderValue::from_str(&left.to_string()).ok()?;
    headers.insert(names.deadline_ms, left);
    let target = HeaderValue::from_str(&forward.upstream.name.0).ok()?;
    headers.insert(names.target_upstream, target);
    apply_sender(&mut headers, names, &forward.sender)?;
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

fn classify_answer(
    shared: &Shared,
    forward: &Forward,
    request: &ClientRequest,
    progress: &CallProgress,
    answer: Answer,
) -> AttemptResult {
    let names = shared.dialect.headers();
    let headers = &answer.head.headers;
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = text(names.request_id);
    let named = NamedRequest::of(id, &request.id);
    let is_foreign = named == NamedRequest::Other;
    let status = answer.head.status;
    let not_executed = headers.contains_key(names.not_executed);
    let announced = header_values(headers, names.rate_limit);
    let rate = (!is_foreign).then(|| shared.dialect.decode_rate(&announced));
    let is_leaving = !is_foreign && announces_leaving(shared, forward, headers);
    let backoff = requested_backoff(shared, forward, &answer).filter(|_| !is_foreign);
    if !is_foreign && (not_executed || status == StatusCode::MISDIRECTED_REQUEST) {
        let answering = text(names.answering_upstream);
        let replaced = answering.is_some_and(|name| name != forward.upstream.name.0);
        let rejection = match status {
            StatusCode::MISDIRECTED_REQUEST => Rejection::Misdirected,
            _ => Rejection::Full,
        };
        let outcome = progress.sending().rejected(rejection, named);
        if matches!(outcome, AttemptOutcome::Unknown(_)) {
            // Its connection may be out of step and is closed; other ones are not.
            return AttemptResult {
                is_leaving: is_leaving && !replaced,
                backoff: backoff.filter(|_| !replaced),
                ..AttemptResult::failed(outcome)
            };
        }
        let digest = RequestDigest::of(&request.id);
        shared.connections.put_back_rejected(answer, digest);
        return AttemptResult {
            outcome,
            response: None,
            replaced,
            // The announcements are those of another upstream.
            rate: rate.filter(|_| !replaced),
            is_leaving: is_leaving && !replaced,
            backoff: backoff.filter(|_| !replaced),
        };
    }
    let unsigned = status.is_success() && text(names.signature).is_none();
    if is_foreign || id.is_none() || unsigned {
        shared.connections.disable_reuse(forward.address);
        return AttemptResult::failed(AttemptOutcome::Unknown(UnknownCause::WrongAnswer));
    }
    // To the client these would guarantee that the request has not run.
    let not_run_statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if not_run_statuses.contains(&status) {
        shared.connections.put_back(answer);
        return AttemptResult {
            is_leaving,
            backoff,
            ..AttemptResult::failed(AttemptOutcome::Unknown(UnknownCause::BrokenOff))
        };
    }
    let mut headers = headers.clone();
    strip_connection_headers(&mut headers);
    let mut response = Response::new(answer.body.clone());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    shared.connections.put_back(answer);
    AttemptResult {
        outcome: AttemptOutcome::Answered {
            success: status.is_success(),
        },
        response: Some(response),
        replaced: false,
        rate,
        is_leaving,
        backoff: None,
    }
}

fn header_values<'a>(headers: &'a HeaderMap, name: &str) -> Vec<&'a [u8]> {
    let all = headers.get_all(name).iter();
    all.map(HeaderValue::as_bytes).collect()
}

fn announces_leaving(shared: &Shared, forward: &Forward, headers: &HeaderMap) -> bool {
    let names = shared.dialect.headers();
    match shared
        .dialect
        .decode_leaving(&header_values(headers, names.leaving))
    {
        LeavingStatus::Leaving => true,
        LeavingStatus::NotLeaving => false,
        LeavingStatus::Unreadable => {
            shared
                .observer
                .header_unreadable(&forward.upstream, "leaving");
            false
        }
    }
}

/// The backoff requested by a response that rejects a request.
fn requested_backoff(shared: &Shared, forward: &Forward, answer: &Answer) -> Option<Duration> {
    let rejections = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if !rejections.contains(&answer.head.status) {
        return None;
    }
    let names = shared.dialect.headers();
    let values = header_values(&answer.head.headers, names.retry_after);
    match shared.dialect.decode_retry_after(&values) {
        RetryAfter::Delay(backoff) => Some(backoff),
        RetryAfter::Unspecified => None,
        RetryAfter::Unreadable => {
            shared.observer.header_unreadable(&forward.upstream, "rest");
            None
        }
    }
}
