//! State of one slice in the granter.

use crate::order::{CallId, Handover};
use crate::range::KeyRange;
use crate::record::{FencingToken, SliceRecord, SliceState};
use beamtray_catalog::{UpstreamId, UpstreamName};
use beamtray_types::Time;
use std::time::Duration;

/// Ownership phase of a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nobody holds it.
    Free { handover: Option<Handover> },
    /// An upstream holds it, or has been chosen to.
    Held {
        holder: UpstreamId,
        token: FencingToken,
        /// Passed to the holder with each grant until it accepts the first one.
        handover: Option<Handover>,
    },
    /// It is being revoked.
    Leaving {
        holder: UpstreamId,
        token: FencingToken,
        /// Token of the release. An upstream that has answered it refuses all older grants.
        release: FencingToken,
        /// The next holder, if already chosen.
        next: Option<UpstreamId>,
    },
}

/// Why a slice lost its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The holder did not reply.
    Silent,
    /// The holder is known to have terminated.
    Terminated,
    /// The holder is draining, or its registration has expired or was removed.
    Left,
    /// The slice moves to an upstream with more spare capacity.
    Balance,
}

/// An interval without an owner, current or imminent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unowned {
    pub cause: LossCause,
    /// Since when requests for the slice may go unserved.
    pub since: Time,
}

/// Keys that have an owner again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedAgain {
    /// The keys.
    pub range: KeyRange,
    /// Why they had no owner.
    pub cause: LossCause,
    /// How long they had no owner.
    pub after: Duration,
}

/// Which tokens of a block have been used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockUse {
    /// The first so many tokens of a block of this granter.
    Used(u64),
    /// Tokens used by the previous granter, whose number is unknown. The last token is unused
    /// unless a standby used it.
    Inherited,
    /// All tokens.
    UsedUp,
}

impl Default for BlockUse {
    fn default() -> Self {
        Self::Used(0)
    }
}

/// A grant that its upstream may still execute.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    /// The upstream, meaning all processes that run under its name, one after the other.
    pub upstream: UpstreamName,
    /// When the grant has certainly expired.
    pub until: Time,
}

/// State of one slice in the granter.
#[derive(Clone, Debug)]
pub(crate) struct Slice {
    pub range: KeyRange,
    pub phase: Phase,
    /// Sequence number of the first record that contains the current phase.
    pub recorded_in: u64,
    /// Which tokens of the holder's block have been used.
    pub tokens: BlockUse,
    /// When all grants that were or may have been accepted have expired.
    pub expires_at: Time,
    /// The pending order.
    pub pending_call: Option<CallId>,
    /// When the next order is due.
    pub due_at: Time,
    /// When the slice last changed hands or began to.
    pub changed_at: Time,
    /// Set from the loss of the holder until the next holder accepts its first grant.
    pub unowned: Option<Unowned>,
    /// Set while the holder, or the previous one, may still execute a grant.
    pub doubt: Option<Doubt>,
    /// Set while the holder has executed no order under a token of this term and may execute
    /// a grant of an earlier one: when no such grant can be in force any more.
    pub unconfirmed_until: Option<Time>,
    /// Whether the assignment of the keys is known to wait for that grant to expire.
    pub awaits_doubt_end: bool,
}

impl Slice {
    pub fn record(&self) -> SliceRecord {
        let state = match &self.phase {
            Phase::Free { .. } => SliceState::Free,
            Phase::Held { holder, token, .. } => SliceState::Held {
                holder: holder.clone(),
                token: *token,
            },
            Phase::Leaving { holder, token, .. } => SliceState::Leaving {
                holder: holder.clone(),
                token: *token,
            },
        };
        SliceRecord {
            range: self.range,
            state,
        }
    }

    /// Sets a token that the holder has not seen yet.
    pub fn set_token(&mut self, fresh: FencingToken) {
        if let Phase::Held { token, .. } = &mut self.phase {
            *token = fresh;
            self.tokens = BlockUse::default();
        }
    }

    /// Enters another phase.
    pub fn set_phase(&mut self, phase: Phase) {
        self.awaits_doubt_end = false;
        if matches!(phase, Phase::Free { .. }) {
            self.unconfirmed_until = None;
        }
        self.phase = phase;
        self.tokens = BlockUse::default();
    }

    /// The token under which the slice is held, or is to be held.
    pub fn token(&self) -> Option<FencingToken> {
        match &self.phase {
            Phase::Held { token, .. } | Phase::Leaving { token, .. } => Some(*token),
            Phase::Free { .. } => None,
        }
    }

    /// The upstream that holds it, is to hold it, or is asked to give it back.
    pub fn current_holder(&self) -> Option<&UpstreamId> {
        match &self.phase {
            Phase::Held { holder, .. } | Phase::Leaving { holder, .. } => Some(holder),
            Phase::Free { .. } => None,
        }
    }

    /// The holder that follows after the release, if already chosen.
    pub fn next_holder(&self) -> Option<&UpstreamId> {
        match &self.phase {
            Phase::Leaving { next, .. } => next.as_ref(),
            Phase::Held { .. } | Phase::Free { .. } => None,
        }
    }

    /// The upstream that holds it or is to hold it.
    pub fn holder(&self) -> Option<&UpstreamId> {
        match &self.phase {
            Phase::Held { holder, .. } => Some(holder),
            Phase::Free { .. } | Phase::Leaving { .. } => None,
        }
    }
}
