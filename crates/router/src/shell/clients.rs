//! Client connections and their requests.

mod body;
mod state;
mod stream;

use crate::core::Input;
use crate::shell::answer::{
    abandoned_response, conclusion_response, denial_response, empty_response, overload_response,
    strip_connection_headers,
};
use crate::shell::attempt::{ClientRequest, attempt};
use crate::shell::connections::configure_socket;
use crate::shell::handle::{RequestAction, ResponseBody, Shared};
use crate::shell::observer::Limit;
use crate::shell::sendings::Sendings;
use beamtray_catalog::{ApiKey, Credential};
use beamtray_dispatch::{Fingerprints, RequestContent, RequestHead, Ticket};
use beamtray_resources::{ConnectionKind, Hold, OpenConnection, Phase, Purpose};
use beamtray_sharding::ShardKey;
use body::{BodyError, read_body};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
pub(crate) use state::ClientRegistry;
use state::{ClientState, RegisteredClient};
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use stream::ClientStream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::AbortHandle;

/// Delay after a failed accept, so that a shortage of file descriptors does not cause a busy
/// loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Memory of a connection beside its buffer.
const CONNECTION_BYTES: usize = 8 * 1024;
/// Smallest buffer for a request head.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts client connections until the task is aborted.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let Some(place) = take_place(&shared).await else {
                    shared.observer.limit_reached(Limit::ClientConnections);
                    continue;
                };
                let connection = serve_connection(shared.clone(), stream, place, caller.ip());
                tokio::task::spawn_local(connection);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// What a connection takes of the process.
struct Place {
    _descriptor: OpenConnection,
    _memory: Hold,
    client: RegisteredClient,
}

/// A place for a new connection, that of a stalled one if there is no other.
async fn take_place(shared: &Shared) -> Option<Place> {
    if let Some(place) = take_free_place(shared) {
        return Some(place);
    }
    if !shared.clients_state.close_most_stalled() {
        return None;
    }
    shared.observer.limit_reached(Limit::StalledConnection);
    // The task of the closed connection ends meanwhile.
    tokio::task::yield_now().await;
    take_free_place(shared)
}

fn take_free_place(shared: &Shared) -> Option<Place> {
    let bytes = CONNECTION_BYTES + head_buffer_bytes(shared);
    Some(Place {
        _descriptor: shared.account.open_connection(ConnectionKind::Client)?,
        _memory: shared.account.hold(Purpose::Small, bytes)?,
        client: shared.clients_state.register(),
    })
}

/// Size of the buffer in which a request's head arrives.
fn head_buffer_bytes(shared: &Shared) -> usize {
    shared
        .limits
        .get()
        .max_header_bytes
        .max(MIN_HEAD_BUFFER_BYTES)
}

/// Closes connections whose head takes too long to arrive.
pub(crate) fn close_late_heads(shared: &Shared) {
    let limit = shared.limits.get().header_timeout;
    for _ in 0..shared.clients_state.close_late_heads(limit) {
        shared.observer.limit_reached(Limit::HeadTime);
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, place: Place, caller: IpAddr) {
    configure_socket(&stream);
    let limits = shared.limits.get();
    let state = place.client.state.clone();
    let (request_shared, request_state) = (shared.clone(), state.clone());
    let service = service_fn(move |request| {
        serve(
            request_shared.clone(),
            request_state.clone(),
            request,
            caller,
        )
    });
    // The header timeout also limits the idle time between requests, so it must not be shorter
    // than the idle timeout.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(head_buffer_bytes(&shared))
        .serve_connection(
            TokioIo::new(ClientStream::new(stream, state.clone())),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let shutdown = shared.shutdown.notified();
    // Whether the connection gives way is asked first: a request that begins in the same moment must
    // not be cut.
    tokio::select! {
        biased;
        () = state.close.notified() => return,
        _ = connection.as_mut() => return,
        () = shutdown => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        biased;
        () = state.close.notified() => {}
        // The client may have closed the connection.
        _ = connection => {}
    }
}

async fn serve(
    shared: Rc<Shared>,
    state: Rc<ClientState>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<Response<ResponseBody>, Infallible> {
    let id = request_id(&shared, request.headers());
    state.enter(Phase::Body);
    let mut response = match read_request(&shared, &state, request, caller).await {
        Ok(request) => {
            state.enter(Phase::Serving);
            let response = process_request(&shared, request).await;
            state.enter(Phase::Resting);
            response
        }
        Err(rejection) => {
            state.enter(Phase::Discarding);
            let status = rejection.status();
            shared.observer.request_rejected(&id, status.as_u16());
            rejection_response(&shared, rejection)
        }
    };
    if shared.stopping.get() || shared.isolated.get() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Why a request was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestError {
    /// Its head is malformed.
    Head,
    /// Its body was not read.
    Body(BodyError),
}

impl RequestError {
    fn status(self) -> StatusCode {
        match self {
            Self::Head => StatusCode::BAD_REQUEST,
            Self::Body(error) => error.status(),
        }
    }

    fn limit(self) -> Option<Limit> {
        match self {
            Self::Body(BodyError::TooLarge) => Some(Limit::BodyLength),
            Self::Body(BodyError::NoMemory) => Some(Limit::BodyMemory),
            Self::Body(BodyError::Stalled) => Some(Limit::StalledBody),
            Self::Body(BodyError::Late) => Some(Limit::BodyTime),
            Self::Head | Self::Body(BodyError::Broken) => None,
        }
    }
}

/// The response to a request that was not read to its end. The rest of it is not read, so the
/// connection ends.
fn rejection_response(shared: &Shared, rejection: RequestError) -> Response<ResponseBody> {
    if let Some(limit) = rejection.limit() {
        shared.observer.limit_reached(limit);
    }
    let mut response = match rejection {
        RequestError::Body(BodyError::NoMemory) => overload_response(),
        rejection => empty_response(rejection.status()),
    };
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The id that the client gave a request; empty if it gave none.
fn request_id(shared: &Shared, headers: &HeaderMap) -> String {
    let id = headers.get(shared.dialect.headers().request_id);
    let id = id.and_then(|id| id.to_str().ok());
    id.map(str::trim).unwrap_or_default().to_owned()
}

/// Reads a request with its body.
async fn read_request(
    shared: &Shared,
    state: &ClientState,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<(RequestHead, ClientRequest), RequestError> {
    let (parts, body) = request.into_parts();
    let mut head = parse_head(shared, &parts.headers, &parts.uri)?;
    let uri = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = uri.parse().map_err(|_| RequestError::Head)?;
    let body = read_body(shared, state, body, head.client_timeout).await;
    let body = body.map_err(RequestError::Body)?;
    let segments: Vec<&[u8]> = body.segments().collect();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let content = RequestContent {
        method: parts.method.as_str(),
        host: &head.host,
        target: path,
        key: head.key,
        body: &segments,
    };
    head.fingerprints = Fingerprints::of(&content, caller);
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    headers.remove(EXPECT);
    let request = ClientRequest {
        id: head.id.clone(),
        fingerprints: head.fingerprints,
        key_digest: shared.observer.key_digest(&head.credential),
        method: parts.method,
        uri,
        headers,
        body,
        sendings: Sendings::default(),
    };
    Ok((head, request))
}

fn parse_head(
    shared: &Shared,
    headers: &HeaderMap,
    uri: &hyper::Uri,
) -> Result<RequestHead, RequestError> {
    let names = shared.dialect.headers();
    let text = |name: &str| {
        let value = headers.get(name)?;
        value.to_str().ok().map(str::trim)
    };
    let host = text(HOST.as_str()).or_else(|| uri.authority().map(|host| host.as_str()));
    let key = match text(names.shard_key) {
        Some(text) => Some(ShardKey(text.parse().map_err(|_| RequestError::Head)?)),
        None => None,
    };
    let client_timeout = text(names.deadline_ms)
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|millis| *millis >= 0.0)
        .map(|millis| Duration::from_secs_f64(millis.min(1e9) / 1_000.0));
    Ok(RequestHead {
        id: request_id(shared, headers),
        host: host.unwrap_or_default().to_owned(),
        path: uri.path().to_owned(),
        client_timeout,
        key,
        // Computed once the body has been read.
        fingerprints: Fingerprints::default(),
        credential: credential(headers, names.api_key),
    })
}

/// Reads the API key of a request. Blanks around it do not count, and a header without a value
/// counts as none.
fn credential(headers: &HeaderMap, name: &str) -> Credential {
    let values = headers.get_all(name).iter();
    let mut keys = values.filter_map(|value| ApiKey::new(value.as_bytes().trim_ascii()));
    match (keys.next(), keys.next()) {
        (None, _) => Credential::Missing,
        (Some(key), None) => Credential::Key(key),
        (Some(_), Some(_)) => Credential::Ambiguous,
    }
}

/// Drop guard of a client request; reports to the core if the client disconnects before its
/// response.
struct RequestGuard {
    shared: Rc<Shared>,
    ticket: Ticket,
    id: String,
    attempt: Option<AbortHandle>,
    repeatable: bool,
    finished: bool,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.clients.borrow_mut().remove(&self.ticket);
        if self.finished {
            return;
        }
        let attempt = self.attempt.as_ref();
        let under_way = attempt.is_some_and(|attempt| !attempt.is_finished());
        self.shared
            .observer
            .client_disconnected(&self.id, under_way);
        let ticket = self.ticket;
        // An attempt that must not be repeated runs to completion, because the client may look
        // for its effect.
        if under_way && !self.repeatable {
            self.shared.input(Input::ClientLeft { ticket });
            return;
        }
        if let Some(attempt) = attempt {
            attempt.abort();
        }
        self.shared.input(Input::Cancelled { ticket });
    }
}

/// Passes a request to the core and executes its actions until the final response.
async fn process_request(
    shared: &Rc<Shared>,
    (head, request): (RequestHead, ClientRequest),
) -> Response<ResponseBody> {
    let ticket = shared.new_ticket();
    let (sender, actions) = unbounded_channel();
    shared.clients.borrow_mut().insert(ticket, sender);
    let guard = RequestGuard {
        shared: shared.clone(),
        ticket,
        id: head.id.clone(),
        attempt: None,
        repeatable: true,
        finished: false,
    };
    shared.input(Input::Request { ticket, head });
    run_actions(guard, Rc::new(request), actions).await
}

async fn run_actions(
    mut guard: RequestGuard,
    request: Rc<ClientRequest>,
    mut actions: UnboundedReceiver<RequestAction>,
) -> Response<ResponseBody> {
    let shared = guard.shared.clone();
    while let Some(action) = actions.recv().await {
        let response = match action {
            RequestAction::Forward(forward) => {
                guard.repeatable = forward.route.repeatable;
                let work = attempt(shared.clone(), guard.ticket, *forward, request.clone());
                guard.attempt = Some(tokio::task::spawn_local(work).abort_handle());
                continue;
            }
            RequestAction::Deny(admission) => {
                shared.observer.request_denied(&request, admission);
                denial_response(admission)
            }
            RequestAction::Conclude(ending) => {
                shared.observer.request_concluded(&request, &ending);
                conclusion_response(ending.conclusion)
            }
            RequestAction::Respond(response) => *response,
        };
        guard.finished = true;
        return response;
    }
    guard.finished = true;
    let response = abandoned_response(guard.attempt.is_some());
    let status = response.status().as_u16();
    shared.observer.request_abandoned(&request, status);
    response
}
