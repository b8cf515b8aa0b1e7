//! What the metadata store keeps of one divided service: its slices in parts.
//!
//! Every node takes every change. A service of 400 upstreams that stood in one value
//! would be written and sent whole for each slice that moves; so the keys are divided
//! into a fixed number of parts, and only the parts that changed are written. A head
//! says which record is whole: it is written together with the last of its parts.
//!
//! Invariant: no slice reaches over the end of a part, and each part by itself is true
//! as of its number. A successor that reads some parts of a record whose head was not
//! written loses nothing: nothing is granted by a record before its head is durable,
//! and parts of it name nobody who is not known to the granter that wrote them.

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

/// Bits of a key that tell its part.
const PART_BITS: u32 = 5;
/// Number of parts: at 400 slices a dozen in each, some 300 bytes.
const PARTS: u16 = 1 << PART_BITS;
/// Keys of one part.
const PART_KEYS: u32 = 1 << (u16::BITS - PART_BITS);

/// One part of the keys.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct Part(u16);

impl Part {
    /// All parts, in the order of their keys.
    pub fn all() -> impl Iterator<Item = Part> {
        (0..PARTS).map(Part)
    }

    /// The part of that number, if there is one.
    pub fn from_number(number: u16) -> Option<Part> {
        (number < PARTS).then_some(Part(number))
    }

    /// Its number.
    pub fn number(self) -> u16 {
        self.0
    }

    /// The part of a key.
    pub fn of(key: ShardKey) -> Part {
        Part(key.0 >> (u16::BITS - PART_BITS))
    }

    /// Its keys.
    pub fn range(self) -> KeyRange {
        let first = u32::from(self.0) * PART_KEYS;
        KeyRange {
            first: ShardKey(first as u16),
            last: ShardKey((first + PART_KEYS - 1) as u16),
        }
    }
}

/// Says which record of a service is whole.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AssignmentHead {
    /// The record.
    pub number: RecordNumber,
    /// Nodes that may prolong the holds while there is no granter.
    pub standbys: Vec<StandbyId>,
    /// Upstreams that may still take old grants of keys that they lost.
    pub unfenced: Vec<UnfencedUpstream>,
    /// Keys of which a grant may lie with an upstream, or be in force unseen.
    pub doubted: Vec<DoubtedKeys>,
}

/// The slices of one part, in the order of their keys, without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentPart {
    /// Which one.
    pub part: Part,
    /// The record in which it last changed.
    pub number: RecordNumber,
    /// The slices.
    pub slices: Vec<SliceRecord>,
}

/// How a slice is written: its last key is the one before the next slice, and
/// its holder stands in a list.
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

/// The number of a holder in the list, which it joins if it is new.
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
        let part = Part::from_number(encoded.part.0).ok_or_else(|| invalid("no such part"))?;
        let first = encoded.slices.first().map(|slice| slice.first);
        if first != Some(part.range().first) {
            return Err(invalid("slices do not begin with the part"));
        }
        let holder = |number: u16| {
            let holder = encoded.holders.get(usize::from(number));
            holder
                .cloned()
                .ok_or_else(|| invalid("holder is not listed"))
        };
        let mut slices = Vec::with_capacity(encoded.slices.len());
        for (index, slice) in encoded.slices.iter().enumerate() {
            let next = encoded.slices.get(index + 1).map(|next| next.first.0);
            let last = match next {
                Some(next) if next > slice.first.0 => ShardKey(next - 1),
                Some(_) => return Err(invalid("slices are not in order")),
                None => part.range().last,
            };
            if Part::of(last) != part || last < slice.first {
                return Err(invalid("a slice reaches over the part"));
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
    /// Its head.
    pub fn head(&self) -> AssignmentHead {
        AssignmentHead {
            number: self.number(),
            standbys: self.standbys.clone(),
            unfenced: self.unfenced.clone(),
            doubted: self.doubted.clone(),
        }
    }

    /// Its parts, each with this record's number.
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

/// Who holds the keys of one service, as far as a node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    head: Option<AssignmentHead>,
    parts: BTreeMap<Part, Rc<AssignmentPart>>,
}

impl Assignment {
    /// Takes a head; whether it is newer.
    pub fn apply_head(&mut self, head: AssignmentHead) -> bool {
        let known = self.head.as_ref().map(|known| known.number);
        let is_newer = known < Some(head.number);
        if is_newer {
            self.head = Some(head);
        }
        is_newer
    }

    /// Takes a part; whether it is newer.
    pub fn apply_part(&mut self, part: AssignmentPart) -> bool {
        let known = self.parts.get(&part.part).map(|known| known.number);
        let is_newer = known < Some(part.number);
        if is_newer {
            self.parts.insert(part.part, Rc::new(part));
        }
        is_newer
    }

    /// The newest record that is known whole.
    pub fn number(&self) -> Option<RecordNumber> {
        self.head.as_ref().map(|head| head.number)
    }

    /// Nodes that may prolong the holds while there is no granter.
    pub fn standbys(&self) -> &[StandbyId] {
        let head = self.head.as_ref();
        head.map_or(&[], |head| &head.standbys)
    }

    /// Keys of which a grant may lie with their holder.
    fn doubted(&self) -> &[DoubtedKeys] {
        let head = self.head.as_ref();
        head.map_or(&[], |head| &head.doubted)
    }

    /// Upstreams that may still take old grants of keys that they lost.
    fn unfenced(&self) -> &[UnfencedUpstream] {
        let head = self.head.as_ref();
        head.map_or(&[], |head| &head.unfenced)
    }

    /// The part of a key.
    pub fn part(&self, key: ShardKey) -> Option<&AssignmentPart> {
        self.parts.get(&Part::of(key)).map(Rc::as_ref)
    }

    /// The slice of a key.
    pub fn slice(&self, key: ShardKey) -> Option<&SliceRecord> {
        let slices = &self.part(key)?.slices;
        let above = slices.partition_point(|slice| slice.range.first <= key);
        let slice = slices.get(above.checked_sub(1)?)?;
        slice.range.contains(key).then_some(slice)
    }

    /// All slices that are known.
    pub fn slices(&self) -> impl Iterator<Item = &SliceRecord> {
        self.parts.values().flat_map(|part| &part.slices)
    }

    /// Share of all keys that have a holder.
    pub fn held_share(&self) -> f64 {
        let held = self
            .slices()
            .filter(|slice| matches!(slice.state, SliceState::Held { .. }));
        let keys: u32 = held.map(|slice| slice.range.len()).sum();
        f64::from(keys) / f64::from(KeyRange::ALL.len())
    }

    /// The newest record with all parts. One that was never written, since the first
    /// granter was lost on the way, has no holder.
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
