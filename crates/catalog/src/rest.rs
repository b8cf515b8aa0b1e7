//! Upstreams that ask for rest.

use std::time::Duration;

/// What an upstream that turned a request away says of when it wants another one from the
/// node that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestWord {
    /// It says nothing of it.
    Unsaid,
    /// It wants none for so long.
    Rest(Duration),
    /// It says something that is no time; nothing is learned of that.
    Unreadable,
}
