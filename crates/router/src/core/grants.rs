//! The grants of one service, and their record in the store.

use crate::core::control::KnownAssignments;
use crate::core::records::{AssignmentKey, RouterKeys, decode_part};
use crate::core::views::Views;
use beamtray_catalog::{Directory, Registration, RequestRate, UpstreamId, UpstreamState};
use beamtray_dispatch::{Dispatcher, UpstreamHash};
use beamtray_metastore::{Condition, Epoch, Item, Revision, StoreCall, Transaction, Write};
use beamtray_sharding::{
    Assignment, AssignmentHead, AssignmentPart, Candidate, CandidateState, Granter, GranterTiming,
    KeyRange, Part, SliceRecord,
};
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Assumed duration of a request in seconds before any has been measured.
const DEFAULT_REQUEST_SECONDS: f64 = 0.1;

/// Maximum number of entries in a transaction; each condition and each write counts as one.
const MAX_TRANSACTION_ENTRIES: usize = 32;
/// Number of parts that fit into one transaction along with the head and the condition on the
/// granter's key.
const PARTS_PER_WRITE: usize = (MAX_TRANSACTION_ENTRIES - 3) / 2;

/// A write in progress: some parts of a record, and the head with the last of them.
#[derive(Clone, Debug)]
struct PendingWrite {
    parts: Vec<AssignmentPart>,
    head: Option<AssignmentHead>,
}

/// The parts of a record that are still to be written.
#[derive(Clone, Debug)]
struct UnwrittenRecord {
    head: AssignmentHead,
    parts: Vec<AssignmentPart>,
}

/// A part as stored.
#[derive(Clone, Debug)]
struct StoredPart {
    revision: Revision,
    /// `None` after a write whose outcome is unknown.
    slices: Option<Vec<SliceRecord>>,
}

/// The grants of one service, and what is stored of them.
pub(crate) struct Grants {
    pub(crate) granter: Granter,
    head_revision: Revision,
    stored: BTreeMap<Part, StoredPart>,
    unwritten: Option<UnwrittenRecord>,
    pending_write: Option<PendingWrite>,
    pub(crate) write_at: Time,
}

impl Grants {
    /// Creates the grants of a service that has no record in the store.
    pub fn new(now: Time, timing: GranterTiming, epoch: Epoch) -> Self {
        Self {
            granter: Granter::new(now, timing, epoch, None),
            head_revision: Revision::ABSENT,
            stored: BTreeMap::new(),
            unwritten: None,
            pending_write: None,
            write_at: now,
        }
    }

    /// The write that is due, if any.
    pub fn poll_write(
        &mut self,
        now: Time,
        service: &ServiceName,
        granter_revision: Revision,
    ) -> Option<StoreCall> {
        if self.pending_write.is_some() || now < self.write_at {
            return None;
        }
        let mut unwritten = match self.unwritten.take() {
            Some(unwritten) => unwritten,
            None => self.changes()?,
        };
        let count = unwritten.parts.len().min(PARTS_PER_WRITE);
        let parts: Vec<AssignmentPart> = unwritten.parts.drain(..count).collect();
        let head = if unwritten.parts.is_empty() {
            Some(unwritten.head)
        } else {
            self.unwritten = Some(unwritten);
            None
        };
        let pending_write = PendingWrite { parts, head };
        let call = self.write(service, &pending_write, granter_revision);
        self.pending_write = Some(pending_write);
        Some(call)
    }

    /// The parts of the next record that differ from the stored ones.
    fn changes(&mut self) -> Option<UnwrittenRecord> {
        let record = self.granter.take_record()?;
        let differs = |part: &AssignmentPart| {
            let stored = self.stored.get(&part.part);
            let slices = stored.and_then(|stored| stored.slices.as_ref());
            slices != Some(&part.slices)
        };
        Some(UnwrittenRecord {
            head: record.head(),
            parts: record.parts().into_iter().filter(differs).collect(),
        })
    }

    fn write(
        &self,
        service: &ServiceName,
        pending_write: &PendingWrite,
        granter_revision: Revision,
    ) -> StoreCall {
        let mut transaction = Transaction::default();
        transaction.conditions.push(Condition {
            key: RouterKeys::GRANTER.to_owned(),
            revision: granter_revision,
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
        for part in &pending_write.parts {
            let stored = self.stored.get(&part.part);
            let revision = stored.map_or(Revision::ABSENT, |stored| stored.revision);
            let key = RouterKeys::assignment_part(service, part.part);
            put(key, encode(part), revision);
        }
        if let Some(head) = &pending_write.head {
            let key = RouterKeys::assignment_head(service);
            put(key, encode(head), self.head_revision);
        }
        StoreCall::Commit(transaction)
    }

    /// Handles the success of the pending write; returns the items that are now stored.
    pub fn write_succeeded(
        &mut self,
        now: Time,
        service: &ServiceName,
        revision: Revision,
    ) -> Vec<Item> {
        let Some(pending_write) = self.pending_write.take() else {
            return Vec::new();
        };
        let item = |key, value| Item {
            key,
            value,
            revision,
        };
        let mut items = Vec::new();
        for part in pending_write.parts {
            let key = RouterKeys::assignment_part(service, part.part);
            items.push(item(key, encode(&part)));
            let stored = StoredPart {
                revision,
                slices: Some(part.slices),
            };
            self.stored.insert(part.part, stored);
        }
        if let Some(head) = pending_write.head {
            items.push(item(RouterKeys::assignment_head(service), encode(&head)));
            self.head_revision = revision;
            self.granter.mark_durable(now, head.number.sequence);
        }
        items
    }

    /// Handles a pending write whose outcome is unknown.
    pub fn write_unconfirmed(&mut self) {
        let parts = self
            .pending_write
            .take()
            .map(|pending_write| pending_write.parts);
        for part in parts.into_iter().flatten() {
            let unknown = StoredPart {
                revision: Revision::ABSENT,
                slices: None,
            };
            self.stored.entry(part.part).or_insert(unknown).slices = None;
        }
        self.unwritten = None;
        self.granter.mark_dirty();
    }

    /// Takes the items that the store returned for a write whose conditions failed: they come from
    /// an earlier write of this term whose response was lost.
    pub fn write_conflicted(&mut self, epoch: Epoch, items: &[Item]) {
        self.write_unconfirmed();
        for item in items {
            match RouterKeys::assignment_key(&item.key) {
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

/// Reads everything that granters write: the assignments and the other records of that view.
pub(crate) fn read_state(after: Option<String>) -> StoreCall {
    StoreCall::Range {
        prefix: RouterKeys::STATE.to_owned(),
        after,
    }
}

/// The assignment of one service as read at the start of a term.
#[derive(Default)]
struct LoadedAssignment {
    assignment: Assignment,
    head_revision: Revision,
    stored: BTreeMap<Part, StoredPart>,
    /// Parts that can't be decoded.
    unreadable: Vec<Part>,
    /// Whether the head can't be decoded.
    head_unreadable: bool,
}

/// How far a new term can trust the records that it takes over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordTrust {
    /// The first epoch whose records are known to be current. The store may have reverted to an
    /// older state in which the records of earlier epochs were not yet up to date.
    pub proven_from: Epoch,
    /// Whether this node also held the preceding term, so that it knows all records.
    pub continues: bool,
    /// Whether a live process observed the preceding term, so that not all processes were lost
    /// with its granter.
    pub observed: bool,
}

/// Restores the grants from the stored records, or from newer records that this node knows. Keys
/// whose items can't be decoded have no holder until the last grants on them have expired.
pub(crate) fn restore_grants(
    now: Time,
    timing: GranterTiming,
    epoch: Epoch,
    items: &[Item],
    known: &KnownAssignments,
    trust: RecordTrust,
) -> BTreeMap<ServiceName, Grants> {
    let mut read: BTreeMap<ServiceName, LoadedAssignment> = BTreeMap::new();
    for (service, assignment) in known {
        let read = read.entry(service.clone()).or_default();
        read.assignment = Assignment::clone(assignment);
    }
    for item in items {
        match RouterKeys::assignment_key(&item.key) {
            Some(AssignmentKey::Head(service)) => {
                let read = read.entry(service).or_default();
                read.head_revision = item.revision;
                match AssignmentHead::try_from_slice(&item.value) {
                    Ok(head) => {
                        read.assignment.apply_head(head);
                    }
                    Err(_) => read.head_unreadable = true,
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
                        read.assignment.apply_part(part);
                    }
                    Err(_) => read.unreadable.push(part),
                }
            }
            None => {}
        }
    }
    let read = read.into_iter();
    read.map(|(service, read)| {
        let record = read.assignment.to_record();
        let mut granter = Granter::new(now, timing, epoch, record.as_ref());
        for part in &read.unreadable {
            granter.withhold(now, part.range());
        }
        if read.head_unreadable {
            granter.adopt_unreadable_head(now);
        }
        let epoch = read.assignment.number().map_or(Epoch(0), |one| one.epoch);
        if epoch < trust.proven_from {
            granter.doubt_record(now);
            if !trust.continues {
                granter.withhold(now, KeyRange::ALL);
            }
        }
        if !trust.observed && epoch >= trust.proven_from {
            granter.assume_grants_in_flight(now);
        }
        granter.mark_dirty();
        let grants = Grants {
            granter,
            head_revision: read.head_revision,
            stored: read.stored,
            unwritten: None,
            pending_write: None,
            write_at: now,
        };
        (service, grants)
    })
    .collect()
}

fn encode(value: &impl BorshSerialize) -> Vec<u8> {
    // Serializing to memory can't fail.
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
    let request_seconds = speeds
        .service_mean(service)
        .unwrap_or(DEFAULT_REQUEST_SECONDS);
    let directory = &views.directory;
    let of_service = directory
        .iter()
        .filter(|registration| registration.record.service == *service);
    let mut candidates: Vec<Candidate> = of_service
        .map(|registration| {
            let record = &registration.record;
            let hash = UpstreamHash::of(&record.id);
            let slowness = speeds.slowness(hash);
            let capacity = f64::from(record.slots) / (request_seconds * slowness);
            let is_cold = now < registration.warm_at;
            let cold_rate = cold_start.filter(|_| is_cold).map(|cold| cold.rate);
            // Limits the capacity to the announced rate, so that keys move to upstreams with spare
            // capacity before requests have to wait for permits.
            let named_rate = dispatcher
                .advertised_rate(hash)
                .map(RequestRate::per_second);
            let rates = cold_rate.into_iter().chain(named_rate);
            Candidate {
                id: record.id.clone(),
                state: standing(directory, registration, cold_rate.is_some()),
                capacity: rates.fold(capacity, f64::min),
                last_answered: dispatcher.last_answer_at(hash),
            }
        })
        .collect();
    drain_backed_off(now, &mut candidates, dispatcher);
    candidates
}

/// Moves keys away from holders that asked nodes to stop sending requests, unless more than half of
/// the ready candidates did so.
///
/// Without this limit, keys would circulate unserved when all candidates are overloaded, each by
/// the load that the others gave up.
fn drain_backed_off(now: Time, candidates: &mut [Candidate], dispatcher: &Dispatcher) {
    let ready = candidates.iter_mut();
    let ready: Vec<&mut Candidate> = ready
        .filter(|one| one.state == CandidateState::Ready)
        .collect();
    let count = ready.len();
    let is_backed_off =
        |one: &&mut Candidate| dispatcher.is_backed_off_at_any_node(now, UpstreamHash::of(&one.id));
    let backed_off: Vec<&mut Candidate> = ready.into_iter().filter(is_backed_off).collect();
    if backed_off.len() * 2 > count {
        return;
    }
    for candidate in backed_off {
        candidate.state = CandidateState::Draining;
    }
}

/// The standing of an upstream for the granter. Upstreams in an evacuated zone are drained.
fn standing(directory: &Directory, registration: &Registration, is_cold: bool) -> CandidateState {
    let is_evacuated = directory.evacuated_since(registration).is_some();
    match registration.record.state {
        _ if is_evacuated => CandidateState::Draining,
        UpstreamState::Ready if is_cold => CandidateState::Cold,
        UpstreamState::Ready => CandidateState::Ready,
        UpstreamState::Draining => CandidateState::Draining,
    }
}

/// Probes holders whose address is also claimed by another upstream, to find out which of them is
/// running there.
pub(crate) fn probe_contested(now: Time, granter: &mut Granter, views: &Views) {
    let mut claims: BTreeMap<SocketAddr, Vec<&UpstreamId>> = BTreeMap::new();
    for registration in views.directory.iter() {
        let record = &registration.record;
        claims.entry(record.address).or_default().push(&record.id);
    }
    let contested = claims.values().filter(|ids| ids.len() > 1);
    for id in contested.flatten() {
        granter.probe_holder(now, id);
    }
}
