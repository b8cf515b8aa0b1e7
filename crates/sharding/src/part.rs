//! The stored form of an assignment: its slices, divided into parts.
//!
//! Every node receives every change. If the assignment of a service with 400 upstreams were
//! one value, it would be written and sent whole for each slice that moves. Instead, the keys
//! are divided into a fixed number of parts, and only changed parts are written. A head
//! identifies the record that is complete; it is written together with the last of its parts.
//!
//! Invariant: no slice crosses the end of a part, and each part is correct on its own as of
//! its record number. A successor that reads some parts of a record whose head was not
//! written loses nothing: no grant is based on a record before its head is durable, and the
//! parts name no holder that is unknown to the granter that wrote them.

use crate::lost_holders::UnfencedUpstream;
use crate::range::{KeyRange, ShardKey};
use crate::record::{
    AssignmentRecord, DoubtedKeys, FencingToken, RecordNumber, SliceRecord, SliceState,
};
use crate::standby::StandbyId;
use beamtray_catalog::UpstreamId;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Number of key bits that select the part.
const PART_BITS: u32 = 5;
/// Number of parts. With 400 slices each holds a dozen, some 300 bytes.
const PARTS: u16 = 1 << PART_BITS;
/// Number of keys in a part.
const PART_KEYS: u32 = 1 << (u16::BITS - PART_BITS);

/// One part of the key space.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct Part(u16);

impl Part {
    /// All parts, in key order.
    pub fn all() -> impl Iterator<Item = Part> {
        (0..PARTS).map(Part)
    }

    /// The part with that number, if there is one.
    pub fn from_number(number: u16) -> Option<Part> {
        (number < PARTS).then_some(Part(number))
    }

    /// The number of the part.
    pub fn number(self) -> u16 {
        self.0
    }

    /// The part that contains a key.
    pub fn of(key: ShardKey) -> Part {
        Part(key.0 >> (u16::BITS - PART_BITS))
    }

    /// The keys of the part.
    pub fn range(self) -> KeyRange {
        let first = u32::from(self.0) * PART_KEYS;
        KeyRange {
            first: ShardKey(first as u16),
            last: ShardKey((first + PART_KEYS - 1) as u16),
        }
    }
}

/// Identifies the newest complete record of a service.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AssignmentHead {
    /// The record.
    pub number: RecordNumber,
    /// Nodes that may extend grants while there is no granter.
    pub standbys: Vec<StandbyId>,
    /// Upstreams that may still accept old grants of keys that they lost.
    pub unfenced: Vec<UnfencedUpstream>,
    /// Keys for which an upstream may still execute a grant, or may hold an unrecorded one.
    pub doubted: Vec<DoubtedKeys>,
}

/// The slices of one part, in key order and without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentPart {
    /// The part.
    pub part: Part,
    /// The record in which the part last changed.
    pub number: RecordNumber,
    /// The slices.
    pub slices: Vec<SliceRecord>,
}

/// Encoded form of a slice. Its last key is the one before the next slice, and its holder is
/// an index into a list.
#[derive(BorshSerialize, BorshDeserialize)]
struct EncodedSlice {
    first: ShardKey,
    state: EncodedState,
}

#[derive(BorshSerialize, BorshDeserialize)]
enum EncodedState {
    Free,
    Held { holder: u16, token: FencingToken },
    Leaving { holder: u16, token: FencingToken },
}

#[derive(BorshSerialize, BorshDeserialize)]
struct EncodedPart {
    part: Part,
    number: RecordNumber,
    holders: Vec<UpstreamId>,
    slices: Vec<EncodedSlice>,
}

/// The index of a holder in the list, to which it is added if new.
fn holder_index(holders: &mut Vec<UpstreamId>, holder: &UpstreamId) -> u16 {
    let known = holders.iter().position(|other| other == holder);
    let index = known.unwrap_or_else(|| {
        holders.push(holder.clone());
        holders.len() - 1
    });
    index as u16
}

impl BorshSerialize for AssignmentPart {
    fn serialize<W: io::Write>(&self, writer: &mut W) -> io::Result<()> {
        let mut holders = Vec::new();
        let slices = self.slices.iter().map(|slice| EncodedSlice {
            first: slice.range.first,
            state: match &slice.state {
                SliceState::Free => EncodedState::Free,
                SliceState::Held { holder, token } => EncodedState::Held {
                    holder: holder_index(&mut holders, holder),
                    token: *token,
                },
                SliceState::Leaving { holder, token } => EncodedState::Leaving {
                    holder: holder_index(&mut holders, holder),
                    token: *token,
                },
            },
        });
        let slices = slices.collect();
        let encoded = EncodedPart {
            part: self.part,
            number: self.number,
            holders,
            slices,
        };
        encoded.serialize(writer)
    }
}

fn invalid(cause: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}

impl BorshDeserialize for AssignmentPart {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        let encoded = EncodedPart::deserialize_reader(reader)?;
        let part = Part::from_number(encoded.part.0)
            .ok_or_else(|| invalid("part number is out of range"))?;
        let first = encoded.slices.first().map(|slice| slice.first);
        if first != Some(part.range().first) {
            return Err(invalid(
                "first slice does not start at the beginning of the part",
            ));
        }
        let holder = |number: u16| {
            let holder = encoded.holders.get(usize::from(number));
            holder
                .cloned()
                .ok_or_else(|| invalid("holder index is out of range"))
        };
        let mut slices = Vec::with_capacity(encoded.slices.len());
        for (index, slice) in encoded.slices.iter().enumerate() {
            let next = encoded.slices.get(index + 1).map(|next| next.first.0);
            let last = match next {
                Some(next) if next > slice.first.0 => ShardKey(next - 1),
                Some(_) => return Err(invalid("slices are not in key order")),
                None => part.range().last,
            };
            if Part::of(last) != part || last < slice.first {
                return Err(invalid("slice crosses the end of the part"));
            }
            let state = match slice.state {
                EncodedState::Free => SliceState::Free,
                EncodedState::Held { holder: of, token } => SliceState::Held {
                    holder: holder(of)?,
                    token,
                },
                EncodedState::Leaving { holder: of, token } => SliceState::Leaving {
                    holder: holder(of)?,
                    token,
                },
            };
            let range = KeyRange {
                first: slice.first,
                last,
            };
            slices.push(SliceRecord { range, state });
        }
        Ok(Self {
            part,
            number: encoded.number,
            slices,
        })
    }
}

impl AssignmentRecord {
    /// The head of the record.
    pub fn head(&self) -> AssignmentHead {
        AssignmentHead {
            number: self.number(),
            standbys: self.standbys.clone(),
            unfenced: self.unfenced.clone(),
            doubted: self.doubted.clone(),
        }
    }

    /// The parts of the record, each with the number of this record.
    pub fn parts(&self) -> Vec<AssignmentPart> {
        let mut parts: BTreeMap<Part, Vec<SliceRecord>> = BTreeMap::new();
        for slice in &self.slices {
            let part = Part::of(slice.range.first);
            parts.entry(part).or_default().push(slice.clone());
        }
        let number = self.number();
        let parts = parts.into_iter();
        parts
            .map(|(part, slices)| AssignmentPart {
                part,
                number,
                slices,
            })
            .collect()
    }
}

/// The assignment of one service as known to a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    head: Option<AssignmentHead>,
    parts: BTreeMap<Part, Rc<AssignmentPart>>,
}

impl Assignment {
    /// Applies a head if it is newer than the known one, and returns whether it was.
    pub fn apply_head(&mut self, head: AssignmentHead) -> bool {
        let known = self.head.as_ref().map(|known| known.number);
        let is_newer = known < Some(head.number);
        if is_newer {
            self.head = Some(head);
        }
        is_newer
    }

    /// Applies a part if it is newer than the known one, and returns whether it was.
    pub fn apply_part(&mut self, part: AssignmentPart) -> bool {
        let known = self.parts.get(&part.part).map(|known| known.number);
        let is_newer = known < Some(part.number);
        if is_newer {
            self.parts.insert(part.part, Rc::new(part));
        }
        is_newer
    }

    /// The number of the newest record that is known to be complete.
    pub fn number(&self) -> Option<RecordNumber> {
        self.head.as_ref().map(|head| head.number)
    }

    /// Nodes that may extend grants while there is no granter.
    pub fn standbys(&self) -> &[StandbyId] {
        let head = self.head.as_ref();
        head.map_or(&[], |head| &head.standbys)
    }

    /// Keys for which an upstream may still execute a grant.
    fn doubted(&self) -> &[DoubtedKeys] {
        let head = self.head.as_ref();
        head.map_or(&[], |head| &head.doubted)
    }

    /// Upstreams that may still accept old grants of keys that they lost.
    fn unfenced(&self) -> &[UnfencedUpstream] {
        let head = self.head.as_ref();
        head.map_or(&[], |head| &head.unfenced)
    }

    /// The part that contains a key.
    pub fn part(&self, key: ShardKey) -> Option<&AssignmentPart> {
        self.parts.get(&Part::of(key)).map(Rc::as_ref)
    }

    /// The slice that contains a key.
    pub fn slice(&self, key: ShardKey) -> Option<&SliceRecord> {
        let slices = &self.part(key)?.slices;
        let above = slices.partition_point(|slice| slice.range.first <= key);
        let slice = slices.get(above.checked_sub(1)?)?;
        slice.range.contains(key).then_some(slice)
    }

    /// All known slices.
    pub fn slices(&self) -> impl Iterator<Item = &SliceRecord> {
        self.parts.values().flat_map(|part| &part.slices)
    }

    /// Fraction of all keys that have a holder.
    pub fn held_share(&self) -> f64 {
        let held = self
            .slices()
            .filter(|slice| matches!(slice.state, SliceState::Held { .. }));
        let keys: u32 = held.map(|slice| slice.range.len()).sum();
        f64::from(keys) / f64::from(KeyRange::ALL.len())
    }

    /// The newest record with all parts. A part that was never written, because the first
    /// granter failed before writing it, has no holder.
    pub fn to_record(&self) -> Option<AssignmentRecord> {
        let newest = self.parts.values().map(|part| part.number).max();
        let number = newest.max(self.number())?;
        let slices = Part::all().flat_map(|part| match self.parts.get(&part) {
            Some(known) => known.slices.clone(),
            None => vec![SliceRecord {
                range: part.range(),
                state: SliceState::Free,
            }],
        });
        Some(AssignmentRecord {
            epoch: number.epoch,
            sequence: number.sequence,
            standbys: self.standbys().to_vec(),
            unfenced: self.unfenced().to_vec(),
            doubted: self.doubted().to_vec(),
            slices: slices.collect(),
        })
    }
}

impl From<AssignmentRecord> for Assignment {
    fn from(record: AssignmentRecord) -> Self {
        let mut assignment = Self::default();
        assignment.apply_head(record.head());
        for part in record.parts() {
            assignment.apply_part(part);
        }
        assignment
    }
}
