//! The grants of one service, and their record in the store.

use crate::core::control::KnownAssignments;
use crate::core::records::{AssignmentKey, OwnKeys, decode_part};
use crate::core::views::Views;
use beamtray_catalog::{Directory, Registration, RequestRate, UpstreamId, UpstreamState};
use beamtray_dispatch::{Dispatcher, UpstreamHash};
use beamtray_metastore::{Condition, Epoch, Item, Revision, StoreCall, Transaction, Write};
use beamtray_sharding::{
    Assignment, AssignmentHead, AssignmentPart, Candidate, Granter, GranterTiming, KeyRange, Part,
    SliceRecord, Standing,
};
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time of a request where nothing is learned yet, in seconds.
const UNKNOWN_WORK: f64 = 0.1;

/// Entries that one transaction may have; each condition and each write is one.
const MOST_ENTRIES: usize = 32;
/// Parts that fit one transaction, next to the head and the condition on the
/// granter's place.
const PARTS_A_WRITE: usize = (MOST_ENTRIES - 3) / 2;

/// A write under way: some parts of a record, and its head with the last of them.
#[derive(Clone, Debug)]
struct Writing {
    parts: Vec<AssignmentPart>,
    head: Option<AssignmentHead>,
}

/// What is left to write of a record.
#[derive(Clone, Debug)]
struct Unwritten {
    head: AssignmentHead,
    parts: Vec<AssignmentPart>,
}

/// A part as it stands in the store.
#[derive(Clone, Debug)]
struct StoredPart {
    revision: Revision,
    /// None after a write that may or may not have been done.
    slices: Option<Vec<SliceRecord>>,
}

/// Grants of one service, and what stands of them in the store.
pub(crate) struct Grants {
    pub(crate) granter: Granter,
    head_revision: Revision,
    stored: BTreeMap<Part, StoredPart>,
    unwritten: Option<Unwritten>,
    writing: Option<Writing>,
    pub(crate) write_at: Time,
}

impl Grants {
    /// Grants of a service that has none in the store.
    pub fn new(now: Time, timing: GranterTiming, epoch: Epoch) -> Self {
        Self {
            granter: Granter::new(now, timing, epoch, None),
            head_revision: Revision::ABSENT,
            stored: BTreeMap::new(),
            unwritten: None,
            writing: None,
            write_at: now,
        }
    }

    /// The write that is due, if one is.
    pub fn poll_write(
        &mut self,
        now: Time,
        service: &ServiceName,
        place: Revision,
    ) -> Option<StoreCall> {
        if self.writing.is_some() || now < self.write_at {
            return None;
        }
        let mut unwritten = match self.unwritten.take() {
            Some(unwritten) => unwritten,
            None => self.changes()?,
        };
        let count = unwritten.parts.len().min(PARTS_A_WRITE);
        let parts: Vec<AssignmentPart> = unwritten.parts.drain(..count).collect();
        let head = if unwritten.parts.is_empty() {
            Some(unwritten.head)
        } else {
            self.unwritten = Some(unwritten);
            None
        };
        let writing = Writing { parts, head };
        let call = self.write(service, &writing, place);
        self.writing = Some(writing);
        Some(call)
    }

    /// The parts of the next record that differ from what stands in the store.
    fn changes(&mut self) -> Option<Unwritten> {
        let record = self.granter.record()?;
        let differs = |part: &AssignmentPart| {
            let stored = self.stored.get(&part.part);
            let slices = stored.and_then(|stored| stored.slices.as_ref());
            slices != Some(&part.slices)
        };
        Some(Unwritten {
            head: record.head(),
            parts: record.parts().into_iter().filter(differs).collect(),
        })
    }

    fn write(&self, service: &ServiceName, writing: &Writing, place: Revision) -> StoreCall {
        let mut transaction = Transaction::default();
        transaction.conditions.push(Condition {
            key: OwnKeys::GRANTER.to_owned(),
            revision: place,
        });
        let mut put = |key: String, value, revision| {
            transaction.conditions.push(Condition {
                key: key.clone(),
                revision,
            });
            transaction.writes.push(Write {
                key,
                value,
                lease: None,
            });
        };
        for part in &writing.parts {
            let stored = self.stored.get(&part.part);
            let revision = stored.map_or(Revision::ABSENT, |stored| stored.revision);
            let key = OwnKeys::assignment_part(service, part.part);
            put(key, encode(part), revision);
        }
        if let Some(head) = &writing.head {
            let key = OwnKeys::assignment_head(service);
            put(key, encode(head), self.head_revision);
        }
        StoreCall::Commit(transaction)
    }

    /// Notes that the write under way was done; what stands in the store now.
    pub fn written(&mut self, now: Time, service: &ServiceName, revision: Revision) -> Vec<Item> {
        let Some(writing) = self.writing.take() else {
            return Vec::new();
        };
        let item = |key, value| Item {
            key,
            value,
            revision,
        };
        let mut items = Vec::new();
        for part in writing.parts {
            let key = OwnKeys::assignment_part(service, part.part);
            items.push(item(key, encode(&part)));
            let stored = StoredPart {
                revision,
                slices: Some(part.slices),
            };
            self.stored.insert(part.part, stored);
        }
        if let Some(head) = writing.head {
            items.push(item(OwnKeys::assignment_head(service), encode(&head)));
            self.head_revision = revision;
            self.granter.written(now, head.number.sequence);
        }
        items
    }

    /// Notes that the write under way may or may not have been done.
    pub fn not_written(&mut self) {
        let parts = self.writing.take().map(|writing| writing.parts);
        for part in parts.into_iter().flatten() {
            let unknown = StoredPart {
                revision: Revision::ABSENT,
                slices: None,
            };
            self.stored.entry(part.part).or_insert(unknown).slices = None;
        }
        self.unwritten = None;
        self.granter.not_written();
    }

    /// Takes what the store has in place of a write that failed its conditions: an
    /// earlier write of this term whose answer was lost.
    pub fn conflict(&mut self, epoch: Epoch, items: &[Item]) {
        self.not_written();
        for item in items {
            match OwnKeys::assignment_key(&item.key) {
                Some(AssignmentKey::Head(_)) => {
                    let head = AssignmentHead::try_from_slice(&item.value);
                    if head.is_ok_and(|head| head.number.epoch == epoch) {
                        self.head_revision = item.revision;
                    }
                }
                Some(AssignmentKey::Part(_, part)) => {
                    let stored = AssignmentPart::try_from_slice(&item.value);
                    if stored.is_ok_and(|stored| stored.number.epoch == epoch) {
                        let stored = StoredPart {
                            revision: item.revision,
                            slices: None,
                        };
                        self.stored.insert(part, stored);
                    }
                }
                None => {}
            }
        }
    }
}

/// Reads all that granters write: the assignments, and what else the view of them has.
pub(crate) fn read_state(after: Option<String>) -> StoreCall {
    StoreCall::Range {
        prefix: OwnKeys::STATE.to_owned(),
        after,
    }
}

/// One service's assignment as it was read at the start of a term.
#[derive(Default)]
struct ReadAssignment {
    assignment: Assignment,
    head_revision: Revision,
    stored: BTreeMap<Part, StoredPart>,
    /// Parts that can't be read.
    unreadable: Vec<Part>,
    /// Whether the head can't be read.
    lacks_head: bool,
}

/// How far a new term trusts the records that it takes over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordTrust {
    /// Records of earlier terms may have been written before a state that the store went back
    /// to, and have gone further since.
    pub proven_from: Epoch,
    /// Whether the last term before was this node's own, so that it knows all records.
    pub continues: bool,
}

/// Continues the grants that were read from the store, or that this node knows newer records
/// of; keys of items that can't be read are without a holder until their last grants have
/// run out.
pub(crate) fn adopt(
    now: Time,
    timing: GranterTiming,
    epoch: Epoch,
    items: &[Item],
    known: &KnownAssignments,
    trust: RecordTrust,
) -> BTreeMap<ServiceName, Grants> {
    let mut read: BTreeMap<ServiceName, ReadAssignment> = BTreeMap::new();
    for (service, assignment) in known {
        let read = read.entry(service.clone()).or_default();
        read.assignment = Assignment::clone(assignment);
    }
    for item in items {
        match OwnKeys::assignment_key(&item.key) {
            Some(AssignmentKey::Head(service)) => {
                let read = read.entry(service).or_default();
                read.head_revision = item.revision;
                match AssignmentHead::try_from_slice(&item.value) {
                    Ok(head) => {
                        read.assignment.take_head(head);
                    }
                    Err(_) => read.lacks_head = true,
                }
            }
            Some(AssignmentKey::Part(service, part)) => {
                let read = read.entry(service).or_default();
                let stored = StoredPart {
                    revision: item.revision,
                    slices: None,
                };
                read.stored.insert(part, stored);
                match decode_part(part, &item.value) {
                    Ok(part) => {
                        read.assignment.take_part(part);
                    }
                    Err(_) => read.unreadable.push(part),
                }
            }
            None => {}
        }
    }
    let read = read.into_iter();
    read.map(|(service, read)| {
        let record = read.assignment.whole();
        let mut granter = Granter::new(now, timing, epoch, record.as_ref());
        for part in &read.unreadable {
            granter.withhold(now, part.range());
        }
        if read.lacks_head {
            granter.standbys_unknown(now);
        }
        let epoch = read.assignment.number().map_or(Epoch(0), |one| one.epoch);
        if epoch < trust.proven_from {
            granter.doubt_record(now);
            if !trust.continues {
                granter.withhold(now, KeyRange::ALL);
            }
        }
        granter.not_written();
        let grants = Grants {
            granter,
            head_revision: read.head_revision,
            stored: read.stored,
            unwritten: None,
            writing: None,
            write_at: now,
        };
        (service, grants)
    })
    .collect()
}

fn encode(value: &impl BorshSerialize) -> Vec<u8> {
    // Writing borsh to memory can't fail.
    borsh::to_vec(value).unwrap_or_default()
}

pub(crate) fn candidates(
    now: Time,
    service: &ServiceName,
    views: &Views,
    dispatcher: &Dispatcher,
) -> Vec<Candidate> {
    let configuration = views.configuration.as_ref();
    let config = configuration.and_then(|known| known.service(service));
    let cold_start = config.and_then(|config| config.cold_start);
    let speeds = dispatcher.speeds();
    let work = speeds.service_mean(service).unwrap_or(UNKNOWN_WORK);
    let directory = &views.directory;
    let of_service = directory
        .iter()
        .filter(|registration| registration.record.service == *service);
    let mut candidates: Vec<Candidate> = of_service
        .map(|registration| {
            let record = &registration.record;
            let hash = UpstreamHash::of(&record.id);
            let slowness = speeds.slowness(hash);
            let capacity = f64::from(record.slots) / (work * slowness);
            let is_cold = now < registration.warm_at;
            let cold_rate = cold_start.filter(|_| is_cold).map(|cold| cold.rate);
            // Keys go on to holders with room, sooner than requests wait for permits.
            let named_rate = dispatcher.named_rate(hash).map(RequestRate::per_second);
            let rates = cold_rate.into_iter().chain(named_rate);
            Candidate {
                id: record.id.clone(),
                standing: standing(directory, registration, cold_rate.is_some()),
                capacity: rates.fold(capacity, f64::min),
                heard: dispatcher.heard(hash),
            }
        })
        .collect();
    relieve_resting(now, &mut candidates, dispatcher);
    candidates
}

/// Has holders that asked nodes for rest lose their keys, unless so many did that the others
/// could not take them.
///
/// Counter-case for the bound: where all shed, each for the load that others gave up, keys
/// would go round and nobody would serve them.
fn relieve_resting(now: Time, candidates: &mut [Candidate], dispatcher: &Dispatcher) {
    let ready = candidates.iter_mut();
    let ready: Vec<&mut Candidate> = ready
        .filter(|one| one.standing == Standing::Ready)
        .collect();
    let count = ready.len();
    let rests = |one: &&mut Candidate| dispatcher.rests_for_any(now, UpstreamHash::of(&one.id));
    let resting: Vec<&mut Candidate> = ready.into_iter().filter(rests).collect();
    if resting.len() * 2 > count {
        return;
    }
    for candidate in resting {
        candidate.standing = Standing::Draining;
    }
}

/// What an upstream is to the granter. One whose zone is evacuated is to lose its keys.
fn standing(directory: &Directory, registration: &Registration, is_cold: bool) -> Standing {
    let is_evacuated = directory.evacuated_since(registration).is_some();
    match registration.record.state {
        _ if is_evacuated => Standing::Draining,
        UpstreamState::Ready if is_cold => Standing::Cold,
        UpstreamState::Ready => Standing::Ready,
        UpstreamState::Draining => Standing::Draining,
    }
}

/// Asks holders whose address another upstream claims too: whoever has the
/// address tells.
pub(crate) fn probe_claimed(now: Time, granter: &mut Granter, views: &Views) {
    let mut claims: BTreeMap<SocketAddr, Vec<&UpstreamId>> = BTreeMap::new();
    for registration in views.directory.iter() {
        let record = &registration.record;
        claims.entry(record.address).or_default().push(&record.id);
    }
    let contested = claims.values().filter(|ids| ids.len() > 1);
    for id in contested.flatten() {
        granter.probe(now, id);
    }
}
