//! How a call may be made, and how far it came.

use beamtray_clock::BootClock;
use beamtray_types::Time;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Rest after which a request that can't be repeated takes a new connection.
const UNREPEATABLE_MAX_IDLE: Duration = Duration::from_millis(200);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// No connection came up in time.
    ConnectFailed,
    /// The connection was refused.
    ConnectionRefused,
    /// The connection ended before anything was written.
    NotSent,
    /// It ended without a whole answer.
    ConnectionLost,
    /// It ended since the other side acknowledged nothing of what was written.
    AckTimeout,
}

/// Until when a call may be written, looked at right before it is: the process may have
/// stood still, or the machine have been suspended, while a connection came up.
#[derive(Debug)]
struct WriteDeadline {
    clock: Rc<BootClock>,
    end: Time,
}

/// How a call may be made, and how far it came.
#[derive(Debug)]
pub(crate) struct CallProgress {
    /// Longest rest of a connection that is used.
    pub(super) max_idle_time: Duration,
    /// The request is not written after this.
    write_deadline: Option<WriteDeadline>,
    /// Whether the request may have been written.
    pub(super) written: Cell<bool>,
    /// Whether that was on a connection that had been used before.
    pub(super) reused: Cell<bool>,
}

impl CallProgress {
    /// A call of what can be repeated: a connection that the other side forgot
    /// costs a repeat.
    pub fn repeatable() -> Self {
        Self {
            max_idle_time: Duration::MAX,
            write_deadline: None,
            written: Cell::new(false),
            reused: Cell::new(false),
        }
    }

    /// A call of what can't: the other side may forget a connection sooner than
    /// it tells, and nobody knows then whether the request ran.
    pub fn unrepeatable() -> Self {
        Self {
            max_idle_time: UNREPEATABLE_MAX_IDLE,
            write_deadline: None,
            written: Cell::new(false),
            reused: Cell::new(false),
        }
    }

    /// The same call, which must not be written after that: to connect may take longer
    /// than the right to say it lasts.
    pub fn with_write_deadline(self, clock: Rc<BootClock>, end: Time) -> Self {
        Self {
            write_deadline: Some(WriteDeadline { clock, end }),
            ..self
        }
    }

    pub(super) fn is_past_write_deadline(&self) -> bool {
        let deadline = self.write_deadline.as_ref();
        deadline.is_some_and(|deadline| deadline.clock.now() >= deadline.end)
    }

    /// Whether the request was written on a connection that had been used before.
    pub fn was_reused(&self) -> bool {
        self.reused.get()
    }

    /// Whether the request may have been written.
    pub fn may_have_been_written(&self) -> bool {
        self.written.get()
    }
}
