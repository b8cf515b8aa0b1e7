//! The sendings of a request, for the line that tells how the request ended.
//!
//! From the id of a request alone, its last line has to show for each sending whether it was
//! written, to which connection, and what proved that it did not run. Without that, a promise that
//! the request did not run can't be checked afterwards.

use crate::shell::connections::{CallProgress, ConnectionNumber};
use std::cell::RefCell;
use std::fmt;

/// Sendings that are kept of a request. Those that found no connection can be many.
const MAX_KEPT: usize = 8;

/// One sending of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending {
    /// Number of the attempt, as in its lines.
    pub attempt: u32,
    /// The connection, if there was one.
    pub connection: Option<ConnectionNumber>,
    /// Whether the connection had been used before.
    pub reused: bool,
    /// Whether the request may have been written.
    pub written: bool,
    /// How the sending ended: the proof that it did not run, or why that is unknown.
    pub ended: &'static str,
}

impl Sending {
    /// The sending that a call made.
    pub fn of_call(attempt: u32, progress: &CallProgress, ended: &'static str) -> Self {
        Self {
            attempt,
            connection: progress.connection(),
            reused: progress.was_reused(),
            written: progress.may_have_been_written(),
            ended,
        }
    }

    /// Whether the connection was new or reused, or that there was none.
    pub fn connection_kind(&self) -> &'static str {
        match (self.connection, self.reused) {
            (None, _) => "none",
            (Some(_), false) => "new",
            (Some(_), true) => "reused",
        }
    }
}

impl fmt::Display for Sending {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.attempt, self.connection_kind())?;
        if let Some(connection) = self.connection {
            write!(formatter, "#{}", connection.0)?;
        }
        let written = if self.written { "written" } else { "unwritten" };
        write!(formatter, ":{written}:{}", self.ended)
    }
}

/// The last sendings of a request.
#[derive(Debug, Default)]
pub(crate) struct Sendings {
    kept: RefCell<Vec<Sending>>,
}

impl Sendings {
    /// Adds a sending that has ended.
    pub fn record(&self, sending: Sending) {
        let mut kept = self.kept.borrow_mut();
        if kept.len() == MAX_KEPT {
            kept.remove(0);
        }
        kept.push(sending);
    }
}

impl fmt::Display for Sendings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kept = self.kept.borrow();
        if kept.is_empty() {
            return write!(formatter, "none");
        }
        for (index, sending) in kept.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(formatter, "{separator}{sending}")?;
        }
        Ok(())
    }
}
