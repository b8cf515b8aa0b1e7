//! Connections to the routers that callers keep and use until the other side closes them:
//! through stops, reloads and restarts.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// A connection that carries one request at a time.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Connections at rest, by router.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    resting: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl Pool {
    /// A connection that rests, or a new one; none if none comes up.
    pub async fn take(&self, address: SocketAddr) -> Option<Connection> {
        if let Some(connection) = self.rested(address) {
            return Some(connection);
        }
        connect(address).await
    }

    /// The connection that rested longest, of those that are not known to be closed.
    fn rested(&self, address: SocketAddr) -> Option<Connection> {
        let mut resting = self.resting.borrow_mut();
        let of_router = resting.get_mut(&address)?;
        of_router.retain(|connection| !connection.is_closed());
        (!of_router.is_empty()).then(|| of_router.remove(0))
    }

    /// Keeps a connection whose answer was read.
    pub fn keep(&self, address: SocketAddr, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut resting = self.resting.borrow_mut();
        resting.entry(address).or_default().push(connection);
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        // Its failure shows in the request.
        let _ = connection.await;
    });
    Some(sender)
}
