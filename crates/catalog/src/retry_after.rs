//! Retry delays requested by upstreams.

use std::time::Duration;

/// When an upstream that rejected a request accepts the next one from the same node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// The response names no delay.
    Unspecified,
    /// Send no requests for this long.
    Delay(Duration),
    /// The value is not a valid delay and is ignored.
    Unreadable,
}
