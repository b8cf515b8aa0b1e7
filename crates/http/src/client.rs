//! HTTP client based on `ureq`.

use std::time::Duration;
use ureq::{Agent, Error, Timeout};

/// Configuration of an [`HttpClient`].
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Maximum number of idle connections per address.
    pub idle_connections: usize,
    /// Maximum size of a response body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpReply {
    /// Status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpReply {
    /// Returns the first header named `name` (lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Reason why a call got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established, so nothing was sent.
    NotConnected(String),
    /// The request may have been received.
    Lost(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::NotConnected(cause) => write!(formatter, "not connected: {cause}"),
            CallError::Lost(cause) => write!(formatter, "no whole answer: {cause}"),
        }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: &'a str,
    /// URL with path and query.
    pub url: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, String)],
    /// Body.
    pub body: &'a [u8],
    /// Timeout for the whole exchange.
    pub timeout: Duration,
    /// Use a new connection. If the peer closes a reused one at the same time,
    /// it is unknown whether the request arrived.
    pub fresh_connection: bool,
}

/// HTTP client. Follows no redirects and does not retry.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Agent,
    fresh: Agent,
    max_body_bytes: u64,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(config: ClientConfig) -> Self {
        let agent = |idle: usize| -> Agent {
            Agent::config_builder()
                .http_status_as_error(false)
                .max_redirects(0)
                .max_redirects_will_error(false)
                .max_idle_connections(idle * 256)
                .max_idle_connections_per_host(idle)
                .timeout_connect(Some(config.connect_timeout))
                .no_delay(true)
                .proxy(None)
                .build()
                .into()
        };
        Self {
            pooled: agent(config.idle_connections),
            fresh: agent(0),
            max_body_bytes: config.max_body_bytes,
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// [`CallError`], which tells whether the request may have been received.
    pub fn call(&self, call: &HttpCall) -> Result<HttpReply, CallError> {
        let agent = if call.fresh_connection {
            &self.fresh
        } else {
            &self.pooled
        };
        let mut builder = ureq::http::Request::builder()
            .method(call.method)
            .uri(call.url);
        for (name, value) in call.headers {
            builder = builder.header(*name, value);
        }
        let request = builder
            .body(call.body)
            .map_err(|error| CallError::NotConnected(error.to_string()))?;
        let request = agent
            .configure_request(request)
            .timeout_global(Some(call.timeout))
            .allow_non_standard_methods(true)
            .build();
        let mut response = agent.run(request).map_err(classify)?;
        let headers = response
            .headers()
            .iter()
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.as_str().to_owned(), value)
            })
            .collect();
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(self.max_body_bytes)
            .read_to_vec()
            .map_err(|error| CallError::Lost(error.to_string()))?;
        Ok(HttpReply {
            status,
            headers,
            body,
        })
    }
}

fn classify(error: Error) -> CallError {
    let cause = error.to_string();
    let not_connected = match &error {
        Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        Error::ConnectionFailed | Error::HostNotFound | Error::BadUri(_) | Error::Http(_) => true,
        _ => false,
    };
    if not_connected {
        CallError::NotConnected(cause)
    } else {
        CallError::Lost(cause)
    }
}
