//! Upstreams that ask for rest.

use std::time::Duration;

/// What an upstream that turned a request away says of when it wants another one from the
/// node that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// It says nothing of it.
    Unspecified,
    /// It wants none for so long.
    Delay(Duration),
    /// It says something that is no time; nothing is learned of that.
    Unreadable,
}
