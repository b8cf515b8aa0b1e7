//! Options of the sockets that this node opens or accepts.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// How long written bytes may stay unacknowledged before the connection ends.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a dead path show within seconds.
pub(crate) fn configure_socket(stream: &TcpStream) {
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

/// Ends a connection whose written bytes stay unacknowledged for that long.
pub(super) fn set_ack_timeout(stream: &TcpStream, limit: Duration) {
    // Without it a call ends by its own time, and it is not known whether it arrived.
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(limit));
}

/// Has the kernel drop what it has not sent when the connection is closed, also when the
/// process is killed. After an ordinary close it goes on sending for as long as the path is
/// cut: an upstream took an order 6.2 s after it was written, 5.7 s after it was given up on.
/// Nothing that is wanted is lost by that: a connection is closed once the answer is read,
/// or when nobody waits for it any more.
pub(super) fn reset_on_close(stream: &TcpStream) {
    // Without it the fence of holders that lost their keys is what is left.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
