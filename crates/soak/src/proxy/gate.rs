//! A listener on which new connections can be kept from coming up.

use eyre::Result;
use socket2::SockRef;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Connections that wait to be accepted while the gate is open.
const OPEN_BACKLOG: i32 = 1_024;
/// The same while it is closed: the kernel lets one more wait, and drops the packets of
/// further ones as a cut would.
const CLOSED_BACKLOG: i32 = 0;
/// A connection over loopback that takes longer does not come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// Most connections that are needed to fill the queue.
const MAX_BLOCKERS: usize = 4;

/// A listener whose queue can be filled, so that nobody gets through, and nobody is refused.
pub(super) struct Gate {
    listener: TcpListener,
    /// Own connections that fill the queue.
    blockers: Vec<TcpStream>,
    /// Where they come from; they are accepted after the gate is open again.
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

    /// The next connection of somebody else.
    pub async fn accept(&mut self) -> Option<TcpStream> {
        let (stream, from) = self.listener.accept().await.ok()?;
        (!self.own.remove(&from)).then_some(stream)
    }

    /// Lets no connection come up from now on.
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

    /// Lets connections come up again.
    pub fn open(&mut self) {
        self.limit(OPEN_BACKLOG);
        self.blockers.clear();
    }

    fn limit(&self, backlog: i32) {
        // A listener that can't be told stays as it is: connections come up, and a run
        // finds less.
        let _ = SockRef::from(&self.listener).listen(backlog);
    }
}
