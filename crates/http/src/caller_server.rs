//! Serving callers, who may be slow, hostile or many, with `hyper`.
//!
//! One thread of its own carries all connections; nothing is decided there.
//! Bounds: connections, the size of a request's head and body, and the time
//! that a caller takes to send either. `tiny_http` has none of them, keeps a
//! thread a connection, and under load a request sometimes took over 5 s; it
//! stays where only our own processes call.

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

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 128;
/// After an error of accepting, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// At a stop, connections are accepted until none comes for this long, ...
const LAST_ACCEPT: Duration = Duration::from_millis(2);
/// ... and at most for this long.
const LAST_ACCEPTS: Duration = Duration::from_millis(200);
/// At a stop, connections are read for this long before idle ones are closed.
const STOP_GRACE: Duration = Duration::from_millis(200);
/// Longest time for connections to end at a stop.
const STOP_PATIENCE: Duration = Duration::from_secs(2);

/// How callers are served.
#[derive(Clone, Copy, Debug)]
pub struct CallerServerConfig {
    /// Address to listen on. Port 0 picks one.
    pub address: SocketAddr,
    /// Connections served at once; others wait to be accepted.
    pub max_connections: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive, idle time before it included.
    pub head_timeout: Duration,
    /// Longest time for a body to arrive.
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
    /// [`StepError`] when the address cannot be listened on.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts nothing more and waits, within bounds, until what is answered
    /// is written.
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
    let serve_last = |stream, permit| {
        let connection = serve_connection(stream, config, handler.clone(), None);
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    };
    // Whoever connected before the end is answered, not reset.
    let last = Instant::now() + LAST_ACCEPTS;
    while let Ok(Ok((stream, _))) = timeout(LAST_ACCEPT, listener.accept()).await {
        if Instant::now() > last {
            break;
        }
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            break;
        };
        serve_last(stream, permit);
    }
    // What came while this thread did not run is answered, too: closing the listener resets
    // it, and its caller would not know that it did not run. A connection that comes up
    // between the last look and the close is still reset.
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, _)) = listener.accept() {
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                break;
            };
            let (Ok(()), Ok(stream)) = (stream.set_nonblocking(true), TcpStream::from_std(stream))
            else {
                break;
            };
            serve_last(stream, permit);
        }
    }
    let all = u32::try_from(config.max_connections).unwrap_or(u32::MAX);
    let _ = timeout(STOP_PATIENCE, permits.acquire_many(all)).await;
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
    // One that came at the end gets one answer and is closed.
    let Some(mut stopped) = stopped else {
        let _ = connection.await;
        return;
    };
    // An error is the caller's going, or a head that was refused: either way
    // the connection is over.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.changed() => {}
    }
    // A request may be on its way: closing now would leave its caller without
    // knowing that it did not run.
    if timeout(STOP_GRACE, connection.as_mut()).await.is_err() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn answer(
    request: Request<Incoming>,
    config: CallerServerConfig,
    handler: Arc<Handler>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let request = match read(request, config).await {
        Ok(request) => request,
        Err((status, reason)) => {
            let refusal = HttpResponse::text(status, format!("not-run: {reason}\n"));
            return Ok(to_hyper(refusal.with_header("connection", "close")));
        }
    };
    let (sender, receiver) = oneshot::channel();
    handler(request, Responder::for_caller(sender));
    let response = receiver.await.unwrap_or_else(|_| {
        // The loop ended without an answer: nobody knows what became of it.
        HttpResponse::text(503, "unknown: this node has stopped\n")
            .with_header("beamtray-outcome", "unknown")
    });
    Ok(to_hyper(response))
}

async fn read(
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
    // A header that an upstream sent and HTTP does not allow.
    builder.body(body).unwrap_or_else(|_| {
        let mut plain = Response::new(Full::new(Bytes::from_static(
            b"unknown: the answer's headers are not valid\n",
        )));
        *plain.status_mut() = hyper::StatusCode::BAD_GATEWAY;
        plain
    })
}
