//! The upstreams with room, found once for all decisions of a round.
//!
//! While no upstream of a service has room, requests wait, and each input makes a node decide about
//! all of them. If each decision examined every upstream, the cost of an input would grow with the
//! waiting requests times the upstreams, and the node would have no time left for responses.
//!
//! Invariant: an upstream that is left out can't take any request of the round. Decisions only take
//! room, so what has none at the start of a round has none at its end.

use super::Dispatcher;
use super::pools::PoolMember;
use beamtray_catalog::Directory;
use beamtray_types::{ServiceName, Time};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a relay uses the same selection for the requests of other nodes. These ask again after
/// [`super::slots::NO_SLOT_BACKOFF`], so it delays them little.
const RELAY_ROUND: Duration = Duration::from_millis(2);

/// Indices of upstreams in the pool of their service.
#[derive(Clone, Debug, Default)]
pub(super) struct RoundPool {
    /// Warm ones that have room as far as their load allows at most.
    pub open: Vec<usize>,
    /// Cold ones whose service limits cold starts.
    pub cold: Vec<usize>,
}

/// The selection of the current round, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct Round {
    began: Time,
    pools: HashMap<ServiceName, Rc<RoundPool>>,
}

impl Dispatcher {
    /// Applies the directory to the pools. Selections of earlier ones no longer hold.
    pub(super) fn update_pools(&mut self, directory: &Directory) {
        if self.pools.update(directory, &self.config.zone) {
            self.round.pools.clear();
        }
    }

    /// Starts a round of decisions.
    pub(super) fn begin_round(&mut self, now: Time) {
        self.round.began = now;
        self.round.pools.clear();
    }

    /// Starts a round for the requests of other nodes if the last one is no longer recent.
    pub(super) fn begin_relay_round(&mut self, now: Time) {
        if now.since(self.round.began) >= RELAY_ROUND {
            self.begin_round(now);
        }
    }

    /// The upstreams of a service that decisions of this round may use.
    pub(super) fn round_pool(
        &mut self,
        now: Time,
        service: &ServiceName,
        pool: &[PoolMember],
    ) -> Rc<RoundPool> {
        if let Some(known) = self.round.pools.get(service) {
            return known.clone();
        }
        let mut found = RoundPool::default();
        for (index, member) in pool.iter().enumerate() {
            self.work.examine();
            if self.cold_rate(now, &member.registration).is_some() {
                found.cold.push(index);
            } else if self.may_have_room(now, member) {
                found.open.push(index);
            }
        }
        let found = Rc::new(found);
        self.round.pools.insert(service.clone(), found.clone());
        found
    }

    fn may_have_room(&self, now: Time, member: &PoolMember) -> bool {
        let slots = member.registration.record.slots.max(1);
        let most = slots + self.config.max_queued;
        self.occupancy.total(member.hash) < most && !self.is_paused(now, member.hash)
    }
}
