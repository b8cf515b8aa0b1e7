//! Operator client: sends one request to a node's operator address.

use beamtray_control::{OperatorAnswer, OperatorRequest};
use beamtray_http::{ClientConfig, HttpCall, HttpClient, HttpReply};
use beamtray_types::StepError;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(12);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// A client that keeps one connection per address.
pub fn http_client() -> HttpClient {
    HttpClient::new(ClientConfig {
        idle_connections: 1,
        max_body_bytes: MAX_ANSWER_BYTES,
        connect_timeout: CONNECT_TIMEOUT,
    })
}

/// Sends an operator request to a node and returns its answer.
///
/// # Errors
/// [`StepError`] if no answer was received; a confirmation may still have taken effect.
pub fn send_operator_request(
    address: SocketAddr,
    request: &OperatorRequest,
) -> Result<OperatorAnswer, StepError> {
    let failed = |cause: String| StepError::new("ask the operator address", address, cause);
    let body = serde_json::to_vec(request).map_err(|error| failed(error.to_string()))?;
    let url = format!("http://{address}/v1/operator");
    let call = HttpCall {
        method: "POST",
        url: &url,
        headers: &[],
        body: &body,
        timeout: TIMEOUT,
        fresh_connection: true,
    };
    let reply = http_client()
        .call(&call)
        .map_err(|error| failed(error.to_string()))?;
    serde_json::from_slice(&reply.body).map_err(|error| failed(error.to_string()))
}

/// Sends a GET request for `path` to a node.
///
/// # Errors
/// [`StepError`] if no response was received.
pub fn get(address: SocketAddr, path: &str) -> Result<HttpReply, StepError> {
    let url = format!("http://{address}{path}");
    let call = HttpCall {
        method: "GET",
        url: &url,
        headers: &[],
        body: &[],
        timeout: TIMEOUT,
        fresh_connection: true,
    };
    http_client()
        .call(&call)
        .map_err(|error| StepError::new("read a page", address, error))
}
