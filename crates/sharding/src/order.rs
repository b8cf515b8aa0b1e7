//! Orders to upstreams and their answers.

use crate::range::{KeyRange, ShardKey};
use crate::record::FencingToken;
use beamtray_catalog::UpstreamId;
use std::time::Duration;

/// What the last holder gave back with the keys; the next holder is faster
/// with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover(pub String);

/// Tells one order from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What an upstream is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Hold the keys for some time.
    Grant {
        /// How long, from the arrival of the order.
        hold: Duration,
        /// From the last holder.
        handover: Option<Handover>,
    },
    /// Give the keys back; the answer comes when work on them has ended.
    Release,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOrder {
    /// Tells it from others.
    pub call: CallId,
    /// The upstream.
    pub holder: UpstreamId,
    /// The keys.
    pub range: KeyRange,
    /// The token.
    pub token: FencingToken,
    /// What to do.
    pub kind: OrderKind,
}

impl GrantOrder {
    /// A question to the holder of a grant: the release of a key that it does not hold. Its
    /// answer tells that the process reads orders now, and it gives nothing.
    pub fn liveness_probe(&self, key_held_by_other: ShardKey) -> Self {
        Self {
            call: self.call,
            holder: self.holder.clone(),
            range: KeyRange {
                first: key_held_by_other,
                last: key_held_by_other,
            },
            token: PROBE_TOKEN,
            kind: OrderKind::Release,
        }
    }
}

/// Below all tokens of grants, so that a question that is read late outdates none.
const PROBE_TOKEN: FencingToken = FencingToken(1);

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantReply {
    /// The upstream holds the keys.
    Granted,
    /// It has seen a higher token on one of them.
    Outdated,
    /// It gave the keys back; no work on them is left.
    Released(Option<Handover>),
    /// Another incarnation has the address: the one that was meant is gone.
    Replaced,
    /// The upstream refused the order without a known reason.
    Rejected,
    /// No connection came up, so the order was not sent.
    Undelivered,
    /// No answer came, and the connection never acknowledged the order. It may have been
    /// taken; what is left of it ends with the connection.
    Unanswered,
    /// No answer came, and the order may be at the upstream, which may carry it out at any
    /// time of the lifetime of orders.
    InDoubt,
    /// The same, and its connection ended: the upstream may have restarted.
    BrokenOff,
}
