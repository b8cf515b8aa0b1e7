//! Connections that this node opens, kept for further calls.

mod progress;
mod socket;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONNECTION;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
pub(crate) use progress::{CallFailure, CallProgress};
pub(crate) use socket::prepare;
use socket::{end_when_unacknowledged, reset_when_closed};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long a connection may take to come up.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// After a connection came up, a reset by an upstream that has too many of them
/// is waited for. A request written before it came could not be told from one
/// that ran.
const RESET_WAIT: Duration = Duration::from_millis(1);
/// Rest after which a connection is not used again, when the other side does
/// not tell.
const DEFAULT_REST: Duration = Duration::from_secs(3);
/// Part of the rest that the other side allows.
const REST_PERCENT: u32 = 50;
/// Connections kept to one address.
const KEPT: usize = 4;
/// Connections kept in all: each costs memory, and where there are many upstreams
/// most are not used again before their rest is over.
const MOST_RESTING: usize = 96;
/// The same at the granter: one to each of hundreds of holders. A holder of busy keys
/// resets new connections, and is to get the order that takes some of them away. Some
/// 10 kB each, at one node.
const MOST_RESTING_AT_GRANTER: usize = 800;
/// How long connections to an address that sent wrong bytes are not kept.
const DISTRUST: Duration = Duration::from_secs(6);
/// Longest answer, in bytes.
const LONGEST_ANSWER: usize = 32 * 1024 * 1024;
/// Bodies up to this length have left before any answer can come.
const SMALL_BODY: usize = 8 * 1024;

/// A whole answer.
pub(crate) struct Answer {
    pub head: Parts,
    pub body: Bytes,
    /// The connection; dropped, it closes.
    connection: Connection,
    reusable: bool,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    rests_since: Instant,
    usable_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connections that rest.
#[derive(Default)]
pub(crate) struct Connections {
    resting: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    distrusted: RefCell<HashMap<SocketAddr, Instant>>,
    gives_orders: Cell<bool>,
    /// How long written bytes may stay unacknowledged, if that is less than elsewhere.
    unacknowledged_for: Option<Duration>,
}

impl Connections {
    /// Connections that end when written bytes stay unacknowledged for so long.
    pub fn that_end_after(unacknowledged_for: Duration) -> Self {
        Self {
            unacknowledged_for: Some(unacknowledged_for),
            ..Self::default()
        }
    }

    /// States whether this node gives orders to all holders of keys.
    pub fn set_gives_orders(&self, gives_orders: bool) {
        self.gives_orders.set(gives_orders);
    }

    fn most_resting(&self) -> usize {
        if self.gives_orders.get() {
            MOST_RESTING_AT_GRANTER
        } else {
            MOST_RESTING
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        progress: &CallProgress,
    ) -> Result<Answer, CallFailure> {
        let small = hyper::body::Body::size_hint(request.body())
            .upper()
            .is_some_and(|length| length <= SMALL_BODY as u64);
        loop {
            let (mut connection, rested) = match self.take(address, progress.longest_rest) {
                Some(connection) => (connection, true),
                None => (connect(address, self.unacknowledged_for).await?, false),
            };
            if progress.is_too_late() {
                return Err(CallFailure::Unsent);
            }
            progress.written.set(true);
            progress.rested.set(rested);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return read(connection, response, small).await,
                Err(mut error) => match error.take_message() {
                    // A connection that ended while it rested.
                    Some(unsent) if rested => {
                        progress.written.set(false);
                        request = unsent;
                    }
                    Some(_) => {
                        progress.written.set(false);
                        return Err(CallFailure::Unsent);
                    }
                    None if is_unacknowledged(error.error()) => {
                        return Err(CallFailure::Unacknowledged);
                    }
                    None => return Err(CallFailure::BrokenOff),
                },
            }
        }
    }

    fn take(&self, address: SocketAddr, longest_rest: Duration) -> Option<Connection> {
        let mut resting = self.resting.borrow_mut();
        let kept = resting.get_mut(&address)?;
        let now = Instant::now();
        // The last one has rested the shortest time.
        let rested = now.saturating_duration_since(kept.last()?.rests_since);
        if rested > longest_rest {
            return None;
        }
        while let Some(connection) = kept.pop() {
            if connection.usable_until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps the connection of an answer that was in order.
    pub fn keep(&self, answer: Answer) {
        if !answer.reusable || self.is_distrusted(answer.connection.address) {
            return;
        }
        let mut connection = answer.connection;
        connection.rests_since = Instant::now();
        connection.usable_until = connection.rests_since + rest(&answer.head);
        let mut resting = self.resting.borrow_mut();
        let kept = resting.entry(connection.address).or_default();
        if kept.len() < KEPT {
            kept.push(connection);
            drop_longest_resting(&mut resting, self.most_resting());
        }
    }

    /// Keeps no connections to an address for a while.
    pub fn distrust(&self, address: SocketAddr) {
        self.resting.borrow_mut().remove(&address);
        let until = Instant::now() + DISTRUST;
        self.distrusted.borrow_mut().insert(address, until);
    }

    /// Closes the resting connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.resting.borrow_mut().remove(&address);
    }

    fn is_distrusted(&self, address: SocketAddr) -> bool {
        let distrusted = self.distrusted.borrow();
        distrusted
            .get(&address)
            .is_some_and(|until| *until > Instant::now())
    }

    /// Closes all resting connections: the other sides may have forgotten them.
    pub fn forget_all(&self) {
        self.resting.borrow_mut().clear();
    }

    /// Closes connections that rested too long.
    pub fn prune(&self) {
        let now = Instant::now();
        self.resting.borrow_mut().retain(|_, kept| {
            kept.retain(|connection| connection.usable_until > now);
            !kept.is_empty()
        });
        self.distrusted.borrow_mut().retain(|_, until| *until > now);
    }
}

/// Closes the connection that has rested longest when there are too many.
fn drop_longest_resting(resting: &mut HashMap<SocketAddr, Vec<Connection>>, most: usize) {
    let count: usize = resting.values().map(Vec::len).sum();
    if count <= most {
        return;
    }
    // The first one of an address has rested longest there.
    let first = |kept: &[Connection]| kept.first().map(|connection| connection.rests_since);
    let longest = resting
        .iter()
        .filter_map(|(address, kept)| Some((first(kept)?, *address)))
        .min();
    let Some((_, address)) = longest else {
        return;
    };
    if let Some(kept) = resting.get_mut(&address) {
        kept.remove(0);
        if kept.is_empty() {
            resting.remove(&address);
        }
    }
}

/// How long the other side lets a connection rest, with a margin.
fn rest(head: &Parts) -> Duration {
    let told = head
        .headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            let fields = text.split(',');
            fields
                .filter_map(|field| field.trim().strip_prefix("timeout="))
                .find_map(|seconds| seconds.trim().parse::<u64>().ok())
        });
    told.map_or(DEFAULT_REST, |seconds| {
        Duration::from_secs(seconds) * REST_PERCENT / 100
    })
}

/// Whether a connection ended since the other side acknowledged nothing for long.
fn is_unacknowledged(error: &hyper::Error) -> bool {
    let cause = error.source();
    let cause = cause.and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}

async fn connect(
    address: SocketAddr,
    unacknowledged_for: Option<Duration>,
) -> Result<Connection, CallFailure> {
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(CallFailure::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(CallFailure::Unconnected),
    };
    prepare(&stream);
    reset_when_closed(&stream);
    if let Some(limit) = unacknowledged_for {
        end_when_unacknowledged(&stream, limit);
    }
    let (sender, connection) = http1::Builder::new()
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
        .await
        .map_err(|_| CallFailure::Unsent)?;
    let driver = tokio::task::spawn_local(async move {
        // Its failure shows in the call that uses it.
        let _ = connection.await;
    });
    tokio::time::sleep(RESET_WAIT).await;
    if sender.is_closed() {
        return Err(CallFailure::Unconnected);
    }
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
        address,
        rests_since: Instant::now(),
        usable_until: Instant::now(),
    })
}

async fn read(
    connection: Connection,
    response: Response<Incoming>,
    small: bool,
) -> Result<Answer, CallFailure> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, LONGEST_ANSWER)
        .collect()
        .await
        .map_err(|_| CallFailure::BrokenOff)?
        .to_bytes();
    let closes = head.headers.get_all(CONNECTION).iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.eq_ignore_ascii_case("close"))
    });
    Ok(Answer {
        head,
        body,
        connection,
        reusable: small && !closes,
    })
}
