//! Who holds the keys of one divided service.

use crate::lost_holders::UnfencedUpstream;
use crate::range::{KeyRange, ShardKey};
use crate::standby::StandbyId;
use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;

/// Bits of a token that count within one epoch: blocks of tokens, and orders within a block.
const COUNTER_BITS: u32 = 32;
/// Bits of those that count orders within a block.
const ORDER_BITS: u32 = 10;
/// Number of the last token of a block.
const LAST_IN_BLOCK: u64 = (1 << ORDER_BITS) - 1;

/// Orders the holders of a key: a later holder has a higher token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The `counter`-th token of a granter's term. Above every token of the
    /// terms before.
    pub fn new(epoch: Epoch, counter: u64) -> Self {
        Self((epoch.0 << COUNTER_BITS) + counter)
    }

    /// The last token of the `block`-th block of a term. Records name blocks by it, and
    /// whoever gives orders by a record alone has no other token of the block.
    pub(crate) fn last_in_block(epoch: Epoch, block: u64) -> Self {
        Self::new(epoch, (block << ORDER_BITS) + LAST_IN_BLOCK)
    }

    /// The token of the `number`-th order under a block, by the last token of the block; none
    /// if the block has only its last token left.
    pub(crate) fn nth_in_block(self, number: u64) -> Option<Self> {
        let first = self.0.saturating_sub(LAST_IN_BLOCK);
        (number < LAST_IN_BLOCK).then_some(Self(first + number))
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Who may work on the keys of a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SliceState {
    /// Nobody.
    Free,
    /// One upstream.
    Held {
        /// The upstream.
        holder: UpstreamId,
        /// Its token.
        token: FencingToken,
    },
    /// An upstream that is being asked to give the keys back. It gets no new
    /// requests; nobody else gets the keys before it released them or its
    /// grant ran out.
    Leaving {
        /// The upstream.
        holder: UpstreamId,
        /// Its token.
        token: FencingToken,
    },
}

/// One contiguous range of keys and who may work on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceRecord {
    /// The keys.
    pub range: KeyRange,
    /// Who may work on them.
    pub state: SliceState,
}

/// Tells one record of a service from the others; a later one is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct RecordNumber {
    /// Term of the granter that wrote it.
    pub epoch: Epoch,
    /// Counts the records of a term.
    pub sequence: u64,
}

/// Keys that go to nobody for a while unless they are given back.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DoubtedKeys {
    /// The keys.
    pub range: KeyRange,
    /// For how long at most, in milliseconds from when the record was written.
    pub left_ms: u32,
}

/// All slices of one service, in the order of their keys, without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentRecord {
    /// Term of the granter that wrote it.
    pub epoch: Epoch,
    /// Counts the records of a term.
    pub sequence: u64,
    /// Nodes that may prolong the holds while there is no granter.
    pub standbys: Vec<StandbyId>,
    /// Upstreams that may still take old grants of keys that they lost.
    pub unfenced: Vec<UnfencedUpstream>,
    /// Keys of which a grant may lie with an upstream, or be in force unseen.
    pub doubted: Vec<DoubtedKeys>,
    /// The slices.
    pub slices: Vec<SliceRecord>,
}

impl AssignmentRecord {
    /// Tells it from other records of the service.
    pub fn number(&self) -> RecordNumber {
        RecordNumber {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// The slice of a key.
    pub fn slice(&self, key: ShardKey) -> Option<&SliceRecord> {
        let above = self
            .slices
            .partition_point(|slice| slice.range.first <= key);
        let slice = self.slices.get(above.checked_sub(1)?)?;
        slice.range.contains(key).then_some(slice)
    }
}
