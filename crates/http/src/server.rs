//! Serving with `tiny_http`.

use beamtray_types::StepError;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use tiny_http::{Header, Method, Request, Response, Server};

/// How a server reads requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Address to listen on. Port 0 picks one.
    pub address: SocketAddr,
    /// Threads that read requests and run the handler.
    pub workers: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
}

/// A request with its whole body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Query without the question mark; empty when there is none.
    pub query: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// The first header called `name` (lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The value of a query parameter.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }
}

/// A response with its whole body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status.
    pub status: u16,
    /// Headers besides the length.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// A response with a text body.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into().into_bytes(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

/// Answers one request, from any thread. Writing may block on a slow caller.
pub struct Responder {
    request: Request,
}

impl Responder {
    /// Writes the response. A caller that is gone is noticed only here.
    pub fn respond(self, response: HttpResponse) -> bool {
        let headers = response
            .headers
            .iter()
            .filter_map(|(name, value)| Header::from_bytes(name.as_bytes(), value.as_bytes()).ok())
            .collect();
        let length = response.body.len();
        let body = std::io::Cursor::new(response.body);
        let response = Response::new(response.status.into(), headers, body, Some(length), None);
        self.request.respond(response).is_ok()
    }
}

/// A server that runs until it is dropped.
pub struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
}

impl HttpServer {
    /// Starts serving; `handler` runs on the worker threads.
    ///
    /// # Errors
    /// [`StepError`] when the address cannot be listened on.
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
                    accept(request, config.max_body_bytes, handler.as_ref());
                }
            });
        }
        Ok(Self { server, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

/// Reads one request whole, or refuses it.
fn accept(mut request: Request, max_body: usize, handler: &dyn Fn(HttpRequest, Responder)) {
    let read = read_request(&mut request, max_body);
    let responder = Responder { request };
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

/// Refuses what two readers could understand differently (RFC 9112, 6.3).
fn check_framing(headers: &[(String, String)], max_body: usize) -> Result<(), (u16, &'static str)> {
    let all = |wanted: &str| {
        let wanted = wanted.to_owned();
        headers.iter().filter(move |(name, _)| *name == wanted)
    };
    let lengths = all("content-length").count();
    let encodings = all("transfer-encoding").count();
    if lengths > 1 || (lengths > 0 && encodings > 0) || encodings > 1 {
        return Err((400, "ambiguous length of the body"));
    }
    let Some((_, value)) = all("content-length").next() else {
        return Ok(());
    };
    match value.trim().parse::<usize>() {
        Ok(length) if length > max_body => Err((413, "the body is too long")),
        Ok(_) => Ok(()),
        Err(_) => Err((400, "the declared length is not a number")),
    }
}
