//! The record of who holds the keys of a sharded service.

use crate::lost_holders::UnfencedUpstream;
use crate::range::{KeyRange, ShardKey};
use crate::standby::StandbyId;
use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;

/// Number of token bits that count within one epoch: blocks of tokens, and orders within a
/// block.
const COUNTER_BITS: u32 = 32;
/// Number of those bits that count orders within a block.
const ORDER_BITS: u32 = 10;
/// Index of the last token of a block.
const LAST_IN_BLOCK: u64 = (1 << ORDER_BITS) - 1;

/// Fencing token that orders the holders of a key: a later holder has a higher token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The `counter`-th token of a granter's term, higher than every token of earlier terms.
    pub fn new(epoch: Epoch, counter: u64) -> Self {
        Self((epoch.0 << COUNTER_BITS) + counter)
    }

    /// The last token of the `block`-th block of a term. Records identify blocks by it, so
    /// whoever sends orders based on a record alone has no other token of the block.
    pub(crate) fn last_in_block(epoch: Epoch, block: u64) -> Self {
        Self::new(epoch, (block << ORDER_BITS) + LAST_IN_BLOCK)
    }

    /// The token of the `number`-th order in the block whose last token this is; `None` if
    /// only the last token of the block is left.
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

/// Who may serve the keys of a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SliceState {
    /// Nobody.
    Free,
    /// One upstream.
    Held {
        /// The upstream.
        holder: UpstreamId,
        /// Its fencing token.
        token: FencingToken,
    },
    /// An upstream that is asked to give the keys back. It gets no new requests; nobody else
    /// gets the keys before it has released them or its grant has expired.
    Leaving {
        /// The upstream.
        holder: UpstreamId,
        /// Its fencing token.
        token: FencingToken,
    },
}

/// A contiguous range of keys and who may serve it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceRecord {
    /// The keys.
    pub range: KeyRange,
    /// Who may serve them.
    pub state: SliceState,
}

/// Identifies a record of a service; later records compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct RecordNumber {
    /// Term of the granter that wrote the record.
    pub epoch: Epoch,
    /// Number of the record within the term.
    pub sequence: u64,
}

/// Keys that are not assigned for some time unless they are given back.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DoubtedKeys {
    /// The keys.
    pub range: KeyRange,
    /// Longest remaining time, in milliseconds from when the record was written.
    pub left_ms: u32,
}

impl DoubtedKeys {
    /// Whether all keys are in doubt: the record itself may lack grants.
    pub fn is_whole(&self) -> bool {
        self.range == KeyRange::ALL
    }
}

/// All slices of one service, in key order and without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentRecord {
    /// Term of the granter that wrote the record.
    pub epoch: Epoch,
    /// Number of the record within the term.
    pub sequence: u64,
    /// Nodes that may extend grants while there is no granter.
    pub standbys: Vec<StandbyId>,
    /// Upstreams that may still accept old grants of keys that they lost.
    pub unfenced: Vec<UnfencedUpstream>,
    /// Keys for which an upstream may still execute a grant, or may hold an unrecorded one.
    pub doubted: Vec<DoubtedKeys>,
    /// The slices.
    pub slices: Vec<SliceRecord>,
}

impl AssignmentRecord {
    /// Identifies the record among those of the service.
    pub fn number(&self) -> RecordNumber {
        RecordNumber {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// The slice that contains a key.
    pub fn slice(&self, key: ShardKey) -> Option<&SliceRecord> {
        let above = self
            .slices
            .partition_point(|slice| slice.range.first <= key);
        let slice = self.slices.get(above.checked_sub(1)?)?;
        slice.range.contains(key).then_some(slice)
    }
}
