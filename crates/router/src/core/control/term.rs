//! A term of this node as the granter: its start, the records it reads from the store, and the
//! records it writes.

use super::Control;
use super::KnownAssignments;
use super::observed_terms::ObserverQuery;
use crate::core::grants::{Grants, RecordTrust, read_state, restore_grants};
use crate::core::message::StoreTask;
use crate::core::views::{Snapshot, ViewName};
use beamtray_metastore::{Authority, Epoch, Item, Revision, StoreCall, StoreOutcome};
use beamtray_sharding::AssignmentRecord;
use beamtray_types::{ServiceName, Time};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Minimum interval between records, so that changes close together are written together.
const RECORD_INTERVAL: Duration = Duration::from_millis(20);
/// Added to that interval for each slice, since every node receives every record.
const RECORD_INTERVAL_PER_SLICE: Duration = Duration::from_micros(120);
/// Delay before a record that was not written is retried.
const REWRITE_DELAY: Duration = Duration::from_millis(80);
/// Delay before a failed read at a takeover is retried.
const REREAD_DELAY: Duration = Duration::from_millis(100);
/// Interval at which candidates are refreshed, with the upstreams' speeds and when nodes last heard
/// them, if the directory does not change. A holder that left a grant unanswered for this long may
/// have answered requests in the meantime.
const CANDIDATE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// One term of this node as the granter.
pub(super) struct Term {
    pub(super) authority: Authority,
    /// `None` until the records have been read.
    pub(super) grants: Option<BTreeMap<ServiceName, Grants>>,
    /// Whether a read of the records is pending.
    pub(super) reading: bool,
    /// The items read so far, and the revision of the first page.
    pub(super) read: Vec<Item>,
    pub(super) read_from: Option<Revision>,
    pub(super) read_at: Time,
    pub(super) rebalance_at: Time,
    /// When the candidates are next refreshed, and the version of the directory that they were last
    /// taken from.
    pub(super) candidates_at: Time,
    pub(super) candidates_version: Option<u64>,
    /// Whether a service without a record may have had one that the store has lost.
    pub(super) may_have_lost_records: bool,
    /// When the term is next announced.
    pub(super) announced_at: Time,
    /// Set while no live process is known to have observed the preceding term.
    pub(super) observer_query: Option<ObserverQuery>,
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
            candidates_at: now,
            candidates_version: None,
            may_have_lost_records: false,
            announced_at: now,
            observer_query: None,
        }
    }

    /// Whether the candidates are to be refreshed from the directory.
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
    /// Starts a new term when the election grants this node a new epoch.
    pub(super) fn update_term(&mut self, now: Time) {
        let Some(authority) = self.election.authority(now) else {
            // The lease may turn out not to have expired, so the term is kept; nothing is sent
            // meanwhile.
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
        if let Some(ended) = &self.term {
            self.observe_term(ended.authority.epoch);
        }
        self.term = Some(Term::new(now, authority));
    }

    /// The reads and writes that are due.
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

    /// Handles a page of the records read at a takeover.
    ///
    /// The records may be older than the grants that were made, if no term of this era has written
    /// them yet. Newer records that this node knows take precedence. Unless the preceding term was
    /// this node's own, there may be still newer records that it doesn't know.
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
        // Later pages may contain newer items, so the revision of the first page counts.
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
            observed: predecessor == Epoch(0) || self.observed_terms.contains(&predecessor),
        };
        let known = match continues {
            true => &with_last_records(known, &self.last_records),
            false => known,
        };
        // A rollback may have lost all traces of earlier terms, and a term of this era may have
        // ended before it wrote any record.
        let is_rolled_back = first > Epoch(0);
        let may_have_predecessor = newest > Epoch(0) || !self.config.is_first_start;
        term.may_have_lost_records = is_rolled_back && may_have_predecessor && !trust.continues;
        let query = ObserverQuery::new(now, predecessor);
        term.observer_query = (!trust.observed).then_some(query);
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

    /// The records that this node read at the start of its term, as a snapshot of the state view.
    ///
    /// Invariant: the view is complete before this node adds its own writes. It announces the view
    /// to other nodes up to the revision of its last write, so they would lack everything that this
    /// view lacks.
    pub fn take_loaded_state(&mut self) -> Option<Snapshot> {
        self.loaded_state.take()
    }

    /// Records that this node wrote.
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
        self.order_checks.hasten(now);
    }
}

/// Adds the records that this node's last term had not written yet to the known ones. Holders may
/// have received tokens that appear in no stored record, and would reject the older tokens of the
/// stored records.
fn with_last_records(
    known: &KnownAssignments,
    last: &BTreeMap<ServiceName, AssignmentRecord>,
) -> KnownAssignments {
    let mut all = known.clone();
    for (service, record) in last {
        let assignment = all.entry(service.clone()).or_default();
        let assignment = Rc::make_mut(assignment);
        assignment.apply_head(record.head());
        for part in record.parts() {
            assignment.apply_part(part);
        }
    }
    all
}
