//! How a call may be made, and how far it came.

use beamtray_clock::BootClock;
use beamtray_types::Time;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Rest after which a request that can't be repeated takes a new connection.
const SAFE_REST: Duration = Duration::from_millis(200);

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
    /// It ended since the other side acknowledged nothing of what was written.
    Unacknowledged,
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
    pub(super) longest_rest: Duration,
    /// The request is not written after this.
    write_before: Option<WriteBefore>,
    /// Whether the request may have been written.
    pub(super) written: Cell<bool>,
    /// Whether that was on a connection that had been used before.
    pub(super) rested: Cell<bool>,
}

impl CallProgress {
    /// A call of what can be repeated: a connection that the other side forgot
    /// costs a repeat.
    pub fn repeatable() -> Self {
        Self {
            longest_rest: Duration::MAX,
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

    pub(super) fn is_too_late(&self) -> bool {
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
