//! Pool of outgoing HTTP connections.

mod body;
mod head_limit;
mod progress;
mod socket;

use crate::shell::held_body::HeldBody;
use crate::shell::tunnel;
use beamtray_resources::{Account, ConnectionKind, OpenConnection, Purpose};
use body::read_body;
use head_limit::{HeadLimit, LimitedStream};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONNECTION;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
pub(crate) use progress::{CallFailure, CallProgress, ConnectionNumber, RequestDigest};
use socket::set_ack_timeout;
pub(crate) use socket::{configure_socket, reset_on_close};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Timeout for opening a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// After a connection was opened, the time to wait for a reset by an upstream that has too
/// many connections. A request written before the reset arrives could not be told from one
/// that ran.
pub(crate) const RESET_WAIT: Duration = Duration::from_millis(1);
/// Idle time after which a connection is not reused, if the other side announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Share of the idle timeout announced by the other side that is used.
const IDLE_TIMEOUT_PERCENT: u32 = 50;
/// Idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// Idle connections kept in total. Each costs memory, and with many upstreams most are not
/// reused before their idle timeout.
const MAX_IDLE: usize = 96;
/// The same at the granter, which needs one connection to each of hundreds of holders: a
/// holder with busy keys resets new connections, yet has to receive the order that takes some
/// of its keys away. Each costs about 10 kB, on one node only.
const MAX_IDLE_AT_GRANTER: usize = 800;
/// How long connections to an address that sent a wrong answer are not reused.
const NO_REUSE_PERIOD: Duration = Duration::from_secs(6);
/// Largest response body.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Requests that may be rejected on a connection; it is closed after that.
const MAX_REJECTED_PER_CONNECTION: usize = 64;
/// Request bodies up to this length are fully sent before a response can arrive.
const SMALL_BODY_BYTES: usize = 8 * 1024;

/// Where and how a connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Endpoint {
    pub address: SocketAddr,
    /// The node through which it is opened, if this node does not connect itself.
    pub gateway: Option<SocketAddr>,
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self {
            address,
            gateway: None,
        }
    }
}

/// A complete response.
pub(crate) struct Answer {
    pub head: Parts,
    pub body: HeldBody,
    /// The connection it arrived on, closed on drop.
    connection: PooledConnection,
    reusable: bool,
}

struct PooledConnection {
    number: ConnectionNumber,
    sender: SendRequest<HeldBody>,
    driver: AbortHandle,
    head_limit: HeadLimit,
    endpoint: Endpoint,
    idle_since: Instant,
    usable_until: Instant,
    /// Requests that were rejected here. The upstream may send a rejection a second time, and then
    /// it can't be told from that of the next sending of the same request.
    rejected: Vec<RequestDigest>,
    _descriptor: OpenConnection,
}

impl PooledConnection {
    fn has_rejected(&self, request: Option<RequestDigest>) -> bool {
        request.is_some_and(|request| self.rejected.contains(&request))
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Pool of idle connections.
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<Endpoint, Vec<PooledConnection>>>,
    reuse_disabled: RefCell<HashMap<SocketAddr, Instant>>,
    is_granter: Cell<bool>,
    /// How long written bytes may stay unacknowledged, if not [`configure_socket`]'s default.
    ack_timeout: Option<Duration>,
    account: Rc<Account>,
    opened: Cell<u64>,
}

impl ConnectionPool {
    /// A pool whose responses and connections are counted in that account.
    pub fn new(account: Rc<Account>) -> Self {
        Self {
            idle: RefCell::default(),
            reuse_disabled: RefCell::default(),
            is_granter: Cell::default(),
            ack_timeout: None,
            account,
            opened: Cell::default(),
        }
    }

    /// Has connections end when written bytes stay unacknowledged for this long.
    pub fn with_ack_timeout(self, ack_timeout: Duration) -> Self {
        Self {
            ack_timeout: Some(ack_timeout),
            ..self
        }
    }

    /// Sets whether this node is the granter, which sends orders to all key holders.
    pub fn set_granter(&self, is_granter: bool) {
        self.is_granter.set(is_granter);
    }

    fn max_idle(&self) -> usize {
        if self.is_granter.get() {
            MAX_IDLE_AT_GRANTER
        } else {
            MAX_IDLE
        }
    }

    /// Sends a request and reads the complete response.
    pub async fn call(
        &self,
        endpoint: Endpoint,
        mut request: Request<HeldBody>,
        progress: &CallProgress,
    ) -> Result<Answer, CallFailure> {
        let small_body = hyper::body::Body::size_hint(request.body())
            .upper()
            .is_some_and(|length| length <= SMALL_BODY_BYTES as u64);
        loop {
            let (mut connection, reused) = match self.take_idle(endpoint, progress) {
                Some(connection) => (connection, true),
                None => (self.connect(endpoint, progress).await?, false),
            };
            progress.connection.set(Some(connection.number));
            if progress.is_past_write_deadline() {
                return Err(CallFailure::NotSent);
            }
            progress.written.set(true);
            progress.reused.set(reused);
            let rejected_there = connection.has_rejected(progress.request);
            progress.rejected_there.set(rejected_there);
            connection.head_limit.begin();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.head_limit.end();
                    let (account, purpose) = (&self.account, progress.purpose);
                    return read_answer(connection, response, small_body, account, purpose).await;
                }
                Err(mut error) => match error.take_message() {
                    // The connection was closed while it was idle.
                    Some(unsent) if reused => {
                        progress.written.set(false);
                        request = unsent;
                    }
                    Some(_) => {
                        progress.written.set(false);
                        return Err(CallFailure::NotSent);
                    }
                    None if is_ack_timeout(error.error()) => {
                        return Err(CallFailure::AckTimeout);
                    }
                    None => return Err(CallFailure::ConnectionLost),
                },
            }
        }
    }

    async fn connect(
        &self,
        endpoint: Endpoint,
        progress: &CallProgress,
    ) -> Result<PooledConnection, CallFailure> {
        let number = ConnectionNumber(self.opened.get());
        self.opened.set(number.0 + 1);
        let descriptor = self.take_descriptor().await.ok_or(CallFailure::NotSent)?;
        connect(endpoint, number, self.ack_timeout, progress, descriptor).await
    }

    /// Takes a descriptor for a new connection, that of an idle one if there is no other.
    async fn take_descriptor(&self) -> Option<OpenConnection> {
        let account = &self.account;
        if let Some(descriptor) = account.open_connection(ConnectionKind::Outgoing) {
            return Some(descriptor);
        }
        close_longest_idle(&mut self.idle.borrow_mut(), 0);
        // The task that drives the closed connection ends meanwhile.
        tokio::task::yield_now().await;
        account.open_connection(ConnectionKind::Outgoing)
    }

    /// Takes the connection that was used most recently, of those on which the request was not
    /// rejected before.
    fn take_idle(&self, endpoint: Endpoint, progress: &CallProgress) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        let now = Instant::now();
        connections.retain(|one| one.usable_until > now && one.sender.is_ready());
        let eligible = |one: &PooledConnection| {
            let idle_for = now.saturating_duration_since(one.idle_since);
            idle_for <= progress.max_idle_time && !one.has_rejected(progress.request)
        };
        let latest = connections.iter().rposition(eligible)?;
        Some(connections.remove(latest))
    }

    /// Returns the connection of a valid response to the pool.
    pub fn put_back(&self, answer: Answer) {
        if !answer.reusable || self.is_reuse_disabled(answer.connection.endpoint.address) {
            return;
        }
        let mut connection = answer.connection;
        connection.idle_since = Instant::now();
        connection.usable_until = connection.idle_since + idle_timeout(&answer.head);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.endpoint).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
            close_longest_idle(&mut idle, self.max_idle());
        }
    }

    /// Returns the connection of a response that rejected a client's request to the pool.
    pub fn put_back_rejected(&self, mut answer: Answer, request: RequestDigest) {
        let rejected = &mut answer.connection.rejected;
        rejected.push(request);
        if rejected.len() < MAX_REJECTED_PER_CONNECTION {
            self.put_back(answer);
        }
    }

    /// Closes the idle connections to an address and keeps none for a while.
    pub fn disable_reuse(&self, address: SocketAddr) {
        self.close_idle(address);
        let until = Instant::now() + NO_REUSE_PERIOD;
        self.reuse_disabled.borrow_mut().insert(address, until);
    }

    /// Closes the idle connections to an address, through whatever node.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|endpoint, _| endpoint.address != address);
    }

    /// Closes the idle connections that this node opened itself, but for those to `kept`.
    pub fn close_idle_own(&self, kept: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|endpoint, _| endpoint.gateway.is_some() || endpoint.address == kept);
    }

    fn is_reuse_disabled(&self, address: SocketAddr) -> bool {
        let reuse_disabled = self.reuse_disabled.borrow();
        reuse_disabled
            .get(&address)
            .is_some_and(|until| *until > Instant::now())
    }

    /// Closes all idle connections, for when the other sides may have dropped them.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections past their idle timeout.
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.usable_until > now);
            !connections.is_empty()
        });
        self.reuse_disabled
            .borrow_mut()
            .retain(|_, until| *until > now);
    }
}

/// Closes the connection that has been idle longest if there are more than `limit`.
fn close_longest_idle(idle: &mut HashMap<Endpoint, Vec<PooledConnection>>, limit: usize) {
    let count: usize = idle.values().map(Vec::len).sum();
    if count <= limit {
        return;
    }
    // The first one of an address has been idle longest.
    let oldest = |connections: &[PooledConnection]| {
        connections.first().map(|connection| connection.idle_since)
    };
    let longest = idle
        .iter()
        .filter_map(|(endpoint, connections)| Some((oldest(connections)?, *endpoint)))
        .min();
    let Some((_, endpoint)) = longest else {
        return;
    };
    if let Some(connections) = idle.get_mut(&endpoint) {
        connections.remove(0);
        if connections.is_empty() {
            idle.remove(&endpoint);
        }
    }
}

/// Idle time after which the connection is not reused: a share of the timeout in `Keep-Alive`.
fn idle_timeout(head: &Parts) -> Duration {
    let advertised = head
        .headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            let fields = text.split(',');
            fields
                .filter_map(|field| field.trim().strip_prefix("timeout="))
                .find_map(|seconds| seconds.trim().parse::<u64>().ok())
        });
    advertised.map_or(DEFAULT_IDLE_TIMEOUT, |seconds| {
        Duration::from_secs(seconds) * IDLE_TIMEOUT_PERCENT / 100
    })
}

/// Whether a connection ended because written bytes stayed unacknowledged.
fn is_ack_timeout(error: &hyper::Error) -> bool {
    let cause = error.source();
    let cause = cause.and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}

async fn connect(
    endpoint: Endpoint,
    number: ConnectionNumber,
    ack_timeout: Option<Duration>,
    progress: &CallProgress,
    descriptor: OpenConnection,
) -> Result<PooledConnection, CallFailure> {
    let stream = match endpoint.gateway {
        None => open(endpoint.address, progress).await?,
        Some(gateway) => tunnel::open(gateway, endpoint.address).await?,
    };
    configure_socket(&stream);
    reset_on_close(&stream);
    if let Some(limit) = ack_timeout {
        set_ack_timeout(&stream, limit);
    }
    let head_limit = HeadLimit::new();
    let (sender, connection) = http1::Builder::new()
        .handshake::<_, HeldBody>(TokioIo::new(LimitedStream::new(stream, head_limit.clone())))
        .await
        .map_err(|_| CallFailure::NotSent)?;
    let driver = tokio::task::spawn_local(async move {
        // Errors surface in the call that uses the connection.
        let _ = connection.await;
    });
    tokio::time::sleep(RESET_WAIT).await;
    if sender.is_closed() {
        return Err(CallFailure::ConnectFailed);
    }
    Ok(PooledConnection {
        number,
        sender,
        driver: driver.abort_handle(),
        head_limit,
        endpoint,
        idle_since: Instant::now(),
        usable_until: Instant::now(),
        rejected: Vec::new(),
        _descriptor: descriptor,
    })
}

/// Opens a connection and records whether the other side accepted it.
async fn open(address: SocketAddr, progress: &CallProgress) -> Result<TcpStream, CallFailure> {
    let error = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            progress.opened.set(Some(true));
            return Ok(stream);
        }
        Ok(Err(error)) => error.kind(),
        Err(_) => io::ErrorKind::TimedOut,
    };
    let is_remote = matches!(
        error,
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    );
    progress.opened.set(is_remote.then_some(false));
    Err(match error {
        io::ErrorKind::ConnectionRefused => CallFailure::ConnectionRefused,
        _ => CallFailure::ConnectFailed,
    })
}

async fn read_answer(
    connection: PooledConnection,
    response: Response<Incoming>,
    small_body: bool,
    account: &Rc<Account>,
    purpose: Purpose,
) -> Result<Answer, CallFailure> {
    let (head, body) = response.into_parts();
    let body = read_body(body, MAX_ANSWER_BYTES, account, purpose).await?;
    let closes = head.headers.get_all(CONNECTION).iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.eq_ignore_ascii_case("close"))
    });
    Ok(Answer {
        head,
        body,
        connection,
        reusable: small_body && !closes,
    })
}
