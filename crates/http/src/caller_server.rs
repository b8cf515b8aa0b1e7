//! HTTP server for untrusted callers, based on `hyper`.
//!
//! A dedicated thread serves all connections. The server limits the number of
//! connections, the size of a request's head and body, and the time in which a
//! caller must send each of them. `tiny_http` has none of these limits and uses
//! one thread per connection, and under load a request sometimes took over 5 s;
//! it is used only where all clients are beamtray's own processes.

use crate::framing::check_framing;
use crate::message::{HttpRequest, HttpResponse};
use crate::responder::Responder;
use beamtray_types::StepError;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::timeout;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of request headers.
const MAX_HEADERS: usize = 128;
/// Delay after a failed accept, for example with too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// During shutdown, connections are accepted until none arrives for this long.
const SHUTDOWN_ACCEPT_IDLE: Duration = Duration::from_millis(2);
/// Maximum total time in which connections are accepted during shutdown.
const SHUTDOWN_ACCEPT_LIMIT: Duration = Duration::from_millis(200);
/// During shutdown, connections are served for this long before idle ones are closed.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(200);
/// Maximum time to wait for connections to close during shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Configuration of a [`CallerServer`].
#[derive(Clone, Copy, Debug)]
pub struct CallerServerConfig {
    /// Address to listen on. Port 0 picks a free port.
    pub address: SocketAddr,
    /// Maximum number of concurrent connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Maximum body size, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head, including idle time before it.
    pub head_timeout: Duration,
    /// Maximum time to receive a request body.
    pub body_timeout: Duration,
}

type Handler = dyn Fn(HttpRequest, Responder) + Send + Sync;

/// A running server for callers.
pub struct CallerServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl CallerServer {
    /// Starts serving; `handler` runs on the server's thread and must not
    /// block.
    ///
    /// # Errors
    /// [`StepError`] if listening on the address fails.
    pub fn start(
        config: CallerServerConfig,
        handler: impl Fn(HttpRequest, Responder) + Send + Sync + 'static,
    ) -> Result<Self, StepError> {
        let failed = |error: std::io::Error| StepError::new("listen", config.address, error);
        let listener = TcpListener::bind(config.address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(failed)?;
        let (stop, stopped) = watch::channel(false);
        let handler: Arc<Handler> = Arc::new(handler);
        let thread = thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || runtime.block_on(serve(listener, config, handler, stopped)))
            .map_err(failed)?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: stops accepting connections and waits, for a
    /// limited time, until pending responses are written.
    pub fn stop(mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve(
    listener: TcpListener,
    config: CallerServerConfig,
    handler: Arc<Handler>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let permits = Arc::new(Semaphore::new(config.max_connections));
    loop {
        let accepted = async {
            let permit = Arc::clone(&permits).acquire_owned().await.ok()?;
            Some((listener.accept().await, permit))
        };
        let accepted = tokio::select! {
            accepted = accepted => accepted,
            _ = stopped.changed() => None,
        };
        match accepted {
            None => break,
            Some((Ok((stream, _)), permit)) => {
                let stop = Some(stopped.clone());
                let connection = serve_connection(stream, config, handler.clone(), stop);
                tokio::spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Some((Err(_), _)) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    let serve_during_shutdown = |stream, permit| {
        let connection = serve_connection(stream, config, handler.clone(), None);
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    };
    // Connections made before shutdown are answered instead of reset.
    let deadline = Instant::now() + SHUTDOWN_ACCEPT_LIMIT;
    while let Ok(Ok((stream, _))) = timeout(SHUTDOWN_ACCEPT_IDLE, listener.accept()).await {
        if Instant::now() > deadline {
            break;
        }
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            break;
        };
        serve_during_shutdown(stream, permit);
    }
    // Also serve connections that arrived while this thread was not scheduled: closing the
    // listener resets them, and the caller could not tell that its request was not executed.
    // A connection that arrives between the last accept and the close is still reset.
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, _)) = listener.accept() {
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                break;
            };
            let (Ok(()), Ok(stream)) = (stream.set_nonblocking(true), TcpStream::from_std(stream))
            else {
                break;
            };
            serve_during_shutdown(stream, permit);
        }
    }
    let all = u32::try_from(config.max_connections).unwrap_or(u32::MAX);
    let _ = timeout(SHUTDOWN_TIMEOUT, permits.acquire_many(all)).await;
}

async fn serve_connection(
    stream: TcpStream,
    config: CallerServerConfig,
    handler: Arc<Handler>,
    stopped: Option<watch::Receiver<bool>>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(request, config, handler.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(config.head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .keep_alive(stopped.is_some())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection accepted during shutdown gets one response and is closed.
    let Some(mut stopped) = stopped else {
        let _ = connection.await;
        return;
    };
    // An error means that the caller disconnected or that a request head was
    // rejected; in both cases the connection is finished.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.changed() => {}
    }
    // A request may be in transit: if the connection closed now, its caller could
    // not tell that the request was not executed.
    if timeout(SHUTDOWN_GRACE, connection.as_mut()).await.is_err() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn answer(
    request: Request<Incoming>,
    config: CallerServerConfig,
    handler: Arc<Handler>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let request = match read_request(request, config).await {
        Ok(request) => request,
        Err((status, reason)) => {
            let refusal = HttpResponse::text(status, format!("not-run: {reason}\n"));
            return Ok(to_hyper(refusal.with_header("connection", "close")));
        }
    };
    let (sender, receiver) = oneshot::channel();
    handler(request, Responder::for_caller(sender));
    let response = receiver.await.unwrap_or_else(|_| {
        // The handler dropped the responder, so the outcome of the request is unknown.
        HttpResponse::text(503, "unknown: this node has stopped\n")
            .with_header("beamtray-outcome", "unknown")
    });
    Ok(to_hyper(response))
}

async fn read_request(
    request: Request<Incoming>,
    config: CallerServerConfig,
) -> Result<HttpRequest, (u16, &'static str)> {
    let (head, body) = request.into_parts();
    let headers: Vec<(String, String)> = head
        .headers
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect();
    check_framing(&headers, config.max_body_bytes)?;
    let body = Limited::new(body, config.max_body_bytes).collect();
    let body = timeout(config.body_timeout, body)
        .await
        .map_err(|_| (408, "the body took too long"))?
        .map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                (413, "the body is too long")
            } else {
                (400, "the body could not be read whole")
            }
        })?;
    if !head.uri.path().starts_with('/') {
        return Err((400, "the target is not a path"));
    }
    Ok(HttpRequest {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers,
        body: body.to_bytes().to_vec(),
    })
}

fn to_hyper(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(response.status);
    for (name, value) in &response.headers {
        builder = builder.header(name, value);
    }
    let body = Full::new(Bytes::from(response.body));
    // Building fails if an upstream sent a header that is not valid in HTTP.
    builder.body(body).unwrap_or_else(|_| {
        let mut plain = Response::new(Full::new(Bytes::from_static(
            b"unknown: the answer's headers are not valid\n",
        )));
        *plain.status_mut() = hyper::StatusCode::BAD_GATEWAY;
        plain
    })
}
