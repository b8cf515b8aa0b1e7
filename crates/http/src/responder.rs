//! Handle for responding to a request.

use crate::message::HttpResponse;
use tiny_http::{Header, Request, Response};
use tokio::sync::oneshot;

enum Connection {
    TinyHttp(Box<Request>),
    Caller(oneshot::Sender<HttpResponse>),
}

/// Sends the response to one request; can be used from any thread.
pub struct Responder {
    connection: Connection,
}

impl Responder {
    pub(crate) fn for_tiny_http(request: Request) -> Self {
        Self {
            connection: Connection::TinyHttp(Box::new(request)),
        }
    }

    pub(crate) fn for_caller(sender: oneshot::Sender<HttpResponse>) -> Self {
        Self {
            connection: Connection::Caller(sender),
        }
    }

    /// Returns whether the caller is known to have disconnected. With `tiny_http`
    /// this is only detected when the response is written.
    pub fn is_disconnected(&self) -> bool {
        match &self.connection {
            Connection::TinyHttp(_) => false,
            Connection::Caller(sender) => sender.is_closed(),
        }
    }

    /// Returns whether responding may block on a slow client.
    pub fn may_block(&self) -> bool {
        matches!(self.connection, Connection::TinyHttp(_))
    }

    /// Sends the response; returns false if the caller has disconnected.
    pub fn respond(self, response: HttpResponse) -> bool {
        match self.connection {
            Connection::Caller(sender) => sender.send(response).is_ok(),
            Connection::TinyHttp(request) => request.respond(to_tiny_http(response)).is_ok(),
        }
    }
}

fn to_tiny_http(response: HttpResponse) -> Response<std::io::Cursor<Vec<u8>>> {
    let headers = response
        .headers
        .iter()
        .filter_map(|(name, value)| Header::from_bytes(name.as_bytes(), value.as_bytes()).ok())
        .collect();
    let length = response.body.len();
    let body = std::io::Cursor::new(response.body);
    Response::new(response.status.into(), headers, body, Some(length), None)
}
