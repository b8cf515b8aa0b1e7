//! Fencing of upstreams that lost keys without a reply: the granter's part.

use super::Granter;
use crate::lost_holders::{DueRelease, FenceNotice, LostHolders, UnfencedUpstream};
use crate::order::{CallId, GrantOrder, GrantReply, OrderKind};
use crate::range::KeyRange;
use crate::slice::{Phase, Slice};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::{BTreeMap, BTreeSet};

impl Granter {
    /// Adopts the unfenced upstreams that the record names. Keys that the same upstream holds
    /// according to that record were granted after it had replied, and keys that are being
    /// revoked from it wait for its reply anyway.
    pub(super) fn adopt_unfenced(&mut self, now: Time, unfenced: &[UnfencedUpstream]) {
        for UnfencedUpstream { upstream, ranges } in unfenced {
            for range in ranges {
                let mut slices = self.slices.values();
                let has = slices.any(|slice| {
                    slice.current_holder() == Some(upstream) && slice.range.overlaps(*range)
                });
                if !has {
                    let token = self.next_token();
                    self.lost_holders.add(now, upstream, *range, token);
                }
            }
        }
    }

    /// The unfenced upstreams that the next record names. They include upstreams whose keys
    /// are being revoked, since a successor may find this record together with parts of the
    /// next one, in which the keys have already moved on.
    pub(super) fn unfenced_record(&self) -> Vec<UnfencedUpstream> {
        let named = self.lost_holders.record().into_iter();
        let mut named: BTreeMap<UpstreamId, Vec<KeyRange>> = named
            .map(|unfenced| (unfenced.upstream, unfenced.ranges))
            .collect();
        for slice in self.slices.values() {
            if let Phase::Leaving { holder, .. } = &slice.phase {
                named.entry(holder.clone()).or_default().push(slice.range);
            }
        }
        let named = named.into_iter();
        named
            .map(|(upstream, ranges)| UnfencedUpstream { upstream, ranges })
            .collect()
    }

    /// The releases that are due to upstreams that lost keys without a reply.
    pub(super) fn fence_orders(&mut self, now: Time) -> Vec<GrantOrder> {
        self.remove_fenced(now);
        if self.lost_holders.count() == 0 {
            return Vec::new();
        }
        let holders: BTreeSet<&UpstreamId> =
            self.slices.values().filter_map(Slice::holder).collect();
        let due = self.lost_holders.due(now, |id| holders.contains(id));
        self.release_orders(now, due, |granter| &mut granter.lost_holders)
    }

    /// The orders for due releases, which are counted as sent where their replies are awaited.
    pub(super) fn release_orders(
        &mut self,
        now: Time,
        due: Vec<DueRelease>,
        awaited_in: impl Fn(&mut Self) -> &mut LostHolders,
    ) -> Vec<GrantOrder> {
        let mut orders = Vec::new();
        for release in due {
            let call = CallId(self.next_call);
            self.next_call += 1;
            awaited_in(self).sent(now, call, &release);
            orders.push(GrantOrder {
                call,
                token: release.token,
                holder: release.upstream,
                range: release.range,
                kind: OrderKind::Release,
            });
        }
        orders
    }

    /// Handles the reply to such a release.
    pub(super) fn handle_fence_reply(&mut self, now: Time, call: CallId, reply: &GrantReply) {
        if let Some(upstream) = self.term_fence.handle_reply(now, call, reply) {
            if *reply == GrantReply::Replaced {
                self.mark_terminated(&upstream);
            }
            return;
        }
        let Some(upstream) = self.lost_holders.recipient(call) else {
            return;
        };
        if *reply == GrantReply::Replaced {
            self.mark_terminated(&upstream);
            return;
        }
        self.lost_holders.handle_reply(now, &upstream, call, reply);
        self.remove_fenced(now);
    }

    /// Lets upstreams that have confirmed all releases get keys again.
    fn remove_fenced(&mut self, now: Time) {
        for upstream in self.lost_holders.remove_settled(now) {
            self.end_earlier_fences(&upstream);
            if let Some(contact) = self.contacts.get_mut(&upstream) {
                contact.clear_silence();
            }
        }
    }

    /// Whether an upstream has to confirm a release before it gets keys.
    pub(super) fn is_unfenced(&self, id: &UpstreamId) -> bool {
        self.lost_holders.is_unfenced(id) || self.term_fence.is_unfenced(id)
    }

    /// Whether an upstream owes the term's releases alone, and no upstream has replied to them
    /// in time: keys then go to one of those rather than to nobody.
    pub(super) fn is_none_fenced(&self, id: &UpstreamId) -> bool {
        let fence = &self.term_fence;
        let mut candidates = self.candidates.keys();
        fence.until().is_none()
            && !self.lost_holders.is_unfenced(id)
            && candidates.all(|id| fence.is_unfenced(id))
    }

    /// Takes the fencing notices since the last call.
    pub fn take_fence_notices(&mut self) -> Vec<FenceNotice> {
        let mut notices = self.lost_holders.take_notices();
        notices.extend(self.term_fence.take_notices());
        notices
    }

    /// Number of upstreams that have to confirm a release and have not replied yet.
    pub fn unfenced_count(&self) -> usize {
        self.lost_holders.count() + self.term_fence.unfenced_count()
    }
}
