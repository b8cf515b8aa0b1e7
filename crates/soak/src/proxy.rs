//! A loopback proxy that injects network faults.
//!
//! During a cut it behaves as the kernels on both sides of a partition do: written bytes are
//! buffered and retransmitted with exponential backoff, also after their sender has closed
//! its connection; a reset by the sender drops them; new connections are not established. If
//! connections could be established, messages that a router sends on them would arrive right
//! behind those it sent before the cut, which would hide the effect of an old message alone.

mod gate;
mod retransmit;

use crate::clock;
use beamtray_types::Time;
use eyre::{Result, WrapErr};
use gate::Gate;
use retransmit::{CopyEnd, copy};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionFault {
    /// Whether bytes are held back.
    pub silent: bool,
    /// Additional latency.
    pub delay: Duration,
}

/// Faults of both directions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFault {
    /// Direction towards the target.
    pub towards: DirectionFault,
    /// Direction from the target to the client.
    pub back: DirectionFault,
}

impl LinkFault {
    /// A cut of both directions.
    pub fn cut() -> Self {
        let silent = DirectionFault {
            silent: true,
            delay: Duration::ZERO,
        };
        Self {
            towards: silent,
            back: silent,
        }
    }

    /// A cut of the direction from the target only.
    pub fn one_way() -> Self {
        Self {
            towards: DirectionFault::default(),
            ..Self::cut()
        }
    }

    /// Additional latency in both directions.
    pub fn delayed(delay: Duration) -> Self {
        let slow = DirectionFault {
            silent: false,
            delay,
        };
        Self {
            towards: slow,
            back: slow,
        }
    }
}

/// State shared by a proxy and its connections, which may run on other threads.
#[derive(Default)]
struct Link {
    fault: Mutex<LinkFault>,
    changed: Notify,
    reset: Notify,
    /// Whether the proxy has been dropped.
    is_over: AtomicBool,
    /// Times at which delayed bytes reached the target.
    delayed_deliveries: Mutex<Vec<Time>>,
    /// Connections that this process could not accept or open for want of descriptors.
    failures: AtomicU64,
}

/// Locks a mutex; nothing that holds one can panic halfway through a change.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    fn fault(&self) -> LinkFault {
        *lock(&self.fault)
    }

    fn record_failure(&self, error: &io::Error) {
        let code = error.raw_os_error();
        if code == Some(nix::libc::EMFILE) || code == Some(nix::libc::ENFILE) {
            self.failures.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Waits until a direction is not silent, or the proxy has been dropped.
    async fn wait_until_passing(&self, side: impl Fn(LinkFault) -> DirectionFault) {
        loop {
            // Created before the check, so that a change right after it is not missed.
            let changed = self.changed.notified();
            if !side(self.fault()).silent || self.is_over() {
                return;
            }
            changed.await;
        }
    }
}

/// A proxy to one target. Dropping it closes its connections, so that data written by the
/// routers of one run cannot reach upstreams of the next, which have the same names and
/// addresses.
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    link: Arc<Link>,
    accepting: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.link.is_over.store(true, Ordering::SeqCst);
        self.link.reset.notify_waiters();
        self.link.changed.notify_waiters();
    }
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let gate = Gate::new().await.wrap_err("listen for a proxy")?;
        let address = gate.address()?;
        let link = Arc::new(Link::default());
        let accepting = tokio::spawn(accept(gate, target, link.clone()));
        Ok(Self {
            address,
            link,
            accepting: accepting.abort_handle(),
        })
    }

    /// Sets the faults of the link.
    pub fn set_fault(&self, fault: LinkFault) {
        *lock(&self.link.fault) = fault;
        self.link.changed.notify_waiters();
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.link.reset.notify_waiters();
    }

    /// Connections that this process could not accept or open for want of descriptors.
    pub fn failures(&self) -> u64 {
        self.link.failures.load(Ordering::SeqCst)
    }

    /// Times at which delayed bytes reached the target since the last call.
    pub fn take_delayed_deliveries(&self) -> Vec<Time> {
        std::mem::take(&mut *lock(&self.link.delayed_deliveries))
    }
}

/// Accepts connections while the direction towards the target is not cut.
async fn accept(mut gate: Gate, target: SocketAddr, link: Arc<Link>) {
    loop {
        let changed = link.changed.notified();
        if link.fault().towards.silent {
            gate.close().await;
            link.wait_until_passing(|fault| fault.towards).await;
            gate.open();
        }
        tokio::select! {
            client = gate.accept() => {
                match client {
                    Ok(Some(client)) => {
                        tokio::spawn(pass(client, target, link.clone()));
                    }
                    Ok(None) => {}
                    Err(error) => link.record_failure(&error),
                }
            }
            () = changed => {}
        }
    }
}

async fn pass(client: TcpStream, target: SocketAddr, link: Arc<Link>) {
    // If the target refuses, the client sees a reset.
    let server = match TcpStream::connect(target).await {
        Ok(server) => server,
        Err(error) => {
            link.record_failure(&error);
            let _ = client.set_zero_linger();
            return;
        }
    };
    if link.is_over() {
        return;
    }
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let on_delayed_delivery = || lock(&link.delayed_deliveries).push(clock::now());
    let towards = copy(
        &mut from_client,
        &mut to_server,
        &link,
        |fault| fault.towards,
        on_delayed_delivery,
    );
    let back = copy(
        &mut from_server,
        &mut to_client,
        &link,
        |fault| fault.back,
        || {},
    );
    let end = tokio::select! {
        end = towards => end,
        end = back => end,
        () = link.reset.notified() => CopyEnd::Reset,
    };
    // The end of a connection (FIN or RST) does not pass a cut either.
    link.wait_until_passing(|fault| fault.towards).await;
    link.wait_until_passing(|fault| fault.back).await;
    if end == CopyEnd::Reset {
        let _ = from_client.as_ref().set_zero_linger();
        let _ = from_server.as_ref().set_zero_linger();
    }
}
