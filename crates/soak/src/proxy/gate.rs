//! A listener on which establishing connections can be blocked.

use eyre::Result;
use socket2::SockRef;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Listen backlog while the gate is open.
const OPEN_BACKLOG: i32 = 1_024;
/// Listen backlog while the gate is closed: the kernel still queues one connection, and drops
/// the SYN packets of further ones as a cut would.
const CLOSED_BACKLOG: i32 = 0;
/// A loopback connection that takes longer than this is blocked by the full queue.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of connections needed to fill the queue.
const MAX_BLOCKERS: usize = 4;

/// A listener whose accept queue can be filled, so that connections are neither established
/// nor refused.
pub(super) struct Gate {
    listener: TcpListener,
    /// The gate's own connections that fill the queue.
    blockers: Vec<TcpStream>,
    /// Local addresses of the blockers, which are accepted after the gate opens again.
    own: HashSet<SocketAddr>,
}

impl Gate {
    pub async fn new() -> Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(("127.0.0.1", 0)).await?,
            blockers: Vec::new(),
            own: HashSet::new(),
        })
    }

    pub fn address(&self) -> Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Accepts a connection; `None` for one of the gate's own.
    ///
    /// # Errors
    /// When the system can't accept it.
    pub async fn accept(&mut self) -> std::io::Result<Option<TcpStream>> {
        let (stream, from) = self.listener.accept().await?;
        Ok((!self.own.remove(&from)).then_some(stream))
    }

    /// Blocks new connections.
    pub async fn close(&mut self) {
        self.limit(CLOSED_BACKLOG);
        let Ok(address) = self.listener.local_addr() else {
            return;
        };
        for _ in 0..MAX_BLOCKERS {
            let Ok(Ok(blocker)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await
            else {
                return;
            };
            self.own.extend(blocker.local_addr());
            self.blockers.push(blocker);
        }
    }

    /// Allows new connections again.
    pub fn open(&mut self) {
        self.limit(OPEN_BACKLOG);
        self.blockers.clear();
    }

    fn limit(&self, backlog: i32) {
        // If the backlog can't be changed, connections are still established, and a run
        // detects fewer faults.
        let _ = SockRef::from(&self.listener).listen(backlog);
    }
}
