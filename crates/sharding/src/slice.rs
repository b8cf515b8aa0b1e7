//! One slice as the granter runs it.

use crate::order::{CallId, Handover};
use crate::range::KeyRange;
use crate::record::{FencingToken, SliceRecord, SliceState};
use beamtray_catalog::{UpstreamId, UpstreamName};
use beamtray_types::Time;
use std::time::Duration;

/// What becomes of a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nobody holds it.
    Free { handover: Option<Handover> },
    /// An upstream holds it, or is to hold it.
    Held {
        holder: UpstreamId,
        token: FencingToken,
        /// Handed to the holder until it has taken the first grant.
        handover: Option<Handover>,
    },
    /// It is being taken back.
    Leaving {
        holder: UpstreamId,
        token: FencingToken,
        /// Token of the release: once answered, no older grant is taken.
        release: FencingToken,
        /// Who is to have it next, when that is decided.
        next: Option<UpstreamId>,
    },
}

/// Why a slice lost its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The holder did not answer.
    Silent,
    /// It was shown to have ended.
    Ended,
    /// It leaves, or its registration is gone.
    Left,
    /// The slice goes to an upstream that can do more.
    Balance,
}

/// A slice that has no owner, or is about to lose it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unowned {
    pub cause: LossCause,
    /// Since when requests for it may go unserved.
    pub since: Time,
}

/// A slice that has an owner again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedAgain {
    /// The keys.
    pub range: KeyRange,
    /// Why they had none.
    pub cause: LossCause,
    /// For how long.
    pub after: Duration,
}

/// Which tokens of a block were given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockUse {
    /// So many of this granter's own block, from its first one on.
    Used(u64),
    /// Those of the granter before, which is not told; not the last one, unless a standby did.
    Inherited,
    /// All of them.
    UsedUp,
}

impl Default for BlockUse {
    fn default() -> Self {
        Self::Used(0)
    }
}

/// A grant may lie with an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    /// The upstream: all processes that have its name, one after the other.
    pub upstream: UpstreamName,
    /// When the grant has run out for certain.
    pub until: Time,
}

/// One slice as the granter runs it.
#[derive(Clone, Debug)]
pub(crate) struct Slice {
    pub range: KeyRange,
    pub phase: Phase,
    /// Sequence of the record that first tells this phase.
    pub recorded_in: u64,
    /// Which tokens of the holder's block were given.
    pub tokens: BlockUse,
    /// After this no grant that was answered, or could have been, is in force.
    pub expires_at: Time,
    /// Order under way.
    pub pending_call: Option<CallId>,
    /// When the next order is due.
    pub due_at: Time,
    /// When the slice was last moved or split.
    pub changed_at: Time,
    /// Set from its loss to the first answered grant of the next holder.
    pub unowned: Option<Unowned>,
    /// A grant may lie with the holder, or with the one that the keys were taken from.
    pub doubt: Option<Doubt>,
    /// Whether the keys are known to wait for that.
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

    /// Puts another token in force that its holder has not seen.
    pub fn set_token(&mut self, fresh: FencingToken) {
        if let Phase::Held { token, .. } = &mut self.phase {
            *token = fresh;
            self.tokens = BlockUse::default();
        }
    }

    /// Puts it in another phase.
    pub fn set_phase(&mut self, phase: Phase) {
        self.awaits_doubt_end = false;
        self.phase = phase;
        self.tokens = BlockUse::default();
    }

    /// The token under which it is held, or is to be.
    pub fn token(&self) -> Option<FencingToken> {
        match &self.phase {
            Phase::Held { token, .. } | Phase::Leaving { token, .. } => Some(*token),
            Phase::Free { .. } => None,
        }
    }

    /// Who holds it, is to hold it, or is to give it back.
    pub fn current_holder(&self) -> Option<&UpstreamId> {
        match &self.phase {
            Phase::Held { holder, .. } | Phase::Leaving { holder, .. } => Some(holder),
            Phase::Free { .. } => None,
        }
    }

    /// Who is to have it once it is given back, when that is decided.
    pub fn next_holder(&self) -> Option<&UpstreamId> {
        match &self.phase {
            Phase::Leaving { next, .. } => next.as_ref(),
            Phase::Held { .. } | Phase::Free { .. } => None,
        }
    }

    /// Who holds it, or is to hold it.
    pub fn holder(&self) -> Option<&UpstreamId> {
        match &self.phase {
            Phase::Held { holder, .. } => Some(holder),
            Phase::Free { .. } | Phase::Leaving { .. } => None,
        }
    }
}
