//! HTTP server for trusted clients, based on `tiny_http`: beamtray's own processes,
//! operators and stand-ins.

use crate::framing::check_framing;
use crate::message::{HttpRequest, HttpResponse};
use crate::responder::Responder;
use beamtray_types::StepError;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use tiny_http::{Method, Request, Server};

/// Configuration of an [`HttpServer`].
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Address to listen on. Port 0 picks a free port.
    pub address: SocketAddr,
    /// Number of threads that read requests and run the handler.
    pub workers: usize,
    /// Maximum body size, in bytes.
    pub max_body_bytes: usize,
}

/// HTTP server that runs until it is dropped.
pub struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
}

impl HttpServer {
    /// Starts serving; `handler` runs on the worker threads.
    ///
    /// # Errors
    /// [`StepError`] if listening on the address fails.
    pub fn start(
        config: ServerConfig,
        handler: impl Fn(HttpRequest, Responder) + Send + Sync + 'static,
    ) -> Result<Self, StepError> {
        let failed = |cause: String| StepError::new("listen", config.address, cause);
        let server = Server::http(config.address).map_err(|error| failed(error.to_string()))?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| failed("no IP address".to_owned()))?;
        let server = Arc::new(server);
        let handler = Arc::new(handler);
        for _ in 0..config.workers {
            let server = Arc::clone(&server);
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    handle_request(request, config.max_body_bytes, handler.as_ref());
                }
            });
        }
        Ok(Self { server, address })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

/// Reads a complete request and passes it to the handler, or rejects it.
fn handle_request(mut request: Request, max_body: usize, handler: &dyn Fn(HttpRequest, Responder)) {
    let read = read_request(&mut request, max_body);
    let responder = Responder::for_tiny_http(request);
    match read {
        Ok(read) => handler(read, responder),
        Err((status, reason)) => {
            let refusal = HttpResponse::text(status, format!("not-run: {reason}\n"));
            responder.respond(refusal.with_header("connection", "close"));
        }
    }
}

fn read_request(
    request: &mut Request,
    max_body: usize,
) -> Result<HttpRequest, (u16, &'static str)> {
    let headers: Vec<(String, String)> = request
        .headers()
        .iter()
        .map(|header| {
            let name = header.field.as_str().as_str().to_ascii_lowercase();
            (name, header.value.as_str().to_owned())
        })
        .collect();
    check_framing(&headers, max_body)?;
    let method = match request.method() {
        Method::NonStandard(_) => return Err((501, "unknown method")),
        method => method.to_string(),
    };
    let url = request.url();
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    if !path.starts_with('/') {
        return Err((400, "the target is not a path"));
    }
    let (path, query) = (path.to_owned(), query.to_owned());
    let mut body = Vec::new();
    let limit = max_body as u64 + 1;
    let read = request.as_reader().take(limit).read_to_end(&mut body);
    if read.is_err() {
        return Err((400, "the body could not be read whole"));
    }
    if body.len() > max_body {
        return Err((413, "the body is too long"));
    }
    let declared = headers.iter().find(|(name, _)| name == "content-length");
    let expected = declared.and_then(|(_, value)| value.trim().parse::<usize>().ok());
    if expected.is_some_and(|expected| expected != body.len()) {
        return Err((400, "the body is shorter than its declared length"));
    }
    Ok(HttpRequest {
        method,
        path,
        query,
        headers,
        body,
    })
}
