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
    /// The same, and it had been used before: another process may listen there now.
    Ended,
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
    /// Whether the end of a resting connection ends the call.
    pub(super) ends_with_connection: bool,
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
