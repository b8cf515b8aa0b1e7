//! The answer to one request, from any thread.

use crate::message::HttpResponse;
use tiny_http::{Header, Request, Response};
use tokio::sync::oneshot;

enum Connection {
    Tiny(Box<Request>),
    Caller(oneshot::Sender<HttpResponse>),
}

/// Answers one request, from any thread.
pub struct Responder {
    connection: Connection,
}

impl Responder {
    pub(crate) fn for_tiny(request: Request) -> Self {
        Self {
            connection: Connection::Tiny(Box::new(request)),
        }
    }

    pub(crate) fn for_caller(sender: oneshot::Sender<HttpResponse>) -> Self {
        Self {
            connection: Connection::Caller(sender),
        }
    }

    /// Whether the caller is known to be gone. Where `tiny_http` serves, that
    /// shows only when the answer is written.
    pub fn is_disconnected(&self) -> bool {
        match &self.connection {
            Connection::Tiny(_) => false,
            Connection::Caller(sender) => sender.is_closed(),
        }
    }

    /// Whether responding may block on a slow reader.
    pub fn may_block(&self) -> bool {
        matches!(self.connection, Connection::Tiny(_))
    }

    /// Writes the response; false when the caller is gone.
    pub fn respond(self, response: HttpResponse) -> bool {
        match self.connection {
            Connection::Caller(sender) => sender.send(response).is_ok(),
            Connection::Tiny(request) => request.respond(to_tiny(response)).is_ok(),
        }
    }
}

fn to_tiny(response: HttpResponse) -> Response<std::io::Cursor<Vec<u8>>> {
    let headers = response
        .headers
        .iter()
        .filter_map(|(name, value)| Header::from_bytes(name.as_bytes(), value.as_bytes()).ok())
        .collect();
    let length = response.body.len();
    let body = std::io::Cursor::new(response.body);
    Response::new(response.status.into(), headers, body, Some(length), None)
}
