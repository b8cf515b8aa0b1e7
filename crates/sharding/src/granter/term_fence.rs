//! Fencing of all upstreams by a term that may not know all earlier grants.
//!
//! After a rollback of the store, a record lacks the holders that the lost records named, and
//! the granters and standbys that sent grants under those may be gone. Any upstream may then
//! have a grant of any key that it has not executed yet, and nothing that the term can read
//! names it.
//!
//! Invariant: such a term assigns keys only when each registered upstream has replied to a
//! release, under a token of this term, of all keys that the record does not give it. Keys of
//! a recorded holder that is registered move only when the holder has executed a grant or a
//! release of them under such a token. From then on an upstream refuses every grant of an
//! earlier term, whoever sent it. While one does not reply, keys wait until no earlier grant
//! can be executed or be in force any more. It is sent releases beyond that, since a partition
//! may delay a grant for longer, and gets no keys before it replies. Failure that this prevents: an upstream
//! that the record did not name was sent nothing by the new term, executed a standby's renewal
//! after seven seconds, and held keys that had been granted to another upstream meanwhile.
//!
//! Records state how long earlier grants remain possible, so that a successor fences too.
//!
//! Releases are sent at the end of the wait for unknown holders if nobody holds keys by the
//! record, so that they also revoke what is executed until then.
//!
//! Not covered: an upstream that is neither registered nor named by the record, and one that
//! restarts after it has replied and executes an old grant before it is registered again.

use super::Granter;
use crate::lost_holders::{FenceNotice, LostHolders};
use crate::order::{CallId, GrantOrder, GrantReply};
use crate::range::{KeyRange, ShardKey};
use crate::record::DoubtedKeys;
use crate::slice::Slice;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// The fencing of all upstreams by a term.
#[derive(Clone, Debug, Default)]
pub(super) struct TermFence {
    /// Until when grants that the adopted record does not contain may be executed or be in
    /// force.
    until: Time,
    /// Upstreams that have been sent releases, whether they replied or not.
    addressed: BTreeSet<UpstreamId>,
    /// Those that have not replied.
    unfenced: LostHolders,
}

impl TermFence {
    /// Whether earlier grants that the adopted record does not contain are possible.
    fn is_active(&self, now: Time) -> bool {
        now < self.until
    }

    /// Whether an upstream has been sent releases and has not replied.
    pub fn is_unfenced(&self, upstream: &UpstreamId) -> bool {
        self.unfenced.is_unfenced(upstream)
    }

    /// Number of upstreams that have been sent releases and have not replied.
    pub fn unfenced_count(&self) -> usize {
        self.unfenced.count()
    }

    /// Ends the wait. Upstreams that have not replied are sent releases until they do.
    fn end(&mut self) {
        self.until = Time::ZERO;
        self.addressed.clear();
    }

    /// Records that an upstream has terminated and executes no more orders.
    pub fn mark_terminated(&mut self, upstream: &UpstreamId) {
        self.unfenced.mark_terminated(upstream);
    }

    /// Updates which upstreams are registered.
    pub fn set_registered(&mut self, now: Time, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.unfenced.set_registered(now, is_registered);
    }

    /// Until when grants that the adopted record does not contain remain possible, if any
    /// are.
    pub fn until(&self) -> Option<Time> {
        (self.until > Time::ZERO).then_some(self.until)
    }

    /// Takes the notices since the last call.
    pub fn take_notices(&mut self) -> Vec<FenceNotice> {
        self.unfenced.take_notices()
    }

    /// Applies the reply to a release; returns the upstream if the release was one of these.
    pub fn handle_reply(
        &mut self,
        now: Time,
        call: CallId,
        reply: &GrantReply,
    ) -> Option<UpstreamId> {
        let upstream = self.unfenced.recipient(call)?;
        self.unfenced.handle_reply(now, &upstream, call, reply);
        Some(upstream)
    }
}

impl Granter {
    /// Begins to fence all upstreams: until then, grants that the record does not contain may
    /// be executed or be in force.
    pub(super) fn begin_term_fence(&mut self, until: Time) {
        if !self.timing.guards.fences_all_upstreams {
            return;
        }
        self.term_fence.until = self.term_fence.until.max(until);
        for slice in self.slices.values_mut() {
            if slice.current_holder().is_some() {
                slice.unconfirmed_until = slice.unconfirmed_until.max(Some(until));
            }
        }
    }

    /// Continues the fencing that a doubted record requires.
    pub(super) fn adopt_term_fence(&mut self, now: Time, doubted: &[DoubtedKeys]) {
        let whole = doubted.iter().filter(|keys| keys.is_whole());
        let left = whole.map(|keys| Duration::from_millis(keys.left_ms.into()));
        let (Some(shortest), Some(longest)) = (left.clone().min(), left.max()) else {
            return;
        };
        let in_force = self.timing.longest_in_force();
        if self.timing.guards.doubts_records {
            self.record_doubted_until = now + longest.min(in_force);
            self.begin_term_fence(now + longest);
        }
        // A longer time is that of the fence alone: the wait for unknown holders is over.
        if self.timing.guards.respects_predecessor && shortest <= in_force {
            self.withhold_until(KeyRange::ALL, now + shortest);
            self.suspend_renewals(now);
        }
    }

    /// Whether keys wait because an upstream may execute a grant of an earlier term.
    pub(super) fn awaits_term_fence(&self, now: Time) -> bool {
        let fence = &self.term_fence;
        let is_fenced = |id: &UpstreamId| {
            let is_addressed = fence.addressed.contains(id) && !fence.is_unfenced(id);
            is_addressed || self.terminated.contains(id)
        };
        fence.is_active(now) && !self.candidates.keys().all(is_fenced)
    }

    /// The releases that are due to upstreams that this term has not fenced yet.
    pub(super) fn term_fence_orders(&mut self, now: Time) -> Vec<GrantOrder> {
        if self.term_fence.is_active(now) {
            if self.fences_term(now) {
                self.address_candidates(now);
            }
        } else if self.term_fence.until().is_some() {
            self.term_fence.end();
            self.dirty = true;
        }
        if self.term_fence.unfenced_count() == 0 {
            return Vec::new();
        }
        for upstream in self.term_fence.unfenced.remove_settled(now) {
            if let Some(contact) = self.contacts.get_mut(&upstream) {
                contact.clear_silence();
            }
        }
        let holders: BTreeSet<&UpstreamId> = self
            .slices
            .values()
            .filter_map(Slice::current_holder)
            .collect();
        let due = self.term_fence.unfenced.due(now, |id| holders.contains(id));
        self.release_orders(now, due, |granter| &mut granter.term_fence.unfenced)
    }

    /// Whether upstreams are to be fenced now: the wait for unknown holders is over, or
    /// others hold keys by the record.
    fn fences_term(&self, now: Time) -> bool {
        let is_over = self.withheld_keys().all(|(_, until)| now >= until);
        let mut slices = self.slices.values();
        is_over || slices.any(|slice| slice.current_holder().is_some())
    }

    /// Adds the registered upstreams that have not been addressed yet.
    fn address_candidates(&mut self, now: Time) {
        let candidates = self.candidates.keys();
        let new: Vec<UpstreamId> = candidates
            .filter(|id| !self.term_fence.addressed.contains(*id))
            .filter(|id| !self.terminated.contains(id))
            .cloned()
            .collect();
        for id in new {
            let token = self.next_token();
            for range in self.keys_of_others(&id) {
                self.term_fence.unfenced.add(now, &id, range, token);
            }
            self.term_fence.addressed.insert(id);
        }
    }

    /// Fences an upstream that no longer holds the keys that the record gives it.
    pub(super) fn fence_recorded_holder(&mut self, now: Time, id: &UpstreamId, range: KeyRange) {
        if self.term_fence.is_active(now) {
            let token = self.next_token();
            self.term_fence.unfenced.add(now, id, range, token);
        }
    }

    /// All keys except those that the upstream holds or is asked to give back, as few ranges.
    fn keys_of_others(&self, id: &UpstreamId) -> Vec<KeyRange> {
        let mut ranges = Vec::new();
        let mut first = Some(KeyRange::ALL.first);
        let own = self
            .slices
            .values()
            .filter(|slice| slice.current_holder() == Some(id));
        for slice in own {
            if let Some(first) = first.filter(|first| *first < slice.range.first) {
                let last = ShardKey(slice.range.first.0 - 1);
                ranges.push(KeyRange { first, last });
            }
            first = slice.range.last.0.checked_add(1).map(ShardKey);
        }
        let last = KeyRange::ALL.last;
        ranges.extend(first.map(|first| KeyRange { first, last }));
        ranges
    }
}
