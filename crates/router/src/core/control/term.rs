//! A term of this node as the granter: how it begins, what it reads from the store at its
//! start, and the records that it writes.

use super::Control;
use super::KnownAssignments;
use crate::core::grants::{Grants, RecordTrust, read_state, restore_grants};
use crate::core::message::StoreTask;
use crate::core::views::{Snapshot, ViewName};
use beamtray_metastore::{Authority, Epoch, Item, Revision, StoreCall, StoreOutcome};
use beamtray_sharding::AssignmentRecord;
use beamtray_types::{ServiceName, Time};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two records, so that changes close together go in one.
const RECORD_INTERVAL: Duration = Duration::from_millis(20);
/// Added to that for each slice: every node takes every record.
const RECORD_INTERVAL_PER_SLICE: Duration = Duration::from_micros(120);
/// Pause after a record that was not written.
const REWRITE_DELAY: Duration = Duration::from_millis(80);
/// Pause after a failed reading at a takeover.
const REREAD_DELAY: Duration = Duration::from_millis(100);
/// Between looks at what nodes heard of upstreams, and at their speeds, when the
/// directory does not change: a holder that leaves a grant unanswered for that
/// long may have answered requests meanwhile.
const CANDIDATE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// One term of this node as the granter.
pub(super) struct Term {
    pub(super) authority: Authority,
    /// None until the records were read.
    pub(super) grants: Option<BTreeMap<ServiceName, Grants>>,
    /// Whether a reading of them is under way.
    pub(super) reading: bool,
    /// Pages read so far, and the revision of the first one.
    pub(super) read: Vec<Item>,
    pub(super) read_from: Option<Revision>,
    pub(super) read_at: Time,
    pub(super) rebalance_at: Time,
    /// When orders are looked at next.
    pub(super) orders_at: Time,
    /// When candidates are looked at next, and the state of the directory that
    /// they were last taken from.
    pub(super) candidates_at: Time,
    pub(super) candidates_version: Option<u64>,
    /// Whether a service without a record may have had one that the store has forgotten.
    pub(super) may_have_lost_records: bool,
}

impl Term {
    pub(super) fn new(now: Time, authority: Authority) -> Self {
        Self {
            authority,
            grants: None,
            reading: false,
            read: Vec::new(),
            read_from: None,
            read_at: now,
            rebalance_at: now,
            orders_at: now,
            candidates_at: now,
            candidates_version: None,
            may_have_lost_records: false,
        }
    }

    /// Whether candidates are to be taken from the directory again.
    pub(super) fn refreshes_candidates(&mut self, now: Time, changes: u64) -> bool {
        let refreshes = self.candidates_version != Some(changes) || now >= self.candidates_at;
        if refreshes {
            self.candidates_version = Some(changes);
            self.candidates_at = now + CANDIDATE_REFRESH_INTERVAL;
        }
        refreshes
    }
}

impl Control {
    /// Begins and ends terms as the authority comes and goes.
    pub(super) fn update_term(&mut self, now: Time) {
        let Some(authority) = self.election.authority(now) else {
            // The lease may prove to have lasted after all: the term is kept
            // and nothing is sent meanwhile.
            return;
        };
        let same = self
            .term
            .as_ref()
            .is_some_and(|term| term.authority.epoch == authority.epoch);
        if same {
            if let Some(term) = &mut self.term {
                term.authority = authority;
            }
            return;
        }
        self.term = Some(Term::new(now, authority));
    }

    /// Readings and records that are due.
    pub(super) fn poll_term(&mut self, now: Time) -> Vec<(StoreTask, StoreCall)> {
        let Some(authority) = self.election.authority(now) else {
            return Vec::new();
        };
        let Some(term) = &mut self.term else {
            return Vec::new();
        };
        let Some(grants) = &mut term.grants else {
            if term.reading || now < term.read_at {
                return Vec::new();
            }
            term.reading = true;
            let after = term.read.last().map(|item| item.key.clone());
            return vec![(StoreTask::TakeOver, read_state(after))];
        };
        let mut calls = Vec::new();
        for (service, grants) in grants {
            let call = grants.poll_write(now, service, authority.revision);
            calls.extend(call.map(|call| (StoreTask::Record(service.clone()), call)));
        }
        calls
    }

    /// Takes a page of the assignments read at a takeover.
    ///
    /// They may be older than what was granted, where no term of this era has written them
    /// yet. What this node knows of newer records counts beside them; and unless the last
    /// term before was its own, it knows that there may be more.
    pub(super) fn handle_takeover_page(
        &mut self,
        now: Time,
        outcome: StoreOutcome,
        known: &KnownAssignments,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        term.reading = false;
        let StoreOutcome::Page { items, more, at } = outcome else {
            term.read_at = now + REREAD_DELAY;
            return;
        };
        // Later pages may hold newer items, so the first one's revision counts.
        let from = *term.read_from.get_or_insert(at);
        term.read.extend(items);
        if more {
            return;
        }
        let timing = self.config.grants;
        let epoch = term.authority.epoch;
        let read = std::mem::take(&mut term.read);
        let predecessor = term.authority.predecessor;
        let first = Epoch::first_of(self.era);
        let newest = known.values().filter_map(|one| one.number()).max();
        let newest = newest.map_or(predecessor, |newest| newest.epoch.max(predecessor));
        let continues = self.last_term.is_some_and(|own| own >= newest);
        let trust = RecordTrust {
            proven_from: first,
            continues,
        };
        let known = match continues {
            true => &with_last_records(known, &self.last_records),
            false => known,
        };
        term.may_have_lost_records = !trust.continues && newest > Epoch(0) && predecessor < first;
        term.grants = Some(restore_grants(now, timing, epoch, &read, known, trust));
        term.candidates_version = None;
        self.loaded_state = Some(Snapshot {
            view: ViewName::State,
            at: from,
            items: read,
            removals: Vec::new(),
            is_full: true,
        });
    }

    /// What this node read at the start of its term, as a copy of the view of the
    /// assignments.
    ///
    /// Invariant: that view is whole before this node adds what it writes. It tells the
    /// others of the view up to its last write, and what it lacked they would lack.
    pub fn take_loaded_state(&mut self) -> Option<Snapshot> {
        self.loaded_state.take()
    }

    /// Assignments that this node wrote.
    pub fn take_own_writes(&mut self) -> Vec<Item> {
        std::mem::take(&mut self.own_writes)
    }

    pub(super) fn handle_record_write(
        &mut self,
        now: Time,
        service: &ServiceName,
        outcome: StoreOutcome,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        let epoch = term.authority.epoch;
        let Some(grants) = term
            .grants
            .as_mut()
            .and_then(|grants| grants.get_mut(service))
        else {
            return;
        };
        match outcome {
            StoreOutcome::Committed { revision } => {
                let slices = grants.granter.slice_count() as u32;
                grants.write_at = now + RECORD_INTERVAL + RECORD_INTERVAL_PER_SLICE * slices;
                let written = grants.write_succeeded(now, service, revision);
                self.own_writes.extend(written);
            }
            StoreOutcome::Conflict { items } => {
                grants.write_at = now + REWRITE_DELAY;
                grants.write_conflicted(epoch, &items);
            }
            _ => {
                grants.write_at = now + REWRITE_DELAY;
                grants.write_unconfirmed();
            }
        }
        term.orders_at = now;
    }
}

/// What is known, with what this node's last term did not come to write: its holders may have
/// seen tokens that no record names, and would refuse those of the records.
fn with_last_records(
    known: &KnownAssignments,
    last: &BTreeMap<ServiceName, AssignmentRecord>,
) -> KnownAssignments {
    let mut all = known.clone();
    for (service, record) in last {
        let assignment = all.entry(service.clone()).or_default();
        let assignment = Rc::make_mut(assignment);
        assignment.take_head(record.head());
        for part in record.parts() {
            assignment.take_part(part);
        }
    }
    all
}
