//! Orders sent to upstreams, and their replies.

use crate::range::{KeyRange, ShardKey};
use crate::record::FencingToken;
use beamtray_catalog::UpstreamId;
use std::time::Duration;

/// State that the previous holder returned with the keys, passed on so that the next holder
/// warms up faster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover(pub String);

/// Identifies an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What an upstream is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Hold the keys for a limited time.
    Grant {
        /// Duration of the grant, counted from the arrival of the order.
        hold: Duration,
        /// State returned by the previous holder.
        handover: Option<Handover>,
    },
    /// Give the keys back; the reply is sent when all work on them has ended.
    Release,
}

/// An order to one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOrder {
    /// Identifies the order.
    pub call: CallId,
    /// The upstream that receives it.
    pub holder: UpstreamId,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub token: FencingToken,
    /// What to do.
    pub kind: OrderKind,
}

impl GrantOrder {
    /// A liveness probe for the holder of a grant: the release of a key that it does not
    /// hold. A reply shows that the process reads orders now; the probe itself changes
    /// nothing.
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

/// Lower than the token of any grant, so that a probe that is read late invalidates no grant.
const PROBE_TOKEN: FencingToken = FencingToken(1);

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantReply {
    /// The upstream holds the keys.
    Granted,
    /// The upstream has seen a higher token on one of the keys.
    Outdated,
    /// The upstream gave the keys back; no work on them is left.
    Released(Option<Handover>),
    /// Another incarnation listens at the address: the addressed one has terminated.
    Replaced,
    /// The upstream refused the order for an unknown reason.
    Rejected,
    /// No connection was established, so the order was not sent.
    Undelivered,
    /// As `Undelivered`: the machine was reached, and nothing listened at the address.
    Refused,
    /// As `Undelivered`: this node has never known the address of the upstream.
    NoAddress,
    /// No reply, and the order was never acknowledged at the connection level. It may have
    /// been received; what remains of it ends with the connection.
    Unanswered,
    /// No reply, and the order may have reached the upstream, which may execute it at any
    /// time within the lifetime of orders.
    InDoubt,
    /// As `InDoubt`, and the connection ended: the upstream may have restarted.
    BrokenOff,
}

impl GrantReply {
    /// Whether the order reached nobody, and one sent soon after would not either.
    pub(crate) fn is_nobody_there(&self) -> bool {
        matches!(self, Self::Refused | Self::NoAddress)
    }
}
