//! The initial state: all ranges are held and renewed, without faults.

use super::rollback::StoreHistory;
use super::{Path, Process, World};
use crate::check::InvariantChecker;
use crate::scope::{Faults, Scope};
use crate::standby::{Standby, standby_id};
use crate::transport::Term;
use crate::upstream::Upstream;
use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, CandidateState, FencingToken, Granter, KeyRange, SliceRecord,
    SliceState,
};
use beamtray_types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Term of the record that the first granter reads.
const FOUNDING_TERM: u64 = 1;
/// Time after which a granter no longer allows for grants of its predecessor.
const WARM_UP: Duration = Duration::from_millis(5_000);
/// Requests per second that each upstream can serve.
const CAPACITY: f64 = 20.0;

/// Returns the id of an upstream from its index and incarnation number.
pub(super) fn upstream_id(index: usize, number: u32) -> UpstreamId {
    let letter = char::from(b'a' + index as u8);
    UpstreamId::from(format!("{letter}{number}"))
}

/// Returns the index of the upstream that holds a slice at the start. In a scope with rollbacks
/// it is not the upstream that a granter without a record would choose.
pub(super) fn first_holder(scope: &Scope, slice: usize) -> usize {
    match scope.faults.rollbacks {
        0 => slice,
        _ => scope.upstreams - 1 - slice,
    }
}

impl World {
    /// Creates a state in which the first granter has been the leader for some time.
    pub fn new(scope: &Scope) -> Self {
        let slices = KeyRange::ALL.divide(scope.ranges as u32);
        let ranges = checked_ranges(scope, &slices);
        let ids = (0..scope.upstreams).map(|index| upstream_id(index, 1));
        let upstreams: Vec<Upstream> = ids.map(|id| Upstream::new(id, 1, &ranges)).collect();
        let record = founding_record(scope, &upstreams, &slices);
        let mut world = Self {
            scope: *scope,
            ranges,
            now: Time::ZERO,
            remaining_faults: Faults::default(),
            process: None,
            successor_at: None,
            terms: FOUNDING_TERM,
            superseded: None,
            store_fails: false,
            record: Some(record),
            history: StoreHistory::default(),
            paths: vec![Path::default(); upstreams.len()],
            upstreams,
            copies: Vec::new(),
            pending_orders: VecDeque::new(),
            standby: scope.standby.then(Standby::default),
            resumed: Vec::new(),
            checker: InvariantChecker::new(scope),
            trace: None,
        };
        world.elect();
        while world.now < Time::ZERO + WARM_UP {
            world.tick();
        }
        world.remaining_faults = scope.faults;
        if scope.faults.rollbacks > 0 {
            world.add_past_records();
        }
        world
    }

    /// Starts a granter from the durable record.
    pub(super) fn elect(&mut self) {
        self.terms += 1;
        let term = self.terms;
        self.trace_event(|| format!("granter {term} takes over"));
        let epoch = Epoch(term);
        let record = self.record.as_ref();
        let mut granter = Granter::new(self.now, self.scope.timing, epoch, record);
        let is_doubted = self.doubt_lost_records(&mut granter);
        if self.scope.loses_all_processes && !is_doubted {
            granter.assume_grants_in_flight(self.now);
        }
        let mut process = Process {
            term: Term(term),
            granter,
            calls: Vec::new(),
            connected: vec![false; self.upstreams.len()],
            is_paused: false,
        };
        if self.scope.standby {
            process.granter.set_standbys(self.now, &[standby_id()]);
        }
        self.process = Some(process);
        self.successor_at = None;
        self.update_candidates();
    }

    /// Passes the registered upstreams to the granter.
    pub(super) fn update_candidates(&mut self) {
        let registered = self.upstreams.iter().zip(&self.paths);
        let candidates: Vec<Candidate> = registered
            .map(|(upstream, path)| candidate(upstream.id.clone(), path.is_draining))
            .collect();
        if let Some(process) = &mut self.process {
            process.granter.set_candidates(self.now, candidates);
        }
    }
}

fn candidate(id: UpstreamId, is_draining: bool) -> Candidate {
    let standing = match is_draining {
        true => CandidateState::Draining,
        false => CandidateState::Ready,
    };
    Candidate {
        id,
        state: standing,
        capacity: CAPACITY,
        last_answered: None,
    }
}

/// The ranges that are checked one by one: the slices at the start, or those into which a
/// granter without a record divides the keys.
fn checked_ranges(scope: &Scope, slices: &[KeyRange]) -> Vec<KeyRange> {
    if !scope.loses_all_records {
        return slices.to_vec();
    }
    let ids = (0..scope.upstreams).map(|index| upstream_id(index, 1));
    let divided = divided_record(scope, ids).slices;
    divided.iter().map(|slice| slice.range).collect()
}

/// Creates the first record of a granter that finds none.
fn divided_record(scope: &Scope, ids: impl Iterator<Item = UpstreamId>) -> AssignmentRecord {
    let epoch = Epoch(FOUNDING_TERM);
    let mut granter = Granter::new(Time::ZERO, scope.timing, epoch, None);
    granter.set_candidates(Time::ZERO, ids.map(|id| candidate(id, false)));
    if scope.standby {
        granter.set_standbys(Time::ZERO, &[standby_id()]);
    }
    granter.poll(Time::ZERO + scope.timing.quiet_period);
    granter
        .take_record()
        .expect("keys are divided once settled")
}

/// Creates a record in which each range is held by a different upstream. A granter creates the
/// record so that it is complete; only its slices are replaced.
fn founding_record(scope: &Scope, upstreams: &[Upstream], ranges: &[KeyRange]) -> AssignmentRecord {
    let epoch = Epoch(FOUNDING_TERM);
    let ids = upstreams.iter().map(|upstream| upstream.id.clone());
    let mut record = divided_record(scope, ids);
    let held = ranges.iter().enumerate();
    let slices = held.map(|(index, range)| SliceRecord {
        range: *range,
        state: SliceState::Held {
            holder: upstreams[first_holder(scope, index)].id.clone(),
            token: FencingToken::new(epoch, index as u64 + 1),
        },
    });
    record.slices = slices.collect();
    record
}
