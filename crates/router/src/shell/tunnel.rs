//! Connections to upstreams through other nodes.
//!
//! A node that can't connect to an upstream asks another one, its gateway, to open the connection and
//! to pass bytes both ways. The gateway connects to the upstream itself and only to addresses of
//! registered upstreams. It reads nothing of what it passes on, so that whether a request was
//! written, and all decisions about it, stay with the node that has the request.
//!
//! A request for a tunnel is [`PREAMBLE`], the length of the address in one byte, and the address.
//! The reply is one byte. The preamble is no valid frame length, so a node without tunnels closes
//! the connection.

use crate::core::Input;
use crate::shell::connections::{CONNECT_TIMEOUT, RESET_WAIT, configure_socket, reset_on_close};
use crate::shell::handle::Shared;
use crate::shell::observer::Limit;
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::GatewayFailure;
use beamtray_resources::{ConnectionKind, OpenConnection};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Start of a request for a tunnel.
pub(crate) const PREAMBLE: [u8; 8] = *b"BTTUNNEL";
/// Maximum number of tunnels that a node keeps open for others. Each takes two descriptors.
const MAX_TUNNELS: usize = 512;
/// How long the gateway may take beyond the time for its own connection.
const REPLY_MARGIN: Duration = Duration::from_millis(100);
/// Buffer for bytes to the upstream.
const REQUEST_BUFFER_BYTES: usize = 4 * 1024;
/// Buffer for bytes from the upstream.
const RESPONSE_BUFFER_BYTES: usize = 8 * 1024;
/// How long the node may take to close its connection after the upstream has.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// A tunnel over which the upstream sent the last bytes is idle after this.
const IDLE_AFTER: Duration = Duration::from_millis(100);

/// The gateway's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Reply {
    Opened = 0,
    Refused = 1,
    Unreachable = 2,
    Declined = 3,
    /// The upstream accepted the connection and closed it.
    Closed = 4,
}

impl Reply {
    fn from_byte(byte: u8) -> Option<Self> {
        let all = [
            Self::Opened,
            Self::Refused,
            Self::Unreachable,
            Self::Declined,
            Self::Closed,
        ];
        all.into_iter().find(|reply| *reply as u8 == byte)
    }
}

/// Reasons why no connection was opened through another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelFailure {
    /// The gateway did not open one.
    Gateway(GatewayFailure),
    /// The upstream closed it at once.
    Closed,
}

/// Opens a connection to an upstream through another node.
pub(crate) async fn open(
    gateway: SocketAddr,
    address: SocketAddr,
) -> Result<TcpStream, TunnelFailure> {
    let declined = TunnelFailure::Gateway(GatewayFailure::Declined);
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(gateway)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(declined),
    };
    configure_socket(&stream);
    reset_on_close(&stream);
    let reply = timeout(CONNECT_TIMEOUT + REPLY_MARGIN, request(stream, address)).await;
    let Ok(Ok((stream, reply))) = reply else {
        return Err(declined);
    };
    match reply {
        Reply::Opened => Ok(stream),
        Reply::Refused => Err(TunnelFailure::Gateway(GatewayFailure::Refused)),
        Reply::Unreachable => Err(TunnelFailure::Gateway(GatewayFailure::Unreachable)),
        Reply::Declined => Err(declined),
        Reply::Closed => Err(TunnelFailure::Closed),
    }
}

async fn request(mut stream: TcpStream, address: SocketAddr) -> io::Result<(TcpStream, Reply)> {
    let address = address.to_string();
    let mut bytes = PREAMBLE.to_vec();
    bytes.push(address.len() as u8);
    bytes.extend_from_slice(address.as_bytes());
    stream.write_all(&bytes).await?;
    let reply = Reply::from_byte(stream.read_u8().await?);
    let reply = reply.ok_or(ErrorKind::InvalidData)?;
    Ok((stream, reply))
}

/// What went through a tunnel last.
#[derive(Debug)]
struct Traffic {
    last_at: Cell<Instant>,
    from_upstream: Cell<bool>,
}

impl Traffic {
    fn new() -> Self {
        Self {
            last_at: Cell::new(Instant::now()),
            from_upstream: Cell::new(true),
        }
    }

    fn record(&self, from_upstream: bool) {
        self.last_at.set(Instant::now());
        self.from_upstream.set(from_upstream);
    }

    /// Whether no response is awaited, as far as the bytes show.
    fn is_idle(&self) -> bool {
        self.from_upstream.get() && self.last_at.get().elapsed() >= IDLE_AFTER
    }
}

struct OpenTunnel {
    traffic: Rc<Traffic>,
    task: AbortHandle,
}

/// The tunnels that this node keeps open for others.
#[derive(Default)]
pub(crate) struct Tunnels {
    open: RefCell<HashMap<u64, OpenTunnel>>,
    last: Cell<u64>,
}

impl Tunnels {
    /// Number of open tunnels.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes the tunnels over which no response is awaited.
    pub fn close_idle(&self) {
        self.open.borrow_mut().retain(|_, tunnel| {
            let is_idle = tunnel.traffic.is_idle();
            if is_idle {
                tunnel.task.abort();
            }
            !is_idle
        });
    }

    fn next_number(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }
}

/// Serves another node's request for a tunnel, whose preamble has been read.
pub(crate) async fn serve(
    shared: &Rc<Shared>,
    mut stream: TcpStream,
    descriptor: OpenConnection,
) -> io::Result<()> {
    let address = read_address(&mut stream).await?;
    configure_socket(&stream);
    reset_on_close(&stream);
    let Some(upstream) = find_target(shared, address).await else {
        return stream.write_u8(Reply::Declined as u8).await;
    };
    let Some(second) = shared.account.open_connection(ConnectionKind::Peer) else {
        shared.observer.limit_reached(Limit::PeerConnections);
        return stream.write_u8(Reply::Declined as u8).await;
    };
    let connected = connect(shared, upstream, address).await;
    let reply = connected
        .as_ref()
        .map_or_else(|reply| *reply, |_| Reply::Opened);
    shared
        .observer
        .tunnel_requested(address, reply == Reply::Opened);
    stream.write_u8(reply as u8).await?;
    if let Ok(to_upstream) = connected {
        bridge(shared, stream, to_upstream, [descriptor, second]);
    }
    Ok(())
}

async fn read_address(stream: &mut TcpStream) -> io::Result<SocketAddr> {
    let length = stream.read_u8().await?;
    let mut bytes = vec![0; length.into()];
    stream.read_exact(&mut bytes).await?;
    let text = std::str::from_utf8(&bytes).map_err(|_| ErrorKind::InvalidData)?;
    Ok(text.parse().map_err(|_| ErrorKind::InvalidData)?)
}

/// The upstream at an address, if this node opens a tunnel to it.
async fn find_target(shared: &Shared, address: SocketAddr) -> Option<UpstreamId> {
    if shared.stopping.get() || shared.tunnels.count() >= MAX_TUNNELS {
        return None;
    }
    let (sender, receiver) = oneshot::channel();
    shared.inspect(move |core| {
        // The requesting node may have disconnected.
        let _ = sender.send(core.tunnel_target(address));
    });
    receiver.await.ok().flatten()
}

/// Connects to an upstream on behalf of another node, and tells the core whether that worked.
async fn connect(
    shared: &Shared,
    upstream: UpstreamId,
    address: SocketAddr,
) -> Result<TcpStream, Reply> {
    let began = shared.now();
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let result = match connected {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Err(Reply::Refused),
        Ok(Err(_)) | Err(_) => Err(Reply::Unreachable),
    };
    shared.input(Input::ConnectionTried {
        upstream,
        address,
        began,
        opened: result.is_ok(),
    });
    let stream = result?;
    configure_socket(&stream);
    reset_on_close(&stream);
    let mut first = [0];
    // An upstream with too many connections accepts one and resets it.
    match timeout(RESET_WAIT, stream.peek(&mut first)).await {
        Ok(Ok(0)) | Ok(Err(_)) => Err(Reply::Closed),
        Ok(Ok(_)) | Err(_) => Ok(stream),
    }
}

/// Passes bytes both ways until either side closes its connection.
fn bridge(
    shared: &Rc<Shared>,
    from_node: TcpStream,
    to_upstream: TcpStream,
    descriptors: [OpenConnection; 2],
) {
    let number = shared.tunnels.next_number();
    let traffic = Rc::new(Traffic::new());
    let (for_task, shared_for_task) = (traffic.clone(), shared.clone());
    let task = tokio::task::spawn_local(async move {
        // A connection that fails ends the other one too.
        let _ = copy_both(&for_task, from_node, to_upstream).await;
        drop(descriptors);
        shared_for_task.tunnels.open.borrow_mut().remove(&number);
    });
    let tunnel = OpenTunnel {
        traffic,
        task: task.abort_handle(),
    };
    shared.tunnels.open.borrow_mut().insert(number, tunnel);
}

async fn copy_both(
    traffic: &Traffic,
    mut from_node: TcpStream,
    mut to_upstream: TcpStream,
) -> io::Result<()> {
    let (node_read, node_write) = from_node.split();
    let (upstream_read, upstream_write) = to_upstream.split();
    let requests = copy(node_read, upstream_write, REQUEST_BUFFER_BYTES, || {
        traffic.record(false);
    });
    let responses = copy(upstream_read, node_write, RESPONSE_BUFFER_BYTES, || {
        traffic.record(true);
    });
    let mut requests = std::pin::pin!(requests);
    tokio::select! {
        ended = requests.as_mut() => return ended,
        ended = responses => ended?,
    }
    // The end of the connection may be the end of a response. Closing now would reset it before the
    // node has read the rest.
    let _ = timeout(CLOSE_TIMEOUT, requests).await;
    Ok(())
}

/// Copies until the end of `from`.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    buffer_bytes: usize,
    note: impl Fn(),
) -> io::Result<()> {
    let mut buffer = vec![0; buffer_bytes];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        note();
        to.write_all(&buffer[..length]).await?;
    }
}
