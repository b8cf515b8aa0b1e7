//! Connections and requests of clients.

use crate::core::Input;
use crate::shell::answer::{conclusion, denial, own, refusal, strip_connection_headers};
use crate::shell::attempt::{ClientRequest, attempt};
use crate::shell::connections::prepare;
use crate::shell::handle::{AnswerBody, Shared, Step};
use beamtray_dispatch::{Fingerprints, RequestContent, RequestHead, Ticket};
use beamtray_sharding::ShardKey;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Pause after an accept that failed, so that a lack of descriptors does not
/// spin the loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back if the core was lost.
const INTERNAL_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Least buffer for a request's head.
const LEAST_HEAD_BYTES: usize = 8 * 1024;

/// Accepts clients until the process stops.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let connection = serve_connection(shared.clone(), stream, caller.ip());
                tokio::task::spawn_local(connection);
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, caller: IpAddr) {
    prepare(&stream);
    let limits = shared.limits.get();
    let for_requests = shared.clone();
    let service = service_fn(move |request| serve(for_requests.clone(), request, caller));
    // The time for a head also bounds the rest between requests, so it must
    // not be shorter than that.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let stop = shared.stop.notified();
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop => connection.as_mut().graceful_shutdown(),
    }
    // A client that left needs no word.
    let _ = connection.await;
}

async fn serve(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<Response<AnswerBody>, Infallible> {
    let mut response = match receive(&shared, request, caller).await {
        Ok(request) => decide(&shared, request).await,
        Err(status) => own(status),
    };
    if shared.stopping.get() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Reads a whole request.
async fn receive(
    shared: &Shared,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<(RequestHead, ClientRequest), StatusCode> {
    let (parts, body) = request.into_parts();
    let longest = shared.limits.get().max_body_bytes;
    let body = match timeout(BODY_TIMEOUT, Limited::new(body, longest).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Ok(Err(_)) => return Err(StatusCode::BAD_REQUEST),
        Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    let mut head = head(shared, &parts.headers, &parts.uri)?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let content = RequestContent {
        method: parts.method.as_str(),
        host: &head.host,
        target: path,
        key: head.key,
        body: &body,
    };
    head.fingerprints = Fingerprints::of(&content, caller);
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    headers.remove(EXPECT);
    let request = ClientRequest {
        id: head.id.clone(),
        fingerprints: head.fingerprints,
        method: parts.method,
        uri: path.parse().map_err(|_| StatusCode::BAD_REQUEST)?,
        headers,
        body,
    };
    Ok((head, request))
}

fn head(shared: &Shared, headers: &HeaderMap, uri: &hyper::Uri) -> Result<RequestHead, StatusCode> {
    let names = shared.dialect.headers();
    let text = |name: &str| {
        let value = headers.get(name)?;
        value.to_str().ok().map(str::trim)
    };
    let host = text(HOST.as_str()).or_else(|| uri.authority().map(|host| host.as_str()));
    let key = match text(names.shard_key) {
        Some(text) => Some(ShardKey(text.parse().map_err(|_| StatusCode::BAD_REQUEST)?)),
        None => None,
    };
    let client_timeout = text(names.deadline_ms)
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|millis| *millis >= 0.0)
        .map(|millis| Duration::from_secs_f64(millis.min(1e9) / 1_000.0));
    Ok(RequestHead {
        id: text(names.request_id).unwrap_or_default().to_owned(),
        host: host.unwrap_or_default().to_owned(),
        path: uri.path().to_owned(),
        client_timeout,
        key,
        // Known once the body is.
        fingerprints: Fingerprints::default(),
    })
}

/// Follows a request's client: when it leaves, the core is told.
struct Follower {
    shared: Rc<Shared>,
    ticket: Ticket,
    id: String,
    attempt: Option<AbortHandle>,
    repeatable: bool,
    concluded: bool,
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.shared.clients.borrow_mut().remove(&self.ticket);
        if self.concluded {
            return;
        }
        let under_way = self.attempt.is_some();
        self.shared.observer.cancelled(&self.id, under_way);
        // Work that may not be repeated runs to its end: the client may look
        // for its effect. The core forgets the request when that ends.
        if self.attempt.is_some() && !self.repeatable {
            return;
        }
        if let Some(attempt) = &self.attempt {
            attempt.abort();
        }
        let ticket = self.ticket;
        self.shared.input(Input::Cancelled { ticket });
    }
}

/// Lets the core decide about a request until it has its final answer.
async fn decide(
    shared: &Rc<Shared>,
    (head, request): (RequestHead, ClientRequest),
) -> Response<AnswerBody> {
    let ticket = shared.ticket();
    let (sender, steps) = unbounded_channel();
    shared.clients.borrow_mut().insert(ticket, sender);
    let follower = Follower {
        shared: shared.clone(),
        ticket,
        id: head.id.clone(),
        attempt: None,
        repeatable: true,
        concluded: false,
    };
    shared.input(Input::Request { ticket, head });
    follow(follower, Rc::new(request), steps).await
}

async fn follow(
    mut follower: Follower,
    request: Rc<ClientRequest>,
    mut steps: UnboundedReceiver<Step>,
) -> Response<AnswerBody> {
    let shared = follower.shared.clone();
    while let Some(step) = steps.recv().await {
        let response = match step {
            Step::Forward(forward) => {
                follower.repeatable = forward.route.repeatable;
                let work = attempt(shared.clone(), follower.ticket, forward, request.clone());
                follower.attempt = Some(tokio::task::spawn_local(work).abort_handle());
                continue;
            }
            Step::Deny(admission) => {
                shared.observer.denied(&request.id, admission);
                denial(admission)
            }
            Step::Conclude(ending) => {
                let fingerprints = request.fingerprints;
                shared
                    .observer
                    .concluded(&request.id, fingerprints, &ending);
                conclusion(ending.conclusion)
            }
            Step::Answer(response) => *response,
        };
        follower.concluded = true;
        return response;
    }
    follower.concluded = true;
    refusal(INTERNAL_RETRY_AFTER)
}
