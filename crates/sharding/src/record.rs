//! What the metadata store keeps of one divided service.

use crate::range::{KeyRange, ShardKey};
use crate::standby::StandbyId;
use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;
use std::io;

/// Bits of a token that count within one epoch.
const COUNTER_BITS: u32 = 24;

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

/// All slices of one service, in the order of their keys, without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentRecord {
    /// Term of the granter that wrote it.
    pub epoch: Epoch,
    /// Counts the records of a term.
    pub sequence: u64,
    /// Nodes that may prolong the holds while there is no granter.
    pub standbys: Vec<StandbyId>,
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

/// How a slice is written: its last key is the one before the next slice, and
/// its holder stands in a list.
#[derive(BorshSerialize, BorshDeserialize)]
struct WrittenSlice {
    first: ShardKey,
    state: WrittenState,
}

#[derive(BorshSerialize, BorshDeserialize)]
enum WrittenState {
    Free,
    Held { holder: u16, token: FencingToken },
    Leaving { holder: u16, token: FencingToken },
}

#[derive(BorshSerialize, BorshDeserialize)]
struct WrittenRecord {
    epoch: Epoch,
    sequence: u64,
    standbys: Vec<StandbyId>,
    holders: Vec<UpstreamId>,
    slices: Vec<WrittenSlice>,
}

/// The number of a holder in the list, which it joins if it is new.
fn number(holders: &mut Vec<UpstreamId>, holder: &UpstreamId) -> u16 {
    let known = holders.iter().position(|other| other == holder);
    let index = known.unwrap_or_else(|| {
        holders.push(holder.clone());
        holders.len() - 1
    });
    index as u16
}

impl BorshSerialize for AssignmentRecord {
    fn serialize<W: io::Write>(&self, writer: &mut W) -> io::Result<()> {
        let mut holders = Vec::new();
        let slices = self.slices.iter().map(|slice| WrittenSlice {
            first: slice.range.first,
            state: match &slice.state {
                SliceState::Free => WrittenState::Free,
                SliceState::Held { holder, token } => WrittenState::Held {
                    holder: number(&mut holders, holder),
                    token: *token,
                },
                SliceState::Leaving { holder, token } => WrittenState::Leaving {
                    holder: number(&mut holders, holder),
                    token: *token,
                },
            },
        });
        let slices = slices.collect();
        let written = WrittenRecord {
            epoch: self.epoch,
            sequence: self.sequence,
            standbys: self.standbys.clone(),
            holders,
            slices,
        };
        written.serialize(writer)
    }
}

impl BorshDeserialize for AssignmentRecord {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        let written = WrittenRecord::deserialize_reader(reader)?;
        let holder = |number: u16| {
            let holder = written.holders.get(usize::from(number));
            let missing = || io::Error::new(io::ErrorKind::InvalidData, "holder is not listed");
            holder.cloned().ok_or_else(missing)
        };
        let mut slices = Vec::with_capacity(written.slices.len());
        for (index, slice) in written.slices.iter().enumerate() {
            let next = written.slices.get(index + 1).map(|next| next.first.0);
            let last = match next {
                Some(next) if next > slice.first.0 => next - 1,
                Some(_) => {
                    let cause = "slices are not in order";
                    return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
                }
                None => u16::MAX,
            };
            let state = match slice.state {
                WrittenState::Free => SliceState::Free,
                WrittenState::Held { holder: of, token } => SliceState::Held {
                    holder: holder(of)?,
                    token,
                },
                WrittenState::Leaving { holder: of, token } => SliceState::Leaving {
                    holder: holder(of)?,
                    token,
                },
            };
            slices.push(SliceRecord {
                range: KeyRange {
                    first: slice.first,
                    last: ShardKey(last),
                },
                state,
            });
        }
        Ok(Self {
            epoch: written.epoch,
            sequence: written.sequence,
            standbys: written.standbys,
            slices,
        })
    }
}
