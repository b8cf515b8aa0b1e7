//! Reports key ownership at upstreams to the checkers.

use super::World;
use crate::check::{GrantObservation, Holder, OVERLAP, OtherHolder};
use beamtray_emulator::{AcceptedGrant, Delivery, UpstreamEmulator};
use beamtray_sharding::{GrantOrder, ShardKey};

impl World {
    fn holder(&self, index: usize, upstream: &UpstreamEmulator) -> Holder {
        Holder {
            index,
            incarnation: self.upstream_state[index].incarnation,
            id: upstream.config.id.clone(),
        }
    }

    fn others(&self, index: usize) -> impl Iterator<Item = &UpstreamEmulator> {
        let all = self.upstreams.iter().enumerate();
        all.filter(move |(other, _)| *other != index)
            .filter_map(|(_, other)| other.as_ref())
    }

    /// Reports the start of a keyed request.
    pub(super) fn check_owner(&mut self, index: usize, key: ShardKey) {
        let now = self.now;
        // Grants that arrived right after a fault don't count, because their sender could not
        // know what had happened to the keys meanwhile.
        let counted = |upstream: &UpstreamEmulator| {
            let grant = upstream.grant(now, key)?;
            (!grant.delivery.is_after_recovery).then_some(grant.since)
        };
        let Some(upstream) = &self.upstreams[index] else {
            return;
        };
        let Some(since) = counted(upstream) else {
            return;
        };
        let id = upstream.config.id.clone();
        let others = self.others(index);
        let others: Vec<OtherHolder> = others
            .filter_map(|other| {
                Some(OtherHolder {
                    upstream: other.config.id.clone(),
                    since: counted(other)?,
                })
            })
            .collect();
        self.checkers
            .keyed_request_started(now, &id, key, since, &others);
    }

    /// Reports that an upstream accepted a grant.
    pub(super) fn check_taken(&mut self, index: usize, order: &GrantOrder, delivery: Delivery) {
        let now = self.now;
        let Some(upstream) = &self.upstreams[index] else {
            return;
        };
        let holder = self.holder(index, upstream);
        let accepted_grant = GrantObservation {
            range: order.range,
            token: order.token.0,
            // As above, the sender could not know. A delayed grant does count here, because its
            // token shows its age.
            is_counted: !delivery.is_after_recovery,
        };
        self.checkers.grant_accepted(now, &holder, accepted_grant);
        // The hold of a delayed grant starts at its arrival, so it ends later than its sender
        // can know from any clock.
        if delivery.is_late {
            return;
        }
        let ends = upstream.grant(now, order.range.first).map(|own| own.ends);
        let overlaps = |grant: &AcceptedGrant| {
            let both_end = ends.map_or(grant.ends, |own| own.min(grant.ends));
            let is_long = both_end.since(now) > OVERLAP;
            is_long && !grant.delivery.is_late && grant.range.overlaps(order.range)
        };
        let mut holding = Vec::new();
        let mut working = Vec::new();
        for other in self.others(index) {
            if other.grants(now).any(overlaps) {
                holding.push(other.config.id.clone());
            }
            if other.is_working_under_lease(now, order.range) {
                working.push(other.config.id.clone());
            }
        }
        for other in holding {
            self.checkers.granted_while_held(now, &holder.id, &other);
        }
        for other in working {
            self.checkers.granted_during_work(now, &holder.id, &other);
        }
    }
}
