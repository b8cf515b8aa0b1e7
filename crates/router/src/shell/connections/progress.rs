//! Constraints and progress of a call.

use crate::shell::tunnel::TunnelFailure;
use beamtray_clock::BootClock;
use beamtray_dispatch::{GatewayFailure, Sending};
use beamtray_resources::Purpose;
use beamtray_types::Time;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Longest idle time of a connection that is reused for a request that must not be repeated.
const UNREPEATABLE_MAX_IDLE: Duration = Duration::from_millis(200);

/// Reasons why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// No connection could be opened in time.
    ConnectFailed,
    /// The connection was refused.
    ConnectionRefused,
    /// No connection was opened through another node.
    Gateway(GatewayFailure),
    /// The request was not written.
    NotSent,
    /// The connection ended before a complete response.
    ConnectionLost,
    /// The response has more bytes than may be held.
    AnswerTooLarge,
    /// The connection ended because the other side did not acknowledge what was written.
    AckTimeout,
}

impl From<TunnelFailure> for CallFailure {
    fn from(failure: TunnelFailure) -> Self {
        match failure {
            TunnelFailure::Gateway(failure) => Self::Gateway(failure),
            TunnelFailure::Closed => Self::ConnectFailed,
        }
    }
}

/// Time after which a call must not be written. It is checked right before the write, since
/// the process may have been paused or the machine suspended while the connection was opened.
#[derive(Debug)]
struct WriteDeadline {
    clock: Rc<BootClock>,
    end: Time,
}

/// Number of a connection, unique within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionNumber(pub u64);

/// Hash of the id of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestDigest(u64);

impl RequestDigest {
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

/// Constraints and progress of a call.
#[derive(Debug)]
pub(crate) struct CallProgress {
    /// Longest idle time of a connection that is reused.
    pub(super) max_idle_time: Duration,
    /// The client's request that is sent, if it is one.
    pub(super) request: Option<RequestDigest>,
    /// What the memory of its answer is held for.
    pub(super) purpose: Purpose,
    /// The request is not written after this.
    write_deadline: Option<WriteDeadline>,
    /// Whether the request may have been written.
    pub(super) written: Cell<bool>,
    /// Whether it was written to a reused connection.
    pub(super) reused: Cell<bool>,
    /// Whether the same request was rejected on that connection before.
    pub(super) rejected_there: Cell<bool>,
    /// The connection that the call was given last, if any.
    pub(super) connection: Cell<Option<ConnectionNumber>>,
    /// Whether the last new connection that was tried was opened; `None` if none was tried, or if
    /// it failed for a local reason.
    pub(super) opened: Cell<Option<bool>>,
}

impl CallProgress {
    /// A call that can be repeated: a stale connection costs one retry.
    pub fn repeatable() -> Self {
        Self {
            max_idle_time: Duration::MAX,
            request: None,
            purpose: Purpose::Answer,
            write_deadline: None,
            written: Cell::new(false),
            reused: Cell::new(false),
            rejected_there: Cell::new(false),
            connection: Cell::new(None),
            opened: Cell::new(None),
        }
    }

    /// A call that must not be repeated: the other side may close an idle connection sooner
    /// than it announced, and then it is unknown whether the request ran.
    pub fn unrepeatable() -> Self {
        Self {
            max_idle_time: UNREPEATABLE_MAX_IDLE,
            request: None,
            purpose: Purpose::Answer,
            write_deadline: None,
            written: Cell::new(false),
            reused: Cell::new(false),
            rejected_there: Cell::new(false),
            connection: Cell::new(None),
            opened: Cell::new(None),
        }
    }

    /// Sends a client's request: on a connection on which it was not rejected before.
    pub fn for_request(self, id: &str) -> Self {
        Self {
            request: Some(RequestDigest::of(id)),
            ..self
        }
    }

    /// Reads the answer of the store or of a key holder, for which memory is reserved.
    pub fn for_system(self) -> Self {
        Self {
            purpose: Purpose::System,
            ..self
        }
    }

    /// What is known of the sending.
    pub fn sending(&self) -> Sending {
        Sending {
            is_written: self.written.get(),
            was_rejected_there: self.rejected_there.get(),
        }
    }

    /// Forbids writing the call from `end` on: connecting may take longer than the call stays
    /// valid.
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

    /// Whether the request was written to a reused connection.
    pub fn was_reused(&self) -> bool {
        self.reused.get()
    }

    /// The connection that the request was sent on, or would have been.
    pub fn connection(&self) -> Option<ConnectionNumber> {
        self.connection.get()
    }

    /// Whether a new connection was opened, if one was tried.
    pub fn connection_opened(&self) -> Option<bool> {
        self.opened.get()
    }

    /// Whether the request may have been written.
    pub fn may_have_been_written(&self) -> bool {
        self.written.get()
    }
}
