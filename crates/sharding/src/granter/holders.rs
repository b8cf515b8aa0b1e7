//! Assignment of slices to holders: the initial division of the keys, revocation, and
//! assignment of free slices.

use super::least_loaded::LeastLoadedQueue;
use super::{
    Candidate, CandidateState, Contact, DoubtNotice, EXCLUSION_PERIOD, Granter, new_slice,
};
use crate::part::Part;
use crate::range::{KeyRange, ShardKey};
use crate::record::RecordNumber;
use crate::slice::{LossCause, Phase, Slice, Unowned};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest wait for upstreams to appear, as a multiple of the quiet period.
const MAX_QUIET_PERIODS: u32 = 4;
/// Maximum number of slices created for each upstream at the first start.
const SLICES_PER_UPSTREAM: u32 = 8;
/// Maximum total number of slices created, unless there are more upstreams than that: each
/// slice costs one grant per renewal interval. With more upstreams, only as many of them get
/// a slice as the granter can renew in time; load balancing later splits busy slices and
/// moves parts to the others. A granter with more slices than that renews them late, and
/// holders lose keys that nobody takes from them.
const MAX_SLICES: u32 = 400;
/// Weight of a fraction of the keys relative to counted requests, so that idle slices are
/// distributed too.
const IDLE_WEIGHT: f64 = 4.0;

/// Slices of a holder that expire within this time are freed together.
const EXPIRY_GROUPING: Duration = Duration::from_millis(120);

impl Granter {
    /// Divides the keys at the very first start.
    pub(super) fn create_slices(&mut self, now: Time) {
        let ready = self.assignable().count() as u32;
        if !self.slices.is_empty() || ready == 0 || !self.discovery_settled(now) {
            return;
        }
        let slices_per_upstream = (MAX_SLICES / ready).clamp(1, SLICES_PER_UPSTREAM);
        let max_slices = self.timing.renewable().max(MAX_SLICES);
        for range in divide((ready * slices_per_upstream).min(max_slices)) {
            let phase = Phase::Free { handover: None };
            self.slices
                .insert(range.first, new_slice(now, range, phase, now));
        }
    }

    /// Whether upstreams had time to appear, so that the first one does not get all keys.
    pub(super) fn discovery_settled(&self, now: Time) -> bool {
        let Some(first) = self.first_appeared else {
            return false;
        };
        now.since(self.last_appeared) >= self.timing.quiet_period
            || now.since(first) >= self.timing.quiet_period * MAX_QUIET_PERIODS
    }

    /// Upstreams that may be assigned keys: the ready ones, or the cold ones if none is
    /// ready.
    pub(super) fn assignable(&self) -> impl Iterator<Item = &Candidate> {
        let has_ready = self.candidates_in(CandidateState::Ready).next().is_some();
        self.candidates_in(match has_ready {
            true => CandidateState::Ready,
            false => CandidateState::Cold,
        })
    }

    fn candidates_in(&self, state: CandidateState) -> impl Iterator<Item = &Candidate> {
        self.candidates
            .values()
            .filter(move |one| one.state == state && !self.terminated.contains(&one.id))
            .filter(|one| !self.is_unfenced(&one.id) || self.is_none_fenced(&one.id))
    }

    /// Upstreams to choose new holders from: the assignable ones that respond, or all
    /// assignable ones if none responds.
    pub(super) fn eligible_holders(&self, now: Time) -> Vec<&Candidate> {
        let answers = |one: &&Candidate| {
            let until = self.excluded_until.get(&one.id);
            let is_excluded = until.is_some_and(|until| now < *until);
            !is_excluded && self.unanswered_for(now, &one.id).is_none()
        };
        let answering: Vec<&Candidate> = self.assignable().filter(answers).collect();
        if answering.is_empty() {
            self.assignable().collect()
        } else {
            answering
        }
    }

    /// Starts to revoke slices from holders that are draining, deregistered, unresponsive or
    /// terminated. While no keys can be assigned, a draining holder keeps them.
    pub(super) fn revoke_from_leavers(&mut self, now: Time) {
        let silence = self.timing.silence_timeout;
        let keeps_draining = self.awaits_term_fence(now);
        let leaving: Vec<ShardKey> = self
            .slices
            .values()
            .filter(|slice| {
                let Some(holder) = slice.holder() else {
                    return false;
                };
                let candidate = self.candidates.get(holder);
                let stays = candidate
                    .is_some_and(|one| one.state != CandidateState::Draining || keeps_draining);
                let last_answered = candidate.and_then(|one| one.last_answered);
                let contact = self.contacts.get(holder);
                let silent = contact.is_some_and(|one| one.is_silent(now, silence, last_answered));
                !stays || silent || self.terminated.contains(holder)
            })
            .map(|slice| slice.range.first)
            .collect();
        for first in leaving {
            let loss = self.loss_of(now, first);
            self.exclude_unresponsive(now, first);
            self.begin_release(now, first, None, loss);
        }
    }

    /// Why the holder of a slice loses it, and since when it may not have served it.
    fn loss_of(&self, now: Time, first: ShardKey) -> Unowned {
        let holder = self.slices.get(&first).and_then(Slice::holder);
        let contact = holder.and_then(|holder| self.contacts.get(holder));
        let unanswered = contact.and_then(Contact::unanswered_since);
        let has_terminated = holder.is_some_and(|holder| self.terminated.contains(holder));
        let cause = match unanswered {
            _ if has_terminated => LossCause::Terminated,
            Some(_) => LossCause::Silent,
            None => LossCause::Left,
        };
        Unowned {
            cause,
            since: unanswered.unwrap_or(now),
        }
    }

    /// Excludes a holder that loses keys because it is unresponsive from new assignments for
    /// a while.
    pub(super) fn exclude_unresponsive(&mut self, now: Time, first: ShardKey) {
        let holder = self.slices.get(&first).and_then(Slice::holder);
        let silent = holder.filter(|holder| self.unanswered_for(now, holder).is_some());
        if let Some(holder) = silent.cloned() {
            self.excluded_until.insert(holder, now + EXCLUSION_PERIOD);
        }
    }

    /// How long a holder has answered no grant.
    pub(super) fn unanswered_for(&self, now: Time, holder: &UpstreamId) -> Option<Duration> {
        self.contacts.get(holder)?.unanswered_for(now)
    }

    pub(super) fn begin_release(
        &mut self,
        now: Time,
        first: ShardKey,
        next: Option<UpstreamId>,
        loss: Unowned,
    ) {
        let release = self.next_token();
        let recorded_in = self.next_sequence;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        let Phase::Held { holder, token, .. } = &slice.phase else {
            return;
        };
        let phase = Phase::Leaving {
            holder: holder.clone(),
            token: *token,
            release,
            next,
        };
        slice.set_phase(phase);
        slice.recorded_in = recorded_in;
        slice.due_at = now;
        slice.changed_at = now;
        slice.unowned = Some(loss);
        self.dirty = true;
    }

    /// Frees slices whose grants have all expired.
    pub(super) fn free_expired(&mut self, now: Time) {
        let durable = self.durable_sequence;
        let waits = self.timing.guards.waits_for_lapse;
        let grouped_expiries = self.grouped_expiries(now);
        let epoch = self.epoch;
        let standbys = &self.standbys;
        let waits_for_standbys = self.timing.guards.waits_for_standbys;
        let candidates = &self.candidates;
        let departed_at = &self.departed_at;
        let assumes_in_flight = now < self.grants_in_flight_until;
        let mut lost = Vec::new();
        for slice in self.slices.values_mut() {
            let Phase::Leaving { holder, .. } = &slice.phase else {
                continue;
            };
            let grant_pending = slice
                .pending_call
                .and_then(|call| self.calls.get(&call))
                .is_some_and(|call| call.hold.is_some());
            let expires_at = grouped_expiries
                .get(holder)
                .copied()
                .unwrap_or(slice.expires_at);
            let lapsed = now >= slice.expires_at.max(expires_at) || !waits;
            let sequence = slice.recorded_in;
            let prolonged = standbys.hold_until(RecordNumber { epoch, sequence });
            let lapsed = lapsed && (now >= prolonged || !waits_for_standbys);
            let lapsed = lapsed && !grant_pending && slice.recorded_in <= durable;
            let has_terminated = self.terminated.contains(holder);
            let doubt_end = slice.doubt.as_ref().map(|doubt| doubt.until);
            let has_departed = assumes_in_flight && departed_at.contains_key(holder);
            let unconfirmed_until = slice
                .unconfirmed_until
                .filter(|_| has_departed || candidates.contains_key(holder));
            let doubt_end = doubt_end.max(unconfirmed_until);
            let left = doubt_end.unwrap_or_default().since(now);
            let is_doubted = waits && !left.is_zero() && !has_terminated;
            if lapsed && is_doubted && !slice.awaits_doubt_end {
                slice.awaits_doubt_end = true;
                self.doubt_notices.push(DoubtNotice {
                    range: slice.range,
                    holder: holder.clone(),
                    left,
                });
            }
            let lapsed = lapsed && !is_doubted;
            if !has_terminated && lapsed && self.timing.guards.fences_lost_holders {
                lost.push((holder.clone(), slice.range));
            }
            if lapsed || has_terminated {
                slice.set_phase(Phase::Free { handover: None });
                slice.pending_call = None;
                slice.expires_at = now;
            }
        }
        for (holder, range) in lost {
            let token = self.next_token();
            self.lost_holders.add(now, &holder, range, token);
        }
    }

    /// For each holder that loses slices, the last expiry among those that expire about now:
    /// freed together, they fit into one record.
    fn grouped_expiries(&self, now: Time) -> BTreeMap<UpstreamId, Time> {
        let mut last: BTreeMap<UpstreamId, Time> = BTreeMap::new();
        for slice in self.slices.values() {
            let Phase::Leaving { holder, .. } = &slice.phase else {
                continue;
            };
            if slice.expires_at.since(now) < EXPIRY_GROUPING {
                match last.get_mut(holder) {
                    Some(last) => *last = slice.expires_at.max(*last),
                    None => {
                        last.insert(holder.clone(), slice.expires_at);
                    }
                }
            }
        }
        last
    }

    /// Assigns free slices, each to the least loaded upstream.
    pub(super) fn assign_free(&mut self, now: Time) {
        self.expire_withheld(now);
        if self.awaits_term_fence(now) {
            return;
        }
        self.reassign_doubted(now);
        let free: Vec<ShardKey> = self
            .slices
            .values()
            .filter(|slice| matches!(slice.phase, Phase::Free { .. }))
            .filter(|slice| slice.doubt.is_none() && !self.is_withheld(slice.range))
            .map(|slice| slice.range.first)
            .collect();
        if free.is_empty() {
            return;
        }
        let mut queue =
            LeastLoadedQueue::new(&self.loads(), self.eligible_holders(now).into_iter());
        for first in free {
            let weight = self.weight(self.slices[&first].range);
            let Some(id) = queue.take(weight) else {
                return;
            };
            self.assign(now, first, id);
        }
    }

    pub(super) fn assign(&mut self, now: Time, first: ShardKey, holder: UpstreamId) {
        let token = self.next_token();
        let recorded_in = self.next_sequence;
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        let Phase::Free { handover } = &slice.phase else {
            return;
        };
        if let Some(contact) = self.contacts.get_mut(&holder) {
            contact.clear_silence();
        }
        let handover = handover.clone();
        slice.set_phase(Phase::Held {
            holder,
            token,
            handover,
        });
        slice.recorded_in = recorded_in;
        slice.due_at = now;
        slice.changed_at = now;
        self.dirty = true;
    }

    pub(super) fn weight(&self, range: KeyRange) -> f64 {
        let share = f64::from(range.len()) / f64::from(KeyRange::ALL.len());
        self.load.of_range(range) + IDLE_WEIGHT * share
    }

    /// Total weight of the slices that each upstream holds.
    pub(super) fn loads(&self) -> BTreeMap<UpstreamId, f64> {
        let mut loads = BTreeMap::new();
        for slice in self.slices.values() {
            if let Some(holder) = slice.holder() {
                *loads.entry(holder.clone()).or_default() += self.weight(slice.range);
            }
        }
        loads
    }
}

/// Divides all keys into that number of slices, but at least one for each part. No slice
/// crosses the end of a part.
fn divide(slices: u32) -> Vec<KeyRange> {
    let parts = Part::all().count() as u32;
    let before = |part: u32| part * slices / parts;
    let ranges = Part::all().flat_map(|part| {
        let number = u32::from(part.number());
        let count = before(number + 1) - before(number);
        part.range().divide(count.max(1))
    });
    ranges.collect()
}
