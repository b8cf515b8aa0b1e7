//! Answers whoever asks whether the node is ready for clients.

use crate::shell::answer::own;
use crate::shell::handle::{AnswerBody, Shared};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long a connection may rest.
const REST: Duration = Duration::from_secs(10);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the readiness address.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = shared.clone();
        let service = service_fn(move |_: Request<Incoming>| answer(shared.clone()));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(REST)
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // Whoever asked and left needs no answer.
            let _ = connection.await;
        });
    }
}

async fn answer(shared: Rc<Shared>) -> Result<Response<AnswerBody>, Infallible> {
    let ready = shared.ready.get() && !shared.stopping.get();
    Ok(own(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }))
}
