//! Answers of the router's own, and which headers go through.

use crate::shell::handle::ResponseBody;
use beamtray_dispatch::{Admission, Conclusion, UnknownCause};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// When a client may come back that met a node without a configuration.
const START_RETRY_AFTER: Duration = Duration::from_millis(300);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes what pertains to a single connection.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
}

/// An answer of the router's own.
pub(crate) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A promise that the request has not run and never will.
pub(crate) fn refusal_response(retry_after: Duration) -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The answer to a request that is not admitted.
pub(crate) fn denial_response(admission: Admission) -> Response<ResponseBody> {
    match admission {
        Admission::NoConfiguration | Admission::Overloaded => refusal_response(START_RETRY_AFTER),
        Admission::NoRoute => empty_response(StatusCode::NOT_FOUND),
        Admission::NoKey => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// The final answer to a request that no upstream answered.
pub(crate) fn conclusion_response(conclusion: Conclusion) -> Response<ResponseBody> {
    match conclusion {
        Conclusion::Refused { retry_after, .. } => refusal_response(retry_after),
        Conclusion::Unknown(UnknownCause::TimedOut) => empty_response(StatusCode::GATEWAY_TIMEOUT),
        Conclusion::Unknown(_) => empty_response(StatusCode::BAD_GATEWAY),
    }
}
