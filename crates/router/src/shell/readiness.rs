//! Readiness and metrics endpoints.

use crate::shell::answer::empty_response;
use crate::shell::handle::{ResponseBody, Shared};
use crate::shell::single_endpoint;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Serves the readiness endpoint.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    single_endpoint::serve(listener, move || readiness_response(shared.clone())).await;
}

async fn readiness_response(shared: Rc<Shared>) -> Response<ResponseBody> {
    let ready = shared.ready.get() && !shared.stopping.get() && !shared.isolated.get();
    empty_response(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Serves the metrics endpoint.
pub(crate) async fn serve_metrics(shared: Rc<Shared>, listener: TcpListener) {
    single_endpoint::serve(listener, move || metrics_response(shared.clone())).await;
}

async fn metrics_response(shared: Rc<Shared>) -> Response<ResponseBody> {
    let (sender, receiver) = oneshot::channel();
    let gauge_shared = shared.clone();
    shared.inspect(move |core| {
        gauge_shared
            .observer
            .metrics
            .update_gauges(gauge_shared.now(), core);
        // The client may have disconnected.
        let _ = sender.send(());
    });
    if receiver.await.is_err() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    shared.observer.metrics.observe_account(&shared.account);
    let text = shared.observer.metrics.encode_text();
    let mut response = Response::new(ResponseBody::from(Bytes::from(text)));
    response.headers_mut().insert(CONTENT_TYPE, TEXT);
    response
}
