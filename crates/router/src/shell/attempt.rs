//! One attempt at an upstream.

use crate::core::Input;
use crate::shell::answer::strip_connection_headers;
use crate::shell::connections::{Answer, CallFailure, CallProgress};
use crate::shell::handle::{AnswerBody, Shared, Step};
use beamtray_catalog::{AdvertisedRate, LeavingStatus, RetryAfter};
use beamtray_dispatch::{AttemptOutcome, Fingerprints, Forward, Ticket, UnknownCause, Untouched};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;

/// Kept back from the time that an upstream is given, so that its own answer
/// at its deadline still arrives.
const UPSTREAM_MARGIN: Duration = Duration::from_millis(5);

/// A client's request as it is sent on.
pub(crate) struct ClientRequest {
    pub id: String,
    pub fingerprints: Fingerprints,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// What came of an attempt.
struct Result {
    outcome: AttemptOutcome,
    response: Option<Response<AnswerBody>>,
    /// Set when an upstream of another name answered at the upstream's address.
    replaced: bool,
    /// What the upstream's answer said of the rate that it takes.
    rate: Option<AdvertisedRate>,
    /// Whether the upstream's answer said that it leaves.
    leaves: bool,
    /// How long it asked this node for rest.
    rest: Option<Duration>,
}

impl Result {
    fn failed(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            response: None,
            replaced: false,
            rate: None,
            leaves: false,
            rest: None,
        }
    }
}

/// Makes an attempt, tells the core how it ended and the request's task what
/// came.
pub(crate) async fn attempt(
    shared: Rc<Shared>,
    ticket: Ticket,
    forward: Forward,
    request: Rc<ClientRequest>,
) {
    let sent = shared.now();
    let left = forward.deadline.since(sent);
    shared.observer.sent(&request.id, &forward, left);
    let progress = if forward.route.repeatable {
        CallProgress::repeatable()
    } else {
        CallProgress::unrepeatable()
    };
    let progress = progress.before(shared.clock.clone(), forward.deadline);
    let exchange = exchange(&shared, &forward, &request, &progress);
    let result = match shared.until(forward.deadline, exchange).await {
        Some(result) => result,
        None if progress.may_be_written() => {
            // It may be the connection that is silent, not the upstream; then the others
            // from that time are, too, and each would cost a request of its own.
            if progress.was_rested() {
                shared.connections.forget(forward.address);
            }
            Result::failed(AttemptOutcome::Unknown(UnknownCause::TimedOut))
        }
        None => Result::failed(AttemptOutcome::Untouched(Untouched::Unconnected)),
    };
    let took = shared.now().since(sent);
    shared
        .observer
        .ended(&request, &forward, result.outcome, took);
    if result.replaced {
        shared.input(Input::Replaced {
            upstream: forward.upstream.clone(),
        });
    }
    if result.leaves {
        shared.input(Input::Leaves {
            upstream: forward.upstream.clone(),
        });
    }
    if let Some(rest) = result.rest {
        shared.observer.rest_asked(&forward.upstream, rest);
        shared.input(Input::Rests {
            upstream: forward.upstream.clone(),
            rest,
        });
    }
    if let Some(response) = result.response {
        let age = forward.waited + took;
        shared.observer.answered(&forward.route.name, age);
        shared.step(ticket, Step::Answer(Box::new(response)));
    }
    shared.input(Input::Ended {
        ticket,
        outcome: result.outcome,
        rate: result.rate,
    });
}

async fn exchange(
    shared: &Shared,
    forward: &Forward,
    request: &ClientRequest,
    progress: &CallProgress,
) -> Result {
    let Some(outgoing) = outgoing(shared, forward, request) else {
        return Result::failed(AttemptOutcome::Untouched(Untouched::Unsent));
    };
    let call = shared.connections.call(forward.address, outgoing, progress);
    match call.await {
        Ok(answer) => judge(shared, forward, request, answer),
        Err(failure) => Result::failed(match failure {
            CallFailure::BrokenOff | CallFailure::Unacknowledged => {
                // Others to the same upstream may have ended with it.
                shared.connections.forget(forward.address);
                AttemptOutcome::Unknown(UnknownCause::BrokenOff)
            }
            CallFailure::Unconnected => AttemptOutcome::Untouched(Untouched::Unconnected),
            CallFailure::Refused => AttemptOutcome::Untouched(Untouched::ConnectionRefused),
            CallFailure::Unsent => AttemptOutcome::Untouched(Untouched::Unsent),
        }),
    }
}

fn outgoing(
    shared: &Shared,
    forward: &Forward,
    request: &ClientRequest,
) -> Option<Request<Full<Bytes>>> {
    let names = shared.dialect.headers();
    let left = forward.deadline.since(shared.now());
    let left = left.saturating_sub(UPSTREAM_MARGIN).as_millis().max(1);
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    let left = HeaderValue::from_str(&left.to_string()).ok()?;
    headers.insert(names.deadline_ms, left);
    let target = HeaderValue::from_str(&forward.upstream.name.0).ok()?;
    headers.insert(names.target_upstream, target);
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

fn judge(shared: &Shared, forward: &Forward, request: &ClientRequest, answer: Answer) -> Result {
    let names = shared.dialect.headers();
    let headers = &answer.head.headers;
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = text(names.request_id);
    let foreign = id.is_some_and(|id| id != request.id);
    let status = answer.head.status;
    let not_executed = headers.contains_key(names.not_executed);
    let named = values(headers, names.rate_limit);
    let rate = (!foreign).then(|| shared.dialect.decode_rate(&named));
    let leaves = !foreign && leaves(shared, forward, headers);
    let rest = rest(shared, forward, &answer).filter(|_| !foreign);
    if !foreign && (not_executed || status == StatusCode::MISDIRECTED_REQUEST) {
        let answering = text(names.answering_upstream);
        let replaced = answering.is_some_and(|name| name != forward.upstream.name.0);
        let proof = match status {
            StatusCode::MISDIRECTED_REQUEST => Untouched::Misdirected,
            _ => Untouched::Full,
        };
        shared.connections.keep(answer);
        return Result {
            outcome: AttemptOutcome::Untouched(proof),
            response: None,
            replaced,
            // Another upstream speaks of itself.
            rate: rate.filter(|_| !replaced),
            leaves: leaves && !replaced,
            rest: rest.filter(|_| !replaced),
        };
    }
    let unsigned = status.is_success() && text(names.signature).is_none();
    if foreign || id.is_none() || unsigned {
        shared.connections.distrust(forward.address);
        return Result::failed(AttemptOutcome::Unknown(UnknownCause::WrongAnswer));
    }
    // These would promise that the request has not run.
    let promises = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if promises.contains(&status) {
        shared.connections.keep(answer);
        return Result {
            leaves,
            rest,
            ..Result::failed(AttemptOutcome::Unknown(UnknownCause::BrokenOff))
        };
    }
    let mut headers = headers.clone();
    strip_connection_headers(&mut headers);
    let mut response = Response::new(Full::new(answer.body.clone()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    shared.connections.keep(answer);
    Result {
        outcome: AttemptOutcome::Answered {
            success: status.is_success(),
        },
        response: Some(response),
        replaced: false,
        rate,
        leaves,
        rest: None,
    }
}

fn values<'a>(headers: &'a HeaderMap, name: &str) -> Vec<&'a [u8]> {
    let all = headers.get_all(name).iter();
    all.map(HeaderValue::as_bytes).collect()
}

fn leaves(shared: &Shared, forward: &Forward, headers: &HeaderMap) -> bool {
    let names = shared.dialect.headers();
    match shared
        .dialect
        .decode_leaving(&values(headers, names.leaving))
    {
        LeavingStatus::Leaving => true,
        LeavingStatus::NotLeaving => false,
        LeavingStatus::Unreadable => {
            shared
                .observer
                .word_unreadable(&forward.upstream, "leaving");
            false
        }
    }
}

/// The rest that an answer asks for which turns a request away.
fn rest(shared: &Shared, forward: &Forward, answer: &Answer) -> Option<Duration> {
    let turned_away = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if !turned_away.contains(&answer.head.status) {
        return None;
    }
    let names = shared.dialect.headers();
    let values = values(&answer.head.headers, names.retry_after);
    match shared.dialect.decode_retry_after(&values) {
        RetryAfter::Delay(rest) => Some(rest),
        RetryAfter::Unspecified => None,
        RetryAfter::Unreadable => {
            shared.observer.word_unreadable(&forward.upstream, "rest");
            None
        }
    }
}
