//! HTTP server with a single endpoint, for health checks and metrics collection.

use crate::shell::handle::ResponseBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers every request with the response of `answer`, whatever its path.
pub(crate) async fn serve<F, A>(listener: TcpListener, answer: F)
where
    F: Fn() -> A + Clone + 'static,
    A: Future<Output = Response<ResponseBody>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let answer = answer.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = answer();
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // The client may have disconnected.
            let _ = connection.await;
        });
    }
}
