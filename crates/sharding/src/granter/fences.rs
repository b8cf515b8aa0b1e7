//! The granter's dealings with upstreams that lost keys without an answer.

use super::Granter;
use crate::fence::{FenceNotice, UnfencedUpstream};
use crate::order::{CallId, GrantOrder, GrantReply, OrderKind};
use crate::range::KeyRange;
use crate::slice::Phase;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::BTreeMap;

impl Granter {
    /// Takes over whom the record names. Keys that the same upstream holds by that record
    /// were given to it after it had answered.
    pub(super) fn adopt_unfenced(&mut self, now: Time, unfenced: &[UnfencedUpstream]) {
        for UnfencedUpstream { upstream, ranges } in unfenced {
            for range in ranges {
                let mut slices = self.slices.values();
                let holds = slices
                    .any(|slice| slice.holder() == Some(upstream) && slice.range.overlaps(*range));
                if !holds {
                    self.fences.add(now, upstream, *range);
                }
            }
        }
    }

    /// Whom the next record names: also those that are asked for keys, since a successor
    /// may find this record and parts of the next one, by which the keys have gone on.
    pub(super) fn unfenced_record(&self) -> Vec<UnfencedUpstream> {
        let named = self.fences.record().into_iter();
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

    /// Releases that are due to upstreams that lost keys without an answer.
    pub(super) fn fence_orders(&mut self, now: Time) -> Vec<GrantOrder> {
        self.fences.forget(now);
        if self.fences.count() == 0 {
            return Vec::new();
        }
        let slices = &self.slices;
        let holds = |id: &UpstreamId| slices.values().any(|slice| slice.holder() == Some(id));
        let due = self.fences.due(now, holds);
        let mut orders = Vec::new();
        for release in due {
            let call = CallId(self.next_call);
            self.next_call += 1;
            self.fences.sent(now, call, &release);
            orders.push(GrantOrder {
                call,
                token: self.next_token(),
                holder: release.upstream,
                range: release.range,
                kind: OrderKind::Release,
            });
        }
        orders
    }

    /// Takes the answer to a release of that kind.
    pub(super) fn fence_answered(&mut self, now: Time, call: CallId, reply: &GrantReply) {
        let Some(upstream) = self.fences.asked(call) else {
            return;
        };
        if *reply == GrantReply::Replaced {
            self.proved_dead(&upstream);
            return;
        }
        let is_fenced = self.fences.handle(now, &upstream, call, reply);
        if !is_fenced {
            return;
        }
        self.end_earlier_fences(&upstream);
        if let Some(contact) = self.contacts.get_mut(&upstream) {
            contact.forgive();
        }
    }

    /// What became of upstreams that lost keys without an answer, since the last call.
    pub fn take_fence_notices(&mut self) -> Vec<FenceNotice> {
        self.fences.take_notices()
    }

    /// How many upstreams lost keys and have not answered yet.
    pub fn unfenced_count(&self) -> usize {
        self.fences.count()
    }
}
