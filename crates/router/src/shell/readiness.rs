//! Tells whoever asks whether the node is ready for clients, and its figures.

use crate::shell::answer::own;
use crate::shell::handle::{AnswerBody, Shared};
use crate::shell::small_server;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Serves the readiness address.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    small_server::serve(listener, move || readiness(shared.clone())).await;
}

async fn readiness(shared: Rc<Shared>) -> Response<AnswerBody> {
    let ready = shared.ready.get() && !shared.stopping.get();
    own(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Serves the metrics address.
pub(crate) async fn serve_metrics(shared: Rc<Shared>, listener: TcpListener) {
    small_server::serve(listener, move || figures(shared.clone())).await;
}

async fn figures(shared: Rc<Shared>) -> Response<AnswerBody> {
    let (sender, receiver) = oneshot::channel();
    let observed = shared.clone();
    shared.inspect(move |core| {
        observed.observer.metrics.observe(observed.now(), core);
        // Whoever asked may have left.
        let _ = sender.send(());
    });
    if receiver.await.is_err() {
        return own(StatusCode::SERVICE_UNAVAILABLE);
    }
    let text = shared.observer.metrics.text();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    response.headers_mut().insert(CONTENT_TYPE, TEXT);
    response
}
