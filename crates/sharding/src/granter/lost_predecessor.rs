//! Grants that were in flight when the preceding granter and every process that observed it
//! ended.
//!
//! A granter records that an upstream may still execute a grant when it gives the grant up, so
//! a granter that ends within the order timeout leaves no trace of it. Neither the record nor an
//! upstream that does not reply tells its successor whether there was such a grant.
//!
//! Invariant: a term of which no process observed the predecessor moves the keys of a recorded
//! holder that was registered in this term only when the holder has executed a grant of this
//! term, has terminated, or can neither execute nor hold an earlier grant any more. Its registration may expire meanwhile: it may be unreachable rather than terminated.
//! Failure that this prevents: all processes were killed within 0.4 s of a renewal that its upstream
//! executed late, and the upstream could not be reached. Its keys were assigned to another one
//! after 5 s, and it accepted the renewal under the lower token after 6 s.
//!
//! Records name the keys that still wait, so that a successor which observed this term waits,
//! too.
//!
//! The price is that keys of an upstream that is lost with all processes have no owner for 15 s.
//! If a process is left that observed the preceding term, its keys go to another upstream as
//! soon as grants in force have expired.
//!
//! A holder that executed one grant of the term can be reached, so its other keys are renewed,
//! too. A wait for each of its slices left keys without an owner for 11 s because a granter
//! with little processor time renewed some of them late.
//!
//! Not covered: a successor that observed the preceding term, a holder that is not registered
//! when the term begins, and one that becomes unreachable after it has executed a grant of the
//! term and before it is sent the others.

use super::Granter;
use crate::range::{KeyRange, ShardKey};
use crate::slice::Slice;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;

impl Granter {
    /// Accounts at `now` for grants in flight: no live process is known to have observed the
    /// preceding term.
    pub fn assume_grants_in_flight(&mut self, now: Time) {
        if !self.timing.guards.assumes_grants_in_flight {
            return;
        }
        let until = now + self.timing.longest_possible();
        self.grants_in_flight_until = until;
        let held = self.slices.values_mut();
        for slice in held.filter(|slice| slice.current_holder().is_some()) {
            slice.unconfirmed_until = slice.unconfirmed_until.max(Some(until));
        }
        if now >= self.record_doubted_until {
            self.renew_under_own_tokens();
        }
    }

    /// Withdraws that assumption: a live process observed the preceding term.
    pub fn rule_out_grants_in_flight(&mut self) {
        self.grants_in_flight_until = Time::ZERO;
        let fence_end = self.term_fence.until();
        for slice in self.slices.values_mut() {
            slice.unconfirmed_until = slice.unconfirmed_until.and(fence_end);
        }
        self.dirty = true;
    }

    /// Ends the wait for a holder that has executed a grant of this term.
    pub(super) fn confirm_reachable(&mut self, holder: &UpstreamId) {
        let fence_end = self.term_fence.until();
        let slices = self.slices.values_mut();
        for slice in slices.filter(|slice| slice.current_holder() == Some(holder)) {
            slice.unconfirmed_until = slice.unconfirmed_until.and(fence_end);
        }
    }

    /// Renews recorded holders under tokens of this term at once: the first reply then shows
    /// that they refuse all earlier grants.
    fn renew_under_own_tokens(&mut self) {
        let recorded: Vec<ShardKey> = self.slices.keys().copied().collect();
        for first in recorded {
            self.take_block(first);
        }
    }

    /// The keys that wait for replies of their holders, and until when.
    pub(super) fn keys_with_grants_in_flight(&self) -> impl Iterator<Item = (KeyRange, Time)> {
        let is_assumed = self.polled_at < self.grants_in_flight_until;
        let slices = self.slices.values().filter(move |_| is_assumed);
        let unconfirmed =
            slices.filter_map(|slice: &Slice| Some((slice, slice.unconfirmed_until?)));
        let waiting = unconfirmed.filter(|(slice, _)| self.was_holder_registered(slice));
        waiting.map(|(slice, until)| (slice.range, until))
    }

    fn was_holder_registered(&self, slice: &Slice) -> bool {
        let holder = slice.current_holder();
        holder.is_some_and(|holder| {
            self.candidates.contains_key(holder) || self.departed_at.contains_key(holder)
        })
    }
}
