//! Orders on their way, and how long a copy of one may live.

use beamtray_sharding::GrantOrder;
use beamtray_types::Time;
use std::time::Duration;

/// How long a copy of an order that got no answer may still take effect.
///
/// While the sender waits for the answer, or stands still, a copy may arrive at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// After the sender gave the call up. None: no bound.
    pub after_timeout: Option<Duration>,
    /// After the sender's process ended. None: no bound.
    pub after_process_exit: Option<Duration>,
    /// Whether a copy that was written to an upstream reaches the next process at its
    /// address. A connection doesn't: its segments are answered with a reset.
    pub reaches_next_process: bool,
}

impl Transport {
    /// The connection is closed in the ordinary way: the kernel goes on sending what was
    /// written, so a copy may arrive at any later time.
    pub const PLAIN_CLOSE: Transport = Transport {
        after_timeout: None,
        after_process_exit: None,
        reaches_next_process: true,
    };

    /// The connection is reset, also by the end of the process: nothing is sent any more,
    /// and what is on the wire arrives within `transit`.
    pub fn reset(transit: Duration) -> Transport {
        Transport {
            after_timeout: Some(transit),
            after_process_exit: Some(transit),
            reaches_next_process: true,
        }
    }
}

/// The process that wrote an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Term(pub u64);

/// A copy of an order that has not arrived.
#[derive(Clone, Debug)]
pub(crate) struct DelayedCopy {
    pub order: GrantOrder,
    pub sender: Term,
    /// The last moment at which it may arrive; none while that is not bounded.
    pub until: Option<Time>,
    pub location: CopyLocation,
}

/// Where a copy is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyLocation {
    /// On its way: what becomes of path and sender concerns it.
    Path,
    /// At the upstream, which has not carried it out yet.
    Upstream,
    /// In the buffers of an upstream that stands still: it carries it out as it goes on.
    ReceiveBuffer,
}

/// How a call ends if no answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// No connection came up: the order was not sent.
    Undelivered,
    /// It was sent, and never acknowledged.
    Unanswered,
    /// It came to the upstream's machine, which acknowledged it.
    InDoubt,
}

/// An order whose answer the granter waits for.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub order: GrantOrder,
    pub deadline: Time,
    pub failure: CallFailure,
}
