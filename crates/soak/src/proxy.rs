//! A loopback proxy that harms what passes through it.

use eyre::{Result, WrapErr};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const CHUNK_BYTES: usize = 16 * 1024;

/// What a proxy does to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Harm {
    /// Bytes wait until this is over.
    pub silent: bool,
    /// Time that bytes take longer.
    pub delay: Duration,
}

/// Harm in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkHarm {
    pub towards: Harm,
    pub back: Harm,
}

impl LinkHarm {
    /// Nothing passes either way.
    pub fn cut() -> Self {
        let silent = Harm {
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
            towards: Harm::default(),
            ..Self::cut()
        }
    }

    /// Both ways take longer.
    pub fn delayed(delay: Duration) -> Self {
        let slow = Harm {
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
    harm: Cell<LinkHarm>,
    changed: Notify,
    reset: Notify,
}

/// A proxy to one target.
pub(crate) struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: Rc<Link>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .wrap_err("listen for a proxy")?;
        let address = listener.local_addr()?;
        let link = Rc::new(Link::default());
        tokio::task::spawn_local(accept(listener, target, link.clone()));
        Ok(Self { address, link })
    }

    /// Harms the link from now on.
    pub fn harm(&self, harm: LinkHarm) {
        self.link.harm.set(harm);
        self.link.changed.notify_waiters();
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.link.reset.notify_waiters();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, link: Rc<Link>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::task::spawn_local(pass(client, target, link.clone()));
    }
}

async fn pass(client: TcpStream, target: SocketAddr, link: Rc<Link>) {
    // A target that refuses is seen as a connection that is reset.
    let Ok(server) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let towards = copy(&mut from_client, &mut to_server, &link, |harm| harm.towards);
    let back = copy(&mut from_server, &mut to_client, &link, |harm| harm.back);
    let reset = tokio::select! {
        () = towards => false,
        () = back => false,
        () = link.reset.notified() => true,
    };
    if reset {
        let _ = from_client.as_ref().set_zero_linger();
        let _ = from_server.as_ref().set_zero_linger();
    }
}

async fn copy(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    link: &Link,
    side: impl Fn(LinkHarm) -> Harm,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(length) if length > 0 => length,
            _ => return,
        };
        while side(link.harm.get()).silent {
            link.changed.notified().await;
        }
        tokio::time::sleep(side(link.harm.get()).delay).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
