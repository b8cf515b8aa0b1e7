//! What the checkers are shown of keys that upstreams hold.

use super::World;
use crate::check::{Holder, OVERLAP, OtherHolder, Taking};
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

    /// A request with a key begins to run.
    pub(super) fn check_owner(&mut self, index: usize, key: ShardKey) {
        let now = self.now;
        // Grants that came right after trouble don't count: their sender could not know
        // what had become of the keys meanwhile.
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
        self.checkers.keyed_begins(now, &id, key, since, &others);
    }

    /// An upstream took a grant.
    pub(super) fn check_taken(&mut self, index: usize, order: &GrantOrder, delivery: Delivery) {
        let now = self.now;
        let Some(upstream) = &self.upstreams[index] else {
            return;
        };
        let holder = self.holder(index, upstream);
        let taking = Taking {
            range: order.range,
            token: order.token.0,
            // As above: the sender could not know. One that was held up or left lying
            // counts here: its token tells how old it is.
            is_counted: !delivery.is_after_recovery,
        };
        self.checkers.takes(now, &holder, taking);
        // What was held up or left lying lasts from its arrival, later than its sender can
        // know by any clock.
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
            self.checkers.taken_twice(now, &holder.id, &other);
        }
        for other in working {
            self.checkers.taken_from_work(now, &holder.id, &other);
        }
    }
}
