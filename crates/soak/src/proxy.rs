//! A loopback proxy that harms what passes through it.
//!
//! Over a silence it does what kernels do on both sides of a cut: bytes that were written
//! are kept and sent again at doubling pauses, also when their sender has closed its
//! connection meanwhile; a sender's reset drops them; new connections don't come up. A proxy
//! that let these come up would bring what a router sends on them right behind what it sent
//! before the cut, and so hide what an old message does alone.

mod gate;
mod retransmit;

use crate::clock;
use beamtray_types::Time;
use eyre::{Result, WrapErr};
use gate::Gate;
use retransmit::{CopyEnd, copy};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// What a proxy does to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionFault {
    /// Bytes wait until this is over.
    pub silent: bool,
    /// Time that bytes take longer.
    pub delay: Duration,
}

/// Harm in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFault {
    /// Towards the target.
    pub towards: DirectionFault,
    /// Away from it.
    pub back: DirectionFault,
}

impl LinkFault {
    /// Nothing passes either way.
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

    /// Only what goes towards the target passes.
    pub fn one_way() -> Self {
        Self {
            towards: DirectionFault::default(),
            ..Self::cut()
        }
    }

    /// Both ways take longer.
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

#[derive(Default)]
struct Link {
    fault: Cell<LinkFault>,
    changed: Notify,
    reset: Notify,
    /// Whether nobody owns the proxy any more.
    is_over: Cell<bool>,
    /// When bytes came to the target that had been held up.
    delayed_deliveries: RefCell<Vec<Time>>,
}

impl Link {
    /// Waits until a direction is not silent, or the proxy is over.
    async fn wait_until_passing(&self, side: impl Fn(LinkFault) -> DirectionFault) {
        while side(self.fault.get()).silent && !self.is_over.get() {
            self.changed.notified().await;
        }
    }
}

/// A proxy to one target. Its connections end with it: what routers of one run have written
/// must not come to the upstreams of the next, which have the same names and addresses.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: Rc<Link>,
    accepting: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.link.is_over.set(true);
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
        let link = Rc::new(Link::default());
        let accepting = tokio::task::spawn_local(accept(gate, target, link.clone()));
        Ok(Self {
            address,
            link,
            accepting: accepting.abort_handle(),
        })
    }

    /// Harms the link from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.link.fault.set(fault);
        self.link.changed.notify_waiters();
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.link.reset.notify_waiters();
    }

    /// When bytes came to the target that had been held up, since the last question.
    pub fn take_delayed_deliveries(&self) -> Vec<Time> {
        self.link.delayed_deliveries.take()
    }
}

/// Accepts connections while bytes pass towards the target.
async fn accept(mut gate: Gate, target: SocketAddr, link: Rc<Link>) {
    loop {
        if link.fault.get().towards.silent {
            gate.close().await;
            link.wait_until_passing(|fault| fault.towards).await;
            gate.open();
        }
        tokio::select! {
            client = gate.accept() => {
                if let Some(client) = client {
                    tokio::task::spawn_local(pass(client, target, link.clone()));
                }
            }
            () = link.changed.notified() => {}
        }
    }
}

async fn pass(client: TcpStream, target: SocketAddr, link: Rc<Link>) {
    // A target that refuses is seen as a connection that is reset.
    let Ok(server) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    if link.is_over.get() {
        return;
    }
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let on_delayed_delivery = || link.delayed_deliveries.borrow_mut().push(clock::now());
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
    // The word of an end does not pass a cut either.
    link.wait_until_passing(|fault| fault.towards).await;
    link.wait_until_passing(|fault| fault.back).await;
    if end == CopyEnd::Reset {
        let _ = from_client.as_ref().set_zero_linger();
        let _ = from_server.as_ref().set_zero_linger();
    }
}
