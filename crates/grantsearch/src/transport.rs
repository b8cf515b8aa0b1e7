//! Orders in flight, and how long copies of them may live.

use beamtray_sharding::GrantOrder;
use beamtray_types::Time;
use std::time::Duration;

/// How long a copy of an unanswered order may still take effect.
///
/// While the sender waits for the reply, or is paused, a copy may arrive at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// Bound after the sender's call times out. `None`: unbounded.
    pub after_timeout: Option<Duration>,
    /// Bound after the sender's process exits. `None`: unbounded.
    pub after_process_exit: Option<Duration>,
    /// Whether a copy that was sent to an upstream reaches the next process at the same
    /// address. A TCP connection does not: its segments are answered with a reset.
    pub reaches_next_process: bool,
}

impl Transport {
    /// The connection is closed without a reset: the kernel keeps retransmitting what was
    /// written, so a copy may arrive at any later time.
    pub const PLAIN_CLOSE: Transport = Transport {
        after_timeout: None,
        after_process_exit: None,
        reaches_next_process: true,
    };

    /// The connection is reset, also when the process exits: nothing more is sent,
    /// and segments in flight arrive within `transit`.
    pub fn reset(transit: Duration) -> Transport {
        Transport {
            after_timeout: Some(transit),
            after_process_exit: Some(transit),
            reaches_next_process: true,
        }
    }
}

/// Term of the granter process that sent an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Term(pub u64);

/// A copy of an order that has not been executed yet.
#[derive(Clone, Debug)]
pub(crate) struct DelayedCopy {
    pub order: GrantOrder,
    pub sender: Term,
    /// Latest time at which it may arrive; `None` while unbounded.
    pub until: Option<Time>,
    pub location: CopyLocation,
}

/// Where a copy is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyLocation {
    /// In the network, where it is affected by the state of the path and the sender.
    Path,
    /// Read by the upstream, which has not executed it yet.
    Upstream,
    /// In the receive buffer of a paused upstream, which executes it when it resumes.
    ReceiveBuffer,
}

/// How a call ends if no reply arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The connection was not established, so the order was not sent.
    Undelivered,
    /// The order was sent and not acknowledged.
    Unanswered,
    /// The order reached the upstream's machine, which acknowledged it.
    InDoubt,
}

/// An order whose reply the granter is waiting for.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub order: GrantOrder,
    pub deadline: Time,
    pub failure: CallFailure,
}
