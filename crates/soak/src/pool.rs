//! Connection pool of the callers. Connections are reused until the router closes them, so
//! that they span stops, reloads and restarts.

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

/// Idle connections by router address.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl Pool {
    /// An idle connection or a new one; `None` if the router cannot be reached.
    pub async fn take(&self, address: SocketAddr) -> Option<Connection> {
        if let Some(connection) = self.take_idle(address) {
            return Some(connection);
        }
        connect(address).await
    }

    /// The connection that has been idle longest and is not known to be closed.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_router = idle.get_mut(&address)?;
        of_router.retain(|connection| !connection.is_closed());
        (!of_router.is_empty()).then(|| of_router.remove(0))
    }

    /// Returns a connection to the pool after its response was read.
    pub fn keep(&self, address: SocketAddr, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(connection);
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        // An error is also reported by the request on this connection.
        let _ = connection.await;
    });
    Some(sender)
}
