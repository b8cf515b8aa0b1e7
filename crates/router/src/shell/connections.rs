//! Connections that this node opens, kept for further calls.

use beamtray_clock::BootClock;
use beamtray_types::Time;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONNECTION;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long a connection may take to come up.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long written bytes may stay unacknowledged before the connection ends.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// After a connection came up, a reset by an upstream that has too many of them
/// is waited for. A request written before it came could not be told from one
/// that ran.
const RESET_WAIT: Duration = Duration::from_millis(1);
/// Rest after which a connection is not used again, when the other side does
/// not tell.
const DEFAULT_REST: Duration = Duration::from_secs(3);
/// Part of the rest that the other side allows.
const REST_PERCENT: u32 = 50;
/// Rest after which a request that can't be repeated takes a new connection.
const SAFE_REST: Duration = Duration::from_millis(200);
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

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// No connection came up in time.
    Unconnected,
    /// The connection was refused.
    Refused,
    /// The connection ended before anything was written.
    Unsent,
    /// It ended without a whole answer.
    BrokenOff,
}

/// Until when a call may be written, looked at right before it is: the process may have
/// stood still, or the machine have been suspended, while a connection came up.
#[derive(Debug)]
struct WriteBefore {
    clock: Rc<BootClock>,
    end: Time,
}

/// How a call may be made, and how far it came.
#[derive(Debug)]
pub(crate) struct CallProgress {
    /// Longest rest of a connection that is used.
    longest_rest: Duration,
    /// Whether the end of a resting connection ends the call.
    ends_with_connection: bool,
    /// The request is not written after this.
    write_before: Option<WriteBefore>,
    /// Whether the request may have been written.
    written: Cell<bool>,
    /// Whether that was on a connection that had been used before.
    rested: Cell<bool>,
}

impl CallProgress {
    /// A call of what can be repeated: a connection that the other side forgot
    /// costs a repeat.
    pub fn repeatable() -> Self {
        Self {
            longest_rest: Duration::MAX,
            ends_with_connection: false,
            write_before: None,
            written: Cell::new(false),
            rested: Cell::new(false),
        }
    }

    /// A call of what can't: the other side may forget a connection sooner than
    /// it tells, and nobody knows then whether the request ran.
    pub fn unrepeatable() -> Self {
        Self {
            longest_rest: SAFE_REST,
            ends_with_connection: false,
            write_before: None,
            written: Cell::new(false),
            rested: Cell::new(false),
        }
    }

    /// The same call, which must not be written after that: to connect may take longer
    /// than the right to say it lasts.
    pub fn before(self, clock: Rc<BootClock>, end: Time) -> Self {
        Self {
            write_before: Some(WriteBefore { clock, end }),
            ..self
        }
    }

    /// The same call, which is not made on a new connection if the one that rested has
    /// ended meanwhile: another process may listen at the address.
    pub fn of_one_process(self) -> Self {
        Self {
            ends_with_connection: true,
            ..self
        }
    }

    fn is_too_late(&self) -> bool {
        let before = self.write_before.as_ref();
        before.is_some_and(|before| before.clock.now() >= before.end)
    }

    /// Whether the request was written on a connection that had been used before.
    pub fn was_rested(&self) -> bool {
        self.rested.get()
    }

    /// Whether the request may have been written.
    pub fn may_be_written(&self) -> bool {
        self.written.get()
    }
}

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

/// What was found among the connections that rest.
enum Resting {
    Usable(Connection),
    /// None but some that the other side ended before their time.
    Ended,
    None,
}

/// Connections that rest.
#[derive(Default)]
pub(crate) struct Connections {
    resting: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    distrusted: RefCell<HashMap<SocketAddr, Instant>>,
    gives_orders: Cell<bool>,
}

impl Connections {
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
                Resting::Usable(connection) => (connection, true),
                Resting::Ended if progress.ends_with_connection => {
                    return Err(CallFailure::Unsent);
                }
                Resting::Ended | Resting::None => (connect(address).await?, false),
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
                    Some(unsent) if rested && !progress.ends_with_connection => {
                        progress.written.set(false);
                        request = unsent;
                    }
                    Some(_) => {
                        progress.written.set(false);
                        return Err(CallFailure::Unsent);
                    }
                    None => return Err(CallFailure::BrokenOff),
                },
            }
        }
    }

    fn take(&self, address: SocketAddr, longest_rest: Duration) -> Resting {
        let mut resting = self.resting.borrow_mut();
        let Some(kept) = resting.get_mut(&address) else {
            return Resting::None;
        };
        let now = Instant::now();
        // The last one has rested the shortest time.
        let rested = kept.last().map(|last| last.rests_since);
        let rested = rested.map(|since| now.saturating_duration_since(since));
        if rested.is_none_or(|rested| rested > longest_rest) {
            return Resting::None;
        }
        let mut found = Resting::None;
        while let Some(connection) = kept.pop() {
            if connection.usable_until <= now {
                continue;
            }
            if connection.sender.is_ready() {
                return Resting::Usable(connection);
            }
            found = Resting::Ended;
        }
        found
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

async fn connect(address: SocketAddr) -> Result<Connection, CallFailure> {
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(CallFailure::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(CallFailure::Unconnected),
    };
    prepare(&stream);
    reset_when_closed(&stream);
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

/// Makes a dead path show within seconds.
pub(crate) fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    // A socket without these options still works, only slower to notice.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Has the kernel drop what it has not sent when the connection is closed, also when the
/// process is killed. After an ordinary close it goes on sending for as long as the path is
/// cut: an upstream took an order 6.2 s after it was written, 5.7 s after it was given up on.
/// Nothing that is wanted is lost by that: a connection is closed once the answer is read,
/// or when nobody waits for it any more.
fn reset_when_closed(stream: &TcpStream) {
    // Without it the fence of holders that lost their keys is what is left.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
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
