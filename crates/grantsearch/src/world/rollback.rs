//! Rollback of the store, and the first term of the era that it begins.
//!
//! The store loses its newest records, and the term of the granter ends. The next granter has
//! no other source, as if no node knew a newer record, and treats what is left as the router
//! does: a record of an earlier era is doubted, and all keys are withheld, as they are without
//! a record. The upstreams stay registered, and it stays known
//! that there were earlier terms.

use super::start::first_holder;
use super::{Step, World};
use crate::scope::TICK;
use beamtray_metastore::{Epoch, StoreEra};
use beamtray_sharding::{
    AssignmentRecord, FencingToken, Granter, KeyRange, SliceRecord, SliceState,
};

/// The records to which the store may roll back, and its era.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreHistory {
    era: u32,
    /// Oldest first, without the newest record.
    earlier: Vec<AssignmentRecord>,
}

impl StoreHistory {
    /// Adds a record that a newer one replaces, unless they differ only in how long doubts last.
    pub fn add(&mut self, before: Option<AssignmentRecord>, newer: &AssignmentRecord) {
        self.earlier
            .extend(before.filter(|before| differs(before, newer)));
    }

    fn first_epoch(&self) -> Epoch {
        Epoch::first_of(StoreEra(self.era))
    }
}

fn differs(one: &AssignmentRecord, other: &AssignmentRecord) -> bool {
    let doubted = |record: &AssignmentRecord| -> Vec<KeyRange> {
        record.doubted.iter().map(|keys| keys.range).collect()
    };
    one.slices != other.slices
        || one.unfenced != other.unfenced
        || one.standbys != other.standbys
        || doubted(one) != doubted(other)
}

/// The same record with the slices in other states.
fn with_states(
    record: &AssignmentRecord,
    state: impl Fn(usize, &SliceRecord) -> SliceState,
) -> AssignmentRecord {
    let slices = record.slices.iter().enumerate();
    let slices = slices.map(|(index, slice)| SliceRecord {
        range: slice.range,
        state: state(index, slice),
    });
    AssignmentRecord {
        slices: slices.collect(),
        ..record.clone()
    }
}

impl World {
    /// Adds records from before the start: at first nobody held keys, then each slice was held
    /// by another upstream, which has released it since.
    pub(super) fn add_past_records(&mut self) {
        let Some(record) = self.record.clone() else {
            return;
        };
        let free = with_states(&record, |_, _| SliceState::Free);
        let token = FencingToken::new(record.epoch, 0);
        let moved = with_states(&record, |index, _| SliceState::Held {
            holder: self.upstreams[self.past_holder(index)].id.clone(),
            token,
        });
        let release = FencingToken::new(record.epoch, 1);
        for (index, slice) in record.slices.iter().enumerate() {
            let past_holder = self.past_holder(index);
            let holdings = self.upstreams[past_holder].holdings.iter_mut();
            for holding in holdings.filter(|holding| holding.range.overlaps(slice.range)) {
                holding.min_token = release.0;
            }
        }
        self.history.earlier = vec![free, moved];
    }

    /// Index of the upstream that held a slice before the holder at the start.
    fn past_holder(&self, slice: usize) -> usize {
        let count = self.upstreams.len();
        (first_holder(&self.scope, slice) + 1) % count
    }

    /// Returns the rollbacks that are possible now.
    pub(super) fn rollback_steps(&self) -> Vec<Step> {
        if self.remaining_faults.rollbacks == 0 {
            return Vec::new();
        }
        let fewest = usize::from(!self.scope.loses_all_records);
        (fewest..=self.history.earlier.len())
            .map(Step::RollBack)
            .collect()
    }

    /// Rolls the store back, which ends the term of the granter.
    pub(super) fn roll_back(&mut self, kept: usize) {
        self.remaining_faults.rollbacks -= 1;
        self.history.earlier.truncate(kept);
        self.record = self.history.earlier.pop();
        if self.remaining_faults.rollbacks == 0 {
            self.history.earlier.clear();
        }
        self.history.era += 1;
        self.terms = self.history.first_epoch().0 - 1;
        self.end_term();
        self.trace_event(|| format!("the store rolls back, {kept} earlier records are left"));
        if let Some(record) = self.record.clone() {
            self.trace_record(&record);
        }
    }

    /// Ends the granter's term. The calls of a paused granter stay open until it resumes.
    fn end_term(&mut self) {
        let Some(process) = self.process.take() else {
            return;
        };
        if process.is_paused {
            self.superseded = Some(process);
            return;
        }
        let lifetime = self.scope.transport.after_process_exit;
        self.drop_process(&process, lifetime);
        self.successor_at = Some(self.now + TICK);
    }

    /// Lets a new granter doubt a record that the store may have lost successors of. Returns
    /// whether it does.
    pub(super) fn doubt_lost_records(&self, granter: &mut Granter) -> bool {
        let first = self.history.first_epoch();
        let is_doubted = match &self.record {
            Some(record) => record.epoch < first,
            None => first > Epoch(0),
        };
        if !is_doubted {
            return false;
        }
        granter.doubt_record(self.now);
        granter.withhold(self.now, KeyRange::ALL);
        if self.record.is_some() {
            granter.mark_dirty();
        }
        true
    }
}
